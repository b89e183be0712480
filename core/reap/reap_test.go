package reap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

var key = Key{Endpoint: "e", Request: "r"}

func TestCancelIsRepeatedUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	c := NewCanceller(CancellerConfig{})
	is.True(c.Add(0, Order{Key: key, KV: "kv"})[0].Cancel != nil)
	c.Failed(0, key)
	now, waits := time.Duration(0), time.Duration(0)
	for range 10 {
		waits = c.Next() - now
		now = c.Next()
		out := c.Tick(now)
		is.Equal(len(out), 2) // cancel and release
		c.Failed(now, key)
	}
	is.Equal(waits, DefaultBackoffMax)
	is.Equal(len(c.Reply(now, key, Cancelled)), 0) // the KV cache is still held
	now = c.Next()
	out := c.Tick(now)
	is.Equal(out[0].Release.KV, "kv")
	is.Equal(c.Released(now, key)[0].Done.Reason, DoneAcknowledged)
	is.Equal(c.Next(), Never)
}

func TestIncarnationEndsOrders(t *testing.T) {
	is := is.New(t)
	c := NewCanceller(CancellerConfig{MaxOrders: 2})
	c.Add(0, Order{Key: key, Incarnation: 1})
	c.Add(0, Order{Key: Key{Endpoint: "e", Request: "unbound"}})
	is.Equal(c.Add(0, Order{Key: Key{Endpoint: "f"}})[0].Done.Reason, DoneOverflow)
	is.Equal(len(c.Incarnation(0, "e", 1)), 0)
	out := c.Incarnation(0, "e", 2)
	is.Equal(len(out), 1)
	is.Equal(out[0].Done.Key, key)
	is.Equal(c.Add(0, Order{Key: key, Incarnation: 1})[0].Done.Reason, DoneIncarnation)
	is.Equal(len(c.Remove(0, "e")), 1)
	is.Equal(c.Pending(), 0)
}

// engine is a model of an endpoint that may lose its tombstones.
type engine struct {
	held, tombstones map[id.Request]bool
	keepsTombstones  bool
}

func (e *engine) run(r id.Request) {
	if !e.tombstones[r] {
		e.held[r] = true
	}
}

func (e *engine) cancel(r id.Request) CancelState {
	if e.held[r] {
		delete(e.held, r)
		return Cancelled
	}
	if e.keepsTombstones {
		e.tombstones[r] = true
	}
	return Unknown
}

// TestCancelOvertakesRun delays run orders, loses cancels and their replies, and
// drops tombstones. In the end the endpoint must hold nothing, also if a cancel
// arrives before the run order.
func TestCancelOvertakesRun(t *testing.T) {
	is := is.New(t)
	overtaken := 0
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 7))
		e := &engine{held: map[id.Request]bool{}, tombstones: map[id.Request]bool{}, keepsTombstones: seed%2 == 0}
		c := NewCanceller(CancellerConfig{})
		runAt := time.Duration(rng.Int64N(int64(DefaultMaxOrderDelay)))
		ran, now := false, time.Duration(0)
		actions := c.Add(0, Order{Key: key})
		for c.Pending() > 0 && now < time.Minute {
			if !ran && now >= runAt {
				e.run(key.Request)
				ran = true
			}
			for _, a := range actions {
				if a.Cancel == nil || rng.Float64() < 0.3 {
					continue
				}
				state := e.cancel(a.Cancel.Key.Request)
				if state == Unknown && !ran {
					overtaken++
				}
				if rng.Float64() < 0.7 {
					c.Reply(now, key, state)
				}
			}
			now = max(now+time.Millisecond, c.Next())
			actions = c.Tick(now)
		}
		if !ran {
			e.run(key.Request)
		}
		is.Equal(c.Pending(), 0)
		is.Equal(len(e.held), 0) // the endpoint holds nothing for the disconnected caller
	}
	is.True(overtaken > 500)
}

func TestSettledRunMakesUnknownFinal(t *testing.T) {
	is := is.New(t)
	c := NewCanceller(CancellerConfig{})
	c.Add(0, Order{Key: key})
	is.Equal(len(c.Reply(0, key, Unknown)), 0)
	c.MarkRunSettled(key)
	is.Equal(len(c.Reply(0, key, Unknown)), 1)
}

func TestAddMergesOrders(t *testing.T) {
	is := is.New(t)
	c := NewCanceller(CancellerConfig{})
	owner := id.Process{Daemon: "d", Incarnation: 1}
	is.Equal(c.Add(0, Order{Key: key, Owner: &owner})[0].Cancel.Owner, &owner)
	is.Equal(len(c.Add(0, Order{Key: key})), 0)
	out := c.Tick(c.Next())
	is.True(out[0].Cancel.Owner == nil)
}

func TestReaper(t *testing.T) {
	self := id.Process{Daemon: "self", Incarnation: 5}
	former := id.Process{Daemon: "self", Incarnation: 4}
	peer := id.Process{Daemon: "peer", Incarnation: 1}
	restarted := id.Process{Daemon: "peer", Incarnation: 2}
	stranger := id.Process{Daemon: "stranger", Incarnation: 1}
	cases := []struct {
		name  string
		owner id.Process
		stage Stage
		age   time.Duration
		setup func(r *Reaper)
		// from is the first time at which the work may be reaped; Never if it must
		// not be.
		from time.Duration
	}{
		{"own and active", self, StageDecode, time.Hour, nil, Never},
		{"own and lost", self, StageKV, DefaultOwnGrace, nil, 0},
		{"own and young", self, StagePrefill, DefaultOwnGrace - 1, nil, Never},
		{"own former", former, StageImport, 0, nil, DefaultGrace},
		{"alive", peer, StageDecode, time.Hour, func(r *Reaper) { r.ProcessAlive(0, peer) }, Never},
		{"dead", peer, StageDecode, 0, func(r *Reaper) { r.ProcessAlive(0, peer); r.ProcessGone(0, peer) }, DefaultGrace},
		{"dead, reported twice", peer, StageDecode, 0, func(r *Reaper) { r.ProcessGone(0, peer); r.ProcessGone(time.Second, peer) }, DefaultGrace},
		{"dead, finished", peer, StageFinished, 0, func(r *Reaper) { r.ProcessGone(0, peer) }, DefaultFinishedGrace},
		{"restarted", peer, StageDecode, 0, func(r *Reaper) { r.ProcessAlive(0, peer); r.ProcessAlive(0, restarted) }, DefaultGrace},
		{"unknown process", stranger, StageDecode, time.Hour, nil, DefaultUnknownGrace},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := NewReaper(ReaperConfig{Self: self})
			if c.setup != nil {
				c.setup(r)
			}
			active := func(id.Request) bool { return c.name == "own and active" }
			list := List{Endpoint: "e", Incarnation: 9, Requests: []Running{{Request: "r", Owner: c.owner, Stage: c.stage, Age: c.age}}}
			for now := time.Duration(0); now <= time.Minute; now += time.Second {
				orders := r.List(now, list, active)
				is.Equal(len(orders) == 1, now >= c.from)
				if len(orders) == 1 {
					is.Equal(*orders[0].Owner, c.owner) // conditional, since a resumed request has another owner
					is.Equal(orders[0].Incarnation, id.Incarnation(9))
				}
			}
		})
	}
}

func TestOtherOwnerIsNotCancelled(t *testing.T) {
	is := is.New(t)
	c := NewCanceller(CancellerConfig{})
	for i := range 3 {
		k := Key{Endpoint: "e", Request: id.Request(fmt.Sprint(i))}
		c.Add(0, Order{Key: k, Owner: &id.Process{Daemon: "gone"}, RunSettled: true})
		is.Equal(c.Reply(0, k, OtherOwner)[0].Done.Reason, DoneAcknowledged)
	}
}
