package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// SizeFigures are the size of one message, stored row or heap structure.
type SizeFigures struct {
	Of    string  `json:"of"`
	Bytes float64 `json:"bytes"`
}

func (r *Report) addSize(out *CapacityFigures, of string, bytes float64) {
	out.Sizes = append(out.Sizes, SizeFigures{Of: of, Bytes: bytes})
	r.addLine("size of=%q bytes=%.0f", of, bytes)
}

// addMessageSize adds the encoded size of a message between daemons, before
// encryption.
func (r *Report) addMessageSize(out *CapacityFigures, of string, message any) error {
	raw, err := peer.Encode(message)
	if err != nil {
		return fmt.Errorf("%s: %w", of, err)
	}
	r.addSize(out, "message "+of, float64(len(raw)))
	return nil
}

// addRowSize adds the encoded size of a row of the table.
func (r *Report) addRowSize(out *CapacityFigures, of string, row any) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("%s: %w", of, err)
	}
	r.addSize(out, "row "+of, float64(len(raw)))
	return nil
}

// capacitySizes measures the sizes of messages, rows and in-memory state.
func capacitySizes(_ context.Context, _ Env, r *Report, out *CapacityFigures) error {
	doc := capacityDocument(targetEndpoints, targetTeams, targetModels)
	if err := r.brokerSizes(out, doc); err != nil {
		return err
	}
	record := revision.Record{Revision: 1234567, Change: capacityChange(doc), Chain: revision.NextChain("", capacityChange(doc))}
	snapshot := revision.Snapshot{Document: *doc, Chain: record.Chain}
	for _, m := range []struct {
		name string
		body any
	}{
		{"heartbeat", member.Message{Kind: member.Heartbeat, From: memberEntry(0)}},
		{"probe with 6 updates", member.Message{Kind: member.Probe, Seq: 99, From: memberEntry(0), Entries: []member.Entry{
			memberEntry(1), memberEntry(2), memberEntry(3), memberEntry(4), memberEntry(5), memberEntry(6)}}},
		{"config record", record},
		{"config fetch", revision.Fetch{Seq: 1, Peer: memberName(1), After: 1234566}},
		{"config snapshot", snapshot},
	} {
		if err := r.addMessageSize(out, m.name, m.body); err != nil {
			return err
		}
	}
	hosts := wire.HostList{}
	for i := range targetDaemons {
		e := memberEntry(i)
		hosts.Hosts = append(hosts.Hosts, wire.Host{Name: string(e.Process.Daemon), Domain: string(e.Domain), Address: e.Address, State: "live"})
	}
	if err := r.addRowSize(out, "host list of 420 hosts", hosts); err != nil {
		return err
	}
	if err := r.addRowSize(out, "config record", record); err != nil {
		return err
	}
	if err := r.addRowSize(out, "config snapshot", snapshot); err != nil {
		return err
	}
	return r.stateSizes(out)
}

// brokerSizes measures the sizes of the messages of one request.
func (r *Report) brokerSizes(out *CapacityFigures, doc *live.Document) error {
	want := capacityWant(doc, 1)
	grant := sched.Grant{
		Request: want.Request, Prefill: "runner-0001", Decode: "runner-0002", Reservation: 123456,
		Owner: want.From, StartIn: 3 * time.Millisecond, ExpiresIn: 500 * time.Millisecond,
		Reason: "prefill runner-0001 of 14, 0.12 s; decode runner-0002 of 15, in 0.08 s",
	}
	progress := sched.Progress{
		Request: want.Request, Reservation: grant.Reservation, Phase: sched.PhaseDecoding, CachedTokens: 1024,
		PromptTokens: 2000, PrefillTime: 80 * time.Millisecond, TransferTime: 12 * time.Millisecond, KVBytes: 655360000,
	}
	for _, m := range []struct {
		name string
		body broker.Envelope
	}{
		{"want", broker.Envelope{Want: &want}},
		{"grant", broker.Envelope{Grant: &broker.PoolGrant{Pool: want.Pool, Grant: grant}}},
		{"progress", broker.Envelope{Progress: &pairing.PoolProgress{Pool: want.Pool, Progress: progress}}},
		{"refusal", broker.Envelope{Refusal: &sched.Refusal{Request: want.Request, Code: "overloaded", RetryAfter: time.Second, Reason: "no slot in time"}}},
	} {
		if err := r.addMessageSize(out, m.name, m.body); err != nil {
			return err
		}
	}
	return nil
}

// stateSizes measures the heap use of the parts of a daemon, up to the target
// size.
func (r *Report) stateSizes(out *CapacityFigures) error {
	r.addHeapSize(out, "document, 900 endpoints 900 teams 31 models", func() any {
		return capacityDocument(targetEndpoints, targetTeams, targetModels)
	})
	doc := capacityDocument(targetEndpoints, targetTeams, targetModels)
	r.addHeapSize(out, "index of that document", func() any { return live.NewIndex(doc) })
	for _, s := range []struct{ endpoints, teams, models int }{{22, 4, 1}, {29, 900, 1}, {900, 900, 1}} {
		sized := capacityDocument(s.endpoints, s.teams, s.models)
		r.addHeapSize(out, fmt.Sprintf("ledger of a pool, %d endpoints %d teams", s.endpoints, s.teams), func() any {
			step := scheduleStep(sized)
			for i := range 10 * s.endpoints {
				step(i)
			}
			return step
		})
	}
	r.addHeapSize(out, "membership of 420 daemons", func() any {
		m := member.New(member.DefaultConfig(member.Partial), memberEntry(0), 0, capacityRand(0))
		for i := range targetDaemons - 1 {
			m.Receive(0, member.Message{Kind: member.Probe, Seq: uint64(i + 1), From: memberEntry(i + 1)})
		}
		return m
	})
	var records *recordFollower
	r.addHeapSize(out, "1,024 records of changes", func() any {
		records = newRecordFollower(doc)
		for i := range 1024 {
			records.learn(capacityChange(doc), i)
		}
		return records
	})
	return records.check()
}

// addHeapSize adds the heap memory that a value holds after garbage collection.
func (r *Report) addHeapSize(out *CapacityFigures, of string, make func() any) {
	before := memoryNow()
	value := make()
	after := memoryNow()
	runtime.KeepAlive(value)
	r.addSize(out, "heap of a "+of, max(after.heap-before.heap, 0))
}

// recordFollower passes accepted changes, numbered in sequence, to a follower.
type recordFollower struct {
	follower *revision.Follower
	chain    string
	revision uint64
}

// newRecordFollower returns a recordFollower with a document in force.
func newRecordFollower(doc *live.Document) *recordFollower {
	l := &recordFollower{follower: revision.NewFollower(revision.DefaultFollowerConfig(), 0, capacityRand(1))}
	for i, part := range splitChange(fullChange(doc)) {
		l.learn(part, i)
	}
	return l
}

func (l *recordFollower) learn(c revision.Change, number int) {
	c.ID = fmt.Sprintf("%s-%d", c.ID, number)
	l.revision++
	l.chain = revision.NextChain(l.chain, c)
	l.follower.ApplyAccepted(revision.Record{Revision: l.revision, Change: c, Chain: l.chain})
}

// check returns an error if not all learned changes are in force: the follower
// has then refused some, and the measurement would be of refusals.
func (l *recordFollower) check() error {
	if got := l.follower.Current().Revision; got != l.revision {
		return fmt.Errorf("revision %d is in force after %d changes", got, l.revision)
	}
	return nil
}

// capacityChange returns a typical change: it sets one label of one endpoint.
func capacityChange(doc *live.Document) revision.Change {
	return revision.Change{
		ID: "01HZXABCDEFGHJKMNPQRSTVWXY", Author: "operator@site", At: time.Unix(1764700000, 0).UTC(),
		Ops: []revision.Op{{Action: revision.ActionLabel, Kind: live.KindEndpoint, Name: string(doc.Endpoints[0].Name), Labels: live.Labels{live.LabelLeaving: "true"}}},
	}
}

// fullChange returns a change that puts every item of a document.
func fullChange(doc *live.Document) revision.Change {
	c := revision.Change{ID: "whole", At: time.Unix(1764700000, 0).UTC()}
	for i := range doc.Teams {
		c.Ops = append(c.Ops, putOp(live.KindTeam, string(doc.Teams[i].Name), doc.Teams[i]))
	}
	for i := range doc.Links {
		c.Ops = append(c.Ops, putOp(live.KindLink, doc.Links[i].Name, doc.Links[i]))
	}
	for i := range doc.Pools {
		c.Ops = append(c.Ops, putOp(live.KindPool, string(doc.Pools[i].Name), doc.Pools[i]))
	}
	for i := range doc.Endpoints {
		c.Ops = append(c.Ops, putOp(live.KindEndpoint, string(doc.Endpoints[i].Name), doc.Endpoints[i]))
	}
	for i := range doc.Services {
		c.Ops = append(c.Ops, putOp(live.KindService, string(doc.Services[i].Name), doc.Services[i]))
	}
	return c
}

func putOp(kind live.Kind, name string, item any) revision.Op {
	raw, err := json.Marshal(item)
	if err != nil {
		panic(err) // values of the live types can always be encoded
	}
	return revision.Op{Action: revision.ActionPut, Kind: kind, Name: name, Item: raw}
}

// splitChange splits a change into changes of at most revision.MaxOps operations.
func splitChange(c revision.Change) []revision.Change {
	var out []revision.Change
	for from := 0; from < len(c.Ops); from += revision.MaxOps {
		part := c
		part.ID = fmt.Sprintf("%s-%d", c.ID, from)
		part.Ops = c.Ops[from:min(from+revision.MaxOps, len(c.Ops))]
		out = append(out, part)
	}
	return out
}
