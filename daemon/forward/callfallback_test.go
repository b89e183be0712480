package forward

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestASilentEndpointsGrantEndsOnce checks a call that another endpoint answers beside a
// silent one: the owner learns of the silence, once.
func TestASilentEndpointsGrantEndsOnce(t *testing.T) {
	is := is.New(t)
	s := &oneSilent{silent: "a"}
	owner := &queueOwner{endpoints: []id.Endpoint{"a"}}
	f, r := newQueueTest(t, s, owner)
	start := time.Now()
	f.Now = func() time.Duration { return time.Hour + time.Since(start) }
	reply, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	is.Equal(reply.Status, 200)
	is.Equal(owner.phases(t), []sched.Progress{{Phase: sched.PhaseFailed, Endpoint: "a", TimedOut: true}})
}

// oneSilent are endpoints of which one never answers.
type oneSilent struct {
	Endpoints
	silent id.Endpoint
}

// Call implements Endpoints.
func (s *oneSilent) Call(ctx context.Context, a *Attempt) (*Reply, *verdict.Error) {
	if a.Endpoint.Name != s.silent {
		return &Reply{Status: 200}, nil
	}
	<-ctx.Done()
	return nil, failure(verdict.MayHaveRun, verdict.CodeCallerGone)
}

// Reachable implements Endpoints.
func (s *oneSilent) Reachable(context.Context, registry.Endpoint) Reach { return Reached }

// TestASilentOwnersCallsStayWithinTheDaemonsPart checks that calls go on without the owner,
// no more of them at a time than the daemon's part of the slots, and that the others are
// refused once they can't be in time, with a time to come back.
func TestASilentOwnersCallsStayWithinTheDaemonsPart(t *testing.T) {
	is := is.New(t)
	s := &heldEndpoints{hold: make(chan struct{}), begun: make(chan struct{}, 100)}
	f, r := newQueueTest(t, s, &queueOwner{err: undecidedError})
	f.View().Routes.Match("h", "/again/x").TargetLatency = 20 * time.Millisecond
	const part = 4 * 6 / 2 // four endpoints of six slots, two daemons
	var wg sync.WaitGroup
	for range part {
		wg.Go(func() {
			own := *r
			own.Path = "/once/x"
			if _, err := f.Run(context.Background(), &own); err != nil {
				t.Error(err)
			}
		})
	}
	for range part {
		<-s.begun
	}
	for range 20 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Verdict, verdict.NotRun)
		is.Equal(err.Code, verdict.CodeOverloaded)
		is.True(errors.Is(err.Cause, errFallbackFull))
		is.True(err.RetryAfter >= callRetryAfter)
	}
	close(s.hold)
	wg.Wait()
	is.Equal(f.fallbacks.InFlight(), 0)
	_, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	is.Equal(f.fallbacks.InFlight(), 0)
	is.Equal(f.stats.callFallbacks.Value("s/refused"), int64(20))
}

// heldEndpoints answer once hold is closed.
type heldEndpoints struct {
	Endpoints
	hold, begun chan struct{}
}

// Call implements Endpoints.
func (s *heldEndpoints) Call(context.Context, *Attempt) (*Reply, *verdict.Error) {
	s.begun <- struct{}{}
	<-s.hold
	return &Reply{Status: 200}, nil
}

// TestACallThatRunsOnceIsNotSentAgainWhenItsOwnerFallsSilent checks a call that has reached
// an endpoint before the owner is lost.
func TestACallThatRunsOnceIsNotSentAgainWhenItsOwnerFallsSilent(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed), survive: true}
	owner := &queueOwner{endpoints: []id.Endpoint{"a"}, err: undecidedError, after: 1}
	f, r := newQueueTest(t, s, owner)
	r.Path = "/once/x"
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.MayHaveRun)
	is.Equal(len(s.sent), 1)
}

// TestWithoutTheQueueNoOwnerIsAsked checks that the switch changes nothing while it is off.
func TestWithoutTheQueueNoOwnerIsAsked(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: answerWith(200)}
	owner := &queueOwner{}
	f, r := newQueueTest(t, s, owner)
	f.CallQueue = func() bool { return false }
	for range 10 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
	}
	is.Equal(len(owner.wants), 0)
	is.Equal(len(s.sent), 10)
}
