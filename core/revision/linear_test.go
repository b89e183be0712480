package revision

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/revision/table/tabletest"
)

// teamNames are the teams that the changes of a history modify.
var teamNames = []string{"t0", "t1", "t2"}

// injectedFault alters a reply of the table, to verify that the checks detect the
// fault.
type injectedFault func(q *table.Request, r *table.Reply)

// configState is the state of the sequential model: the accepted ids in order, and
// the teams that exist, as a bit set.
type configState struct {
	ids   string
	count uint64
	teams uint8
}

func (s configState) revisionOf(id string) uint64 {
	return uint64(slices.Index(strings.Fields(s.ids), id) + 1)
}

// accept returns the state after the change, and whether the change is acceptable.
func (s configState) accept(c Change) (configState, bool) {
	bit := uint8(1) << slices.Index(teamNames, c.Ops[0].Name)
	missing := s.teams&bit == 0
	if s.revisionOf(c.ID) != 0 || (c.Expect != 0 && c.Expect != s.count) || (c.Ops[0].Action == ActionDelete && missing) {
		return s, false
	}
	if c.Ops[0].Action == ActionDelete {
		bit, s.teams = 0, s.teams&^bit
	}
	return configState{ids: s.ids + c.ID + " ", count: s.count + 1, teams: s.teams | bit}, true
}

// stepModel is the sequential specification of one proposal: it returns the
// possible states after it, or none if the output is wrong.
func stepModel(state, input, output any) []any {
	s, c, o := state.(configState), input.(Change), output.(Outcome)
	next, ok := s.accept(c)
	same := []any{s}
	known := s.revisionOf(c.ID)
	switch {
	case o.Result == Accepted && known != 0 && known == o.Revision:
		return same
	case o.Result == Accepted && ok && next.count == o.Revision:
		return []any{next}
	case o.Result == Conflict && known == 0 && s.count >= o.Revision && o.Revision > c.Expect:
		return same
	case o.Result == Rejected && known == 0 && (!ok || o.Faults[0].Path == "id" || o.Faults[0].Path == "expect"):
		return same
	case o.Result == Unavailable && known == 0:
		return same
	case o.Result == Unresolved && ok:
		return []any{s, next}
	case o.Result == Unresolved:
		return same
	default:
		return nil
	}
}

var configModel = (&porcupine.NondeterministicModel{
	Init:  func() []any { return []any{configState{}} },
	Step:  stepModel,
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// run is one randomised history.
type run struct {
	clock     *tabletest.Clock
	model     *tabletest.Model
	fault     injectedFault
	history   []porcupine.Operation
	stamp     int64
	followers []*Follower
}

func (r *run) do(q table.Request, done func(table.Reply)) {
	r.model.Do(q, func(reply table.Reply) {
		if r.fault != nil {
			r.fault(&q, &reply)
		}
		done(reply)
	})
}

func (r *run) nextStamp() int64 { r.stamp++; return r.stamp }

// propose runs one proposer until its outcome.
func (r *run) propose(client int, c Change, resent bool, then func(Outcome)) {
	cfg := DefaultProposerConfig()
	cfg.Deadline, cfg.SnapshotEvery = 2*time.Second, 4
	p := NewProposer(cfg, c, r.followers[client%len(r.followers)].Current(), r.clock.Random)
	if resent {
		p.MarkResent()
	}
	called := r.nextStamp()
	var act func([]ProposerAction)
	arm := func() {
		if !p.Done() {
			r.clock.At(p.Next(), func() { act(p.Tick(r.clock.Now())) })
		}
	}
	act = func(actions []ProposerAction) {
		for _, a := range actions {
			if a.Request != nil {
				r.do(*a.Request, func(reply table.Reply) { act(p.Handle(r.clock.Now(), reply)) })
				continue
			}
			returned := r.nextStamp()
			if a.Outcome.Result == Unresolved {
				returned = 1 << 60 // it may take effect at any later time
			}
			r.history = append(r.history, porcupine.Operation{ClientId: len(r.history), Input: c, Call: called, Output: *a.Outcome, Return: returned})
			then(*a.Outcome)
		}
		arm()
	}
	act(p.Start(r.clock.Now()))
}

// operator proposes changes one after the other; it proposes an unresolved change
// again under the same id, up to 3 times.
func (r *run) operator(client, left, tries int, c Change) {
	if left == 0 {
		return
	}
	if tries == 0 {
		c = r.randomChange(client, left)
	}
	r.propose(client, c, tries > 0, func(o Outcome) {
		if o.Result == Unresolved && tries < 3 {
			r.clock.After(r.clock.RandomDuration(time.Second), func() { r.operator(client+1, left, tries+1, c) })
			return
		}
		r.clock.After(r.clock.RandomDuration(time.Second), func() { r.operator(client, left-1, 0, Change{}) })
	})
}

func (r *run) randomChange(client, left int) Change {
	c := Change{ID: fmt.Sprintf("c%d-%d", client, left), Author: "op"}
	name := teamNames[r.clock.Random.IntN(len(teamNames))]
	op := Op{Action: ActionPut, Kind: live.KindTeam, Name: name, Item: json.RawMessage(`{}`)}
	if r.clock.Random.IntN(3) == 0 {
		op = Op{Action: ActionDelete, Kind: live.KindTeam, Name: name}
	}
	if r.clock.Random.IntN(2) == 0 {
		c.Expect = r.followers[client%len(r.followers)].Current().Revision
	}
	c.Ops = []Op{op}
	return c
}

// follow runs a follower with the store as its only source.
func (r *run) follow(t *testing.T, f *Follower) {
	var act func([]FollowerAction)
	act = func(actions []FollowerAction) {
		for _, a := range actions {
			switch {
			case a.Request != nil:
				r.do(*a.Request, func(reply table.Reply) { act(f.Handle(r.clock.Now(), reply)) })
			case a.Installed != nil:
				if a.Installed.To <= a.Installed.From || a.Installed.Document != f.Current() {
					t.Fatalf("installed %d after %d", a.Installed.To, a.Installed.From)
				}
			case a.Diverged != nil:
				t.Fatalf("diverged: %+v", *a.Diverged)
			}
		}
	}
	var tick func()
	tick = func() {
		act(f.Tick(r.clock.Now()))
		next := min(f.Next(), r.clock.Now()+50*time.Millisecond)
		r.clock.At(max(next, r.clock.Now()+time.Millisecond), tick)
	}
	tick()
}

// simulate runs a history with faults, then lets the followers catch up without
// faults.
func simulate(t *testing.T, seed uint64, fault injectedFault) *run {
	clock := tabletest.NewClock(seed)
	r := &run{clock: clock, model: tabletest.New(clock), fault: fault}
	r.model.Faults = tabletest.Faults{LoseRequest: 0.1, LoseReply: 0.15, Late: 0.1, Stale: 0.2}
	for range 2 {
		f := NewFollower(DefaultFollowerConfig(), 0, clock.Random)
		r.followers = append(r.followers, f)
		if fault == nil {
			r.follow(t, f)
		}
	}
	for client := range 3 {
		clock.After(clock.RandomDuration(time.Second), func() { r.operator(10*client, 3, 0, Change{}) })
	}
	down := clock.RandomDuration(4 * time.Second)
	clock.At(down, func() { r.model.Faults.Down = true })
	clock.At(down+clock.RandomDuration(3*time.Second), func() { r.model.Faults.Down = false })
	// All operators have ended by then; late effects and backoffs end in the
	// remaining time.
	clock.At(40*time.Second, func() { r.model.Faults = tabletest.Faults{} })
	clock.Run(50 * time.Second)
	return r
}

// replay builds the document from the records in the table.
func replay(t *testing.T, m *tabletest.Model) *live.Document {
	doc := &live.Document{}
	for {
		row := m.Row(KeyRevision(doc.Revision + 1))
		if row.Version == 0 {
			return doc
		}
		var rec Record
		if err := json.Unmarshal(row.Value, &rec); err != nil {
			t.Fatal(err)
		}
		next, faults := Apply(doc, rec.Change)
		if len(faults) > 0 {
			t.Fatalf("an accepted change has faults: %v", faults)
		}
		doc = next
	}
}

func TestProposalsAreLinearizable(t *testing.T) {
	is := is.New(t)
	results := map[Result]int{}
	for seed := range tabletest.Seeds(400) {
		r := simulate(t, seed, nil)
		if porcupine.CheckOperationsTimeout(configModel, r.history, 5*time.Second) != porcupine.Ok {
			t.Fatalf("seed %d: not linearizable: %+v", seed, r.history)
		}
		for _, op := range r.history {
			results[op.Output.(Outcome).Result]++
		}
		want := replay(t, r.model)
		for _, f := range r.followers {
			is.Equal(f.Current(), want) // every follower is at the head with an equal document
		}
	}
	for _, kind := range []Result{Accepted, Conflict, Rejected, Unavailable, Unresolved} {
		is.True(results[kind] > 0) // each result occurred
	}
	t.Logf("outcomes: %v", results)
}

func TestCheckerDetectsInjectedFaults(t *testing.T) {
	faults := map[string]injectedFault{
		"a lost reply reported as not run": func(_ *table.Request, reply *table.Reply) {
			if reply.Status == table.Unknown {
				reply.Status = table.NotRun
			}
		},
		"a failed commit reported as applied": func(q *table.Request, reply *table.Reply) {
			if q.Transaction != nil && len(q.Transaction.Puts) > 1 && reply.Status == table.Done {
				reply.Applied = true
			}
		},
	}
	for name, fault := range faults {
		found := 0
		for seed := range uint64(100) {
			r := simulate(t, seed, fault)
			if porcupine.CheckOperationsTimeout(configModel, r.history, 5*time.Second) == porcupine.Illegal {
				found++
			}
		}
		if found == 0 {
			t.Errorf("%s: not detected in any history", name)
		}
		t.Logf("%s: detected in %d of 100 histories", name, found)
	}
}
