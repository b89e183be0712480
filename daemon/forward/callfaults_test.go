package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/broker"
)

// TestCallsWithOneNameAreServedEach checks callers that give all their calls the same name,
// at one daemon and at two: each is a call of its own.
func TestCallsWithOneNameAreServedEach(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(t, 3)
	owner, others := f.split()
	close(f.endpoints.open)
	var wg sync.WaitGroup
	for i := range 60 {
		d := others[i%2]
		wg.Go(func() {
			r := &Request{ID: "same", Method: "POST", Host: "h", Path: "/once/x", Target: "/once/x", Arrived: d.Now(), CallerTimeout: 20 * time.Second}
			if _, err := d.Run(context.Background(), r); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.Equal(f.endpoints.arrived(), 60)
	clear(f.endpoints.ran)
	f.checkAtRest(owner)
}

// TestCallersThatLeaveKeepNoSlot checks callers that hang up while their calls wait in the
// queue, or run.
func TestCallersThatLeaveKeepNoSlot(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(t, 3)
	owner, others := f.split()
	ctx, leave := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range 60 {
		d := others[i%2]
		wg.Go(func() {
			r := &Request{ID: id.Request(fmt.Sprint(i)), Method: "POST", Host: "h", Path: "/once/x", Target: "/once/x", Arrived: d.Now(), CallerTimeout: 20 * time.Second}
			_, err := d.Run(ctx, r)
			if err == nil || err.Code != verdict.CodeCallerGone {
				t.Errorf("%v", err)
			}
		})
	}
	waitUntil(t, "calls run and wait", func() bool { return f.endpoints.arrived() > 0 && owner.queued() > 0 })
	leave()
	wg.Wait()
	f.checkAtRest(owner)
	close(f.endpoints.open)
	is.Equal(f.callers(others[0], "/once/x", 5)(), 5)
}

// TestCallsOfAKilledOwnerGoOn checks an owner that is killed while calls wait in its queue,
// and the membership's verdict.
func TestCallsOfAKilledOwnerGoOn(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(t, 4)
	owner, others := f.split()
	const each = 20
	var waits []func() int
	for _, d := range others {
		waits = append(waits, f.callers(d, "/once/x", each))
	}
	waitUntil(t, "calls wait", func() bool { return owner.queued() >= each })
	f.lose(func(from, to id.Daemon, _ *broker.Envelope) bool { return from == owner.name || to == owner.name })
	members := slices.DeleteFunc(f.names(), func(n id.Daemon) bool { return n == owner.name })
	for _, d := range others {
		d.broker.SetMembers(members)
	}
	close(f.endpoints.open)
	answered := 0
	for _, wait := range waits {
		answered += wait()
	}
	is.Equal(answered, each*len(others))
	f.checkAtRest(others...)
}

// TestCallsGoOnBesideAFrozenOwner checks an owner that neither answers nor is given up, and
// that its queue is used again afterwards.
func TestCallsGoOnBesideAFrozenOwner(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(t, 3)
	owner, others := f.split()
	close(f.endpoints.open)
	d := others[0]
	is.Equal(f.callers(d, "/once/x", 10)(), 10)
	f.freeze(owner.name)
	is.True(f.callers(d, "/once/x", 30)() > 0)
	waitUntil(t, "the silence is noticed", func() bool { f.callers(d, "/once/x", 1)(); return d.silent.Load() > 0 })
	is.True(f.callers(d, "/once/x", 5)() > 0)
	is.True(d.stats.callFallbacks.Value("s/sent") > 0)
	f.thaw()
	waitUntil(t, "the owner is used again", func() bool { f.callers(d, "/once/x", 1)(); return d.back.Load() > 0 })
	before := d.stats.callGrants.Total()
	is.Equal(f.callers(d, "/once/x", 10)(), 10)
	is.Equal(d.stats.callGrants.Total(), before+10)
	f.checkAtRest(f.daemons...)
}

// TestDaemonsThatAreCutOffServeTheirPart checks an owner that a third of the daemons can't
// reach: they serve no more than their part of the slots, the others go on with the queue.
func TestDaemonsThatAreCutOffServeTheirPart(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(t, 6)
	owner, others := f.split()
	cut := others[:2]
	f.lose(func(from, to id.Daemon, _ *broker.Envelope) bool {
		isCut := func(n id.Daemon) bool { return n == cut[0].name || n == cut[1].name }
		return isCut(from) != isCut(to)
	})
	const part = 4 * 6 / 6 // of each daemon: four endpoints of six slots, six daemons
	var waits []func() int
	for _, d := range cut {
		waits = append(waits, f.callers(d, "/once/x", 5*part)) // twice their part of them may wait
	}
	waitUntil(t, "the others are refused", func() bool {
		return cut[0].stats.callFallbacks.Value("s/refused")+cut[1].stats.callFallbacks.Value("s/refused") == 2*2*part
	})
	waitUntil(t, "their part arrives", func() bool { return f.endpoints.arrived() == 2*part })
	close(f.endpoints.open)
	for _, wait := range waits {
		is.Equal(wait(), 3*part)
	}
	is.Equal(f.callers(others[3], "/once/x", 5)(), 5)
	is.Equal(others[3].stats.callGrants.Total(), int64(5))
	f.checkAtRest(owner)
}

// TestTwoOwnersForAMomentRunNoCallTwice checks daemons with two views of the membership,
// which then agree.
func TestTwoOwnersForAMomentRunNoCallTwice(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(t, 4)
	owner, others := f.split()
	without := slices.DeleteFunc(f.names(), func(n id.Daemon) bool { return n == owner.name })
	for _, d := range others[:2] {
		d.broker.SetMembers(without)
	}
	var waits []func() int
	for _, d := range f.daemons {
		waits = append(waits, f.callers(d, "/once/x", 10))
	}
	waitUntil(t, "both owners have granted", func() bool { return f.endpoints.arrived() > 4*7 })
	for _, d := range others[:2] {
		d.broker.SetMembers(f.names())
	}
	close(f.endpoints.open)
	answered := 0
	for _, wait := range waits {
		answered += wait()
	}
	is.Equal(answered, 10*len(f.daemons))
	f.checkAtRest(owner)
}

// TestALostGrantKeepsNoSlot checks grants that are lost on their way, of calls that are
// granted at once and of calls that have waited.
func TestALostGrantKeepsNoSlot(t *testing.T) {
	is := is.New(t)
	f := newCallFleet(t, 3)
	owner, others := f.split()
	grants := 0
	f.lose(func(_, _ id.Daemon, e *broker.Envelope) bool {
		if e.Grant != nil {
			grants++
		}
		return e.Grant != nil && grants%3 == 0
	})
	wait := f.callers(others[0], "/once/x", 60)
	waitUntil(t, "calls wait", func() bool { return owner.queued() > 0 })
	close(f.endpoints.open)
	is.True(wait() > 0)
	f.checkAtRest(owner)
}
