package app

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/placement"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/logline"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/placer"
)

// operations implements operator.Operations.
type operations struct{ d *Daemon }

// Propose implements operator.Operations.
func (o operations) Propose(ctx context.Context, c revision.Change, resent bool) revision.Outcome {
	outcome := o.d.configs.Propose(ctx, c, resent)
	o.d.decisions.Decide(logline.SubjectChange, c.ID, "change_proposed",
		"author", c.Author, "result", outcome.Result, "revision", outcome.Revision)
	return outcome
}

// DocumentAt implements operator.Operations.
func (o operations) DocumentAt(rev uint64) (*live.Document, bool) {
	return o.d.configs.DocumentAt(rev)
}

// Document implements operator.Operations.
func (o operations) Document() *live.Document { return o.d.configs.Index().Document() }

// History implements operator.Operations.
func (o operations) History(after uint64, limit int) []revision.Record {
	return o.d.configs.History(after, limit)
}

// BeginStop implements operator.Operations.
func (o operations) BeginStop() { o.d.BeginStop() }

// Status implements operator.Operations. The pools' owners report their pools.
func (o operations) Status() opapi.Status {
	d := o.d
	s := opapi.Status{
		Daemon:     d.self.Daemon,
		Revision:   d.Revision(),
		StoreUp:    d.configs.StoreUp(),
		Violations: d.metrics.Violations(),
		Hosts:      d.hostStatus(),
		Teams:      []opapi.TeamStatus{},
		Leases:     []opapi.LeaseStatus{},
	}
	for _, reply := range d.queryPools() {
		s.Pools = append(s.Pools, reply.Pools...)
	}
	slices.SortFunc(s.Pools, func(x, y opapi.PoolStatus) int { return cmp.Compare(x.Pool, y.Pool) })
	for i := range o.Document().Teams {
		s.Teams = append(s.Teams, d.front.TeamStatus(o.Document().Teams[i].Name))
	}
	if row := d.placer.Holder(); row.Fence > 0 {
		s.Leases = append(s.Leases, opapi.LeaseStatus{Duty: placer.Duty, Holder: row.Holder.Daemon, Fence: row.Fence})
	}
	return s
}

func (d *Daemon) hostStatus() []opapi.DaemonStatus {
	var out []opapi.DaemonStatus
	for _, e := range d.members.Entries() {
		out = append(out, opapi.DaemonStatus{
			Daemon:      e.Process.Daemon,
			Incarnation: e.Process.Incarnation,
			Domain:      e.Domain,
			State:       e.State.String(),
			Revision:    e.Revision,
			InFlight:    e.InFlight,
		})
	}
	return out
}

// poolsLocal returns the state of the pools that this daemon owns.
func (d *Daemon) poolsLocal() poolsReply {
	reply := poolsReply{}
	index := d.configs.Index()
	for i, p := range d.broker.Pools() {
		reply.Pools = append(reply.Pools, d.poolStatus(index, p))
		if i > 0 {
			continue // all pools of a daemon share one quarantine list
		}
		for _, e := range p.Quarantine {
			reply.Quarantine = append(reply.Quarantine, opapi.QuarantineEntry{
				Fingerprint: e.Fingerprint.String(),
				Team:        e.Team,
				Crashes:     e.Crashes,
				ExpiresInMS: e.Until.Sub(d.epoch.Add(d.now())).Milliseconds(),
				Daemon:      d.self.Daemon,
			})
		}
	}
	return reply
}

func (d *Daemon) poolStatus(index *live.Index, p pool.Status) opapi.PoolStatus {
	s := opapi.PoolStatus{
		Pool:     p.Pool,
		Owner:    d.self.Daemon,
		Leaving:  len(p.Leaving),
		Ejected:  len(p.Ejected),
		Queued:   p.Queued,
		Running:  p.Running,
		Slots:    p.Slots,
		Answered: p.Answered,
		Refused:  p.Refused,

		Unreachable: p.Unreachable,
		PrefillLoad: p.PrefillLoad,
		DecodeLoad:  p.DecodeLoad,
	}
	for _, e := range index.Endpoints(p.Pool) {
		switch live.Role(e.Labels[live.LabelRole]) {
		case live.RolePrefill:
			s.Prefill++
		case live.RoleDecode:
			s.Decode++
		case live.RolePlain:
			s.Plain++
		}
	}
	return s
}

// queryPools queries the pools' owners for the state of their pools. Owners that
// fail to reply are left out.
func (d *Daemon) queryPools() []poolsReply {
	replies := []poolsReply{d.poolsLocal()}
	owners := slices.Compact(slices.Sorted(slices.Values(d.broker.Owners(d.pools()))))
	var mu sync.Mutex
	d.queryPeers(owners, func(ctx context.Context, to id.Daemon) {
		var reply poolsReply
		if d.transport.Call(ctx, to, kindPools, &poolsQuery{}, &reply) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		replies = append(replies, reply)
	})
	return replies
}

// queryPeers runs a query to several daemons concurrently, without this one, and
// waits for all. peerCallTimeout bounds the queries.
func (d *Daemon) queryPeers(daemons []id.Daemon, query func(ctx context.Context, to id.Daemon)) {
	ctx, cancel := context.WithTimeout(d.ctx, peerCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, to := range daemons {
		if to == d.self.Daemon {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			query(ctx, to)
		}()
	}
	wg.Wait()
}

func (d *Daemon) explainLocal(q explainQuery) opapi.Explanation {
	out := opapi.Explanation{Kind: q.Kind, ID: q.ID, Lines: []opapi.ExplanationLine{}}
	for _, x := range d.decisions.Find(logline.Subject(q.Kind), q.ID) {
		out.Lines = append(out.Lines, opapi.ExplanationLine{At: x.At, Daemon: d.self.Daemon, Event: x.Event, Text: x.Text})
	}
	return out
}

// Explain implements operator.Operations. It returns the decisions of all daemons on
// the subject, sorted by time.
func (o operations) Explain(kind, subject string) opapi.Explanation {
	q := explainQuery{Kind: kind, ID: subject}
	out := o.d.explainLocal(q)
	var mu sync.Mutex
	o.d.queryPeers(o.d.members.Others(), func(ctx context.Context, to id.Daemon) {
		var reply opapi.Explanation
		if o.d.transport.Call(ctx, to, kindExplain, &q, &reply) != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out.Lines = append(out.Lines, reply.Lines...)
	})
	slices.SortFunc(out.Lines, func(x, y opapi.ExplanationLine) int { return x.At.Compare(y.At) })
	return out
}

// Quarantine implements operator.Operations.
func (o operations) Quarantine() opapi.QuarantineList {
	list := opapi.QuarantineList{Entries: []opapi.QuarantineEntry{}}
	seen := make(map[string]bool)
	for _, reply := range o.d.queryPools() {
		for _, e := range reply.Quarantine {
			if !seen[e.Fingerprint] {
				seen[e.Fingerprint] = true
				list.Entries = append(list.Entries, e)
			}
		}
	}
	return list
}

// demand returns the utilisation of the pools, as their owners report it.
func (d *Daemon) demand(context.Context) []placement.Demand {
	var out []placement.Demand
	for _, reply := range d.queryPools() {
		for _, p := range reply.Pools {
			out = append(out, placement.Demand{Pool: p.Pool, Prefill: p.PrefillLoad, Decode: p.DecodeLoad})
		}
	}
	return out
}
