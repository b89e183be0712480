package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/uptime"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

// storeStatus is the store's status as one daemon reports it to others.
type storeStatus struct {
	// Uptime holds the time spans in which the store is known to have answered.
	Uptime uptime.History `cbor:"1,keyasint"`
	// Listed is the version of the store up to which the sender knows the endpoints.
	Listed uint64 `cbor:"2,keyasint,omitempty"`
	// MayReturn is set if entries that are gone may have lapsed because the store was
	// unavailable before the newest span, and may be written again.
	MayReturn bool `cbor:"3,keyasint,omitempty"`
}

// uptimeQuery queries the store's uptime.
type uptimeQuery struct {
	// UpTo is the version of the store up to which the uptime is needed.
	UpTo uint64 `cbor:"1,keyasint"`
}

// uptimeQueryPause is the part of the pause between uptime queries that each daemon of
// the fleet adds. The pause grows with the fleet because after an outage of the store
// all daemons may hold lapsed entries, and query the same three daemons.
const uptimeQueryPause = 5 * time.Millisecond

// uptimeQueryInterval returns the pause between two uptime queries while lapsed
// entries are kept only because other daemons reported an outage of the store.
func (d *Daemon) uptimeQueryInterval() time.Duration {
	return time.Duration(d.daemons()) * uptimeQueryPause
}

// maxUptimePeers is the number of other daemons that a daemon queries at a time: as
// many as read the store for all.
const maxUptimePeers = 3

// minPeerOutage is how long other daemons must have been unable to reach the store
// for this one to assume an outage before its own first answer. It is shorter than
// the time in which entries lapse. It is longer than it takes to replace readers if
// the store refuses only these, which is not an outage.
const minPeerOutage = time.Second

// storeAnswered records an answer of the store. An answer that does not directly
// follow another one may be the first after an outage that this daemon did not
// notice.
func (d *Daemon) storeAnswered(a feed.Answer) {
	suspect := !a.Unbroken && d.peersLost()
	d.withRegistry(func(l *registry.List) {
		if suspect {
			l.SuspectOutage(d.now())
		}
		l.RecordResponse(a.Newest, a.Clock, a.Unbroken)
	})
}

// peersLost reports whether other daemons have been unable to reach the store for at
// least minPeerOutage.
func (d *Daemon) peersLost() bool {
	f := d.fleet.Load()
	if f == nil {
		return false
	}
	since := time.Duration(f.peersLostSince.Load())
	return since > 0 && d.now()-since >= minPeerOutage
}

// recordPeersLost records since when other daemons have been unable to reach the store.
func (f *fleet) recordPeersLost(now time.Duration, entries []member.Entry) {
	lost := slices.ContainsFunc(entries, func(e member.Entry) bool {
		return e.State == member.Alive && e.StoreLost && e.Process.Daemon != f.self.Daemon
	})
	if !lost {
		f.peersLostSince.Store(0)
		return
	}
	f.peersLostSince.CompareAndSwap(0, int64(now))
}

// endpointsConfirmed records that the list of endpoints is up to date with the store.
func (d *Daemon) endpointsConfirmed(time.Duration) {
	d.withRegistry(func(l *registry.List) { l.MarkCurrent() })
}

// storeStatus returns the store's status to report to other daemons.
func (d *Daemon) storeStatus() *storeStatus {
	status := storeStatus{Listed: d.endpoints.Position()}
	d.withRegistry(func(l *registry.List) {
		status.Uptime, status.MayReturn = l.Uptime(), l.EntriesMayReturn(d.now())
	})
	return &status
}

// handleStoreStatus applies the store's status as reported by another daemon.
func (d *Daemon) handleStoreStatus(from id.Daemon, status storeStatus) {
	d.withRegistry(func(l *registry.List) {
		if l.MergeUptime(status.Uptime, status.Listed) {
			newest := status.Uptime.Latest()
			d.logger.Event("store_was_there", "peer", from, "from", newest.From, "until", newest.Until, "length", newest.Duration())
			d.publish()
		}
		if status.MayReturn {
			d.recordOutageReport(from)
		}
	})
}

// recordOutageReport records another daemon's report that entries may have lapsed
// because the store was unavailable; the lock must be held.
func (d *Daemon) recordOutageReport(from id.Daemon) {
	list, now := d.tables.list, d.now()
	before := list.EntriesMayReturn(now)
	list.ReportOutage(now)
	if !before && list.EntriesMayReturn(now) {
		d.logger.Event("store_absence_told", "peer", from)
	}
}

// answerUptime answers another daemon's uptime query. If the known uptime does not
// suffice, it polls the store at once, so that the next query gets a newer answer.
func (d *Daemon) answerUptime(q uptimeQuery) *storeStatus {
	status := d.storeStatus()
	newest := status.Uptime.Latest()
	if newest.Until < q.UpTo || newest.Duration() < uptime.ReturnGrace {
		d.endpoints.Poll()
	}
	return status
}

// queryUptime queries other daemons for the store's uptime, unless queries are in
// flight: this daemon's own knowledge is not enough to drop the lapsed entries that it
// keeps.
func (d *Daemon) queryUptime(upTo uint64) {
	f := d.fleet.Load()
	if f == nil || !d.queryingUptime.CompareAndSwap(false, true) {
		return
	}
	var queries sync.WaitGroup
	for _, other := range f.uptimePeers() {
		queries.Go(func() { d.queryUptimeOf(f, other, upTo) })
	}
	go func() {
		queries.Wait()
		d.queryingUptime.Store(false)
	}()
}

// uptimePeers returns the daemons to query for the store's uptime: those that read the
// store for all, then others, up to maxUptimePeers.
func (f *fleet) uptimePeers() []id.Daemon {
	var out []id.Daemon
	if chosen := f.readers.Load(); chosen != nil {
		out = append(out, *chosen...)
	}
	out = append(out, f.members.Others()...)
	seen := map[id.Daemon]bool{f.self.Daemon: true}
	kept := out[:0]
	for _, other := range out {
		if !seen[other] && len(kept) < maxUptimePeers {
			kept = append(kept, other)
		}
		seen[other] = true
	}
	return kept
}

func (d *Daemon) queryUptimeOf(f *fleet, other id.Daemon, upTo uint64) {
	ctx, cancel := context.WithTimeout(d.ctx, tablesTimeout)
	defer cancel()
	var status storeStatus
	if err := f.transport.Call(ctx, other, kindUptime, &uptimeQuery{UpTo: upTo}, &status); err != nil {
		d.logger.Warn("uptime_not_learnt", "peer", other, "why", err)
		return
	}
	status.MayReturn = false // the query is about the past only
	d.handleStoreStatus(other, status)
	if d.endpoints.Position() < status.Listed {
		d.endpoints.Refresh()
	}
}
