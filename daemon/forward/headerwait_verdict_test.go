package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// scriptedEngines answers each decode order as its script says. crashed is set if engines that
// broke off have crashed.
type scriptedEngines struct {
	silentEngines
	crashed bool
	script  []func(ctx context.Context) (*Opened, *verdict.Error)
}

// Decode implements Endpoints.
func (e *scriptedEngines) Decode(ctx context.Context, _ *Attempt, _ KV) (*Opened, *verdict.Error) {
	e.mu.Lock()
	answer := e.script[min(e.orders, len(e.script)-1)]
	e.orders++
	e.mu.Unlock()
	return answer(ctx)
}

// Reachable implements Endpoints.
func (e *scriptedEngines) Reachable(context.Context, registry.Endpoint) Reach {
	return reachIf(!e.crashed)
}

// Free implements Endpoints.
func (e *scriptedEngines) Free(context.Context, registry.Endpoint, KV) {}

// after answers once its signal has come.
func after(signal <-chan struct{}, opened *Opened, err *verdict.Error) func(context.Context) (*Opened, *verdict.Error) {
	return func(ctx context.Context) (*Opened, *verdict.Error) {
		select {
		case <-signal:
			return opened, err
		case <-ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "cancelled")
		}
	}
}

// signalling closes signal and answers as next does.
func signalling(signal chan<- struct{}, next func(context.Context) (*Opened, *verdict.Error)) func(context.Context) (*Opened, *verdict.Error) {
	return func(ctx context.Context) (*Opened, *verdict.Error) {
		close(signal)
		return next(ctx)
	}
}

// answering answers with opened.
func answering(opened *Opened) func(context.Context) (*Opened, *verdict.Error) {
	return func(context.Context) (*Opened, *verdict.Error) { return opened, nil }
}

// errNone is the refusal of an engine that is full.
var errNone = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")

// newScriptedTest returns a Forwarder whose streams may run at maxAttempts engines.
func newScriptedTest(t *testing.T, owner *lockedOwner, maxAttempts int, script ...func(context.Context) (*Opened, *verdict.Error)) (*Forwarder, *Request, *scriptedEngines) {
	t.Helper()
	engines := &scriptedEngines{script: script}
	f, r := newTakeoverTest(t, &engines.silentEngines, owner)
	f.Endpoints = engines
	f.View().Routes.Match(r.Host, r.Path).MaxAttempts = maxAttempts
	return f, r, engines
}

// TestALateRefusalAfterAnotherEnginesErrorMayHaveRun guards against a refusal that promises
// "not run" although the engine that was asked during the silence has run the stream and
// answered with an error.
func TestALateRefusalAfterAnotherEnginesErrorMayHaveRun(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{})
	f, r, _ := newScriptedTest(t, &lockedOwner{refuseFrom: 3}, 2,
		after(answered, nil, errNone),
		signalling(answered, answering(&Opened{Status: 500})))
	_, err := f.Run(context.Background(), r)
	is.True(err != nil)
	is.True(err.Verdict != verdict.NotRun)
}

// TestAWithdrawnSearchIsNotItsCallersLeaving guards against a stream whose result says that
// its caller has left since a search for another engine was withdrawn.
func TestAWithdrawnSearchIsNotItsCallersLeaving(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{})
	f, r, _ := newScriptedTest(t, &lockedOwner{refuseFrom: 3}, 3,
		after(asked, &Opened{Status: 200, Events: brokenStream{}}, nil),
		signalling(asked, after(nil, nil, nil)))
	_, err := f.Run(context.Background(), r)
	is.True(err != nil)
	is.True(err.Code != verdict.CodeCallerGone)
}

// TestARefusalDuringTheSearchIsNoRun guards against a stream that is cut since the engine that
// refused it after a silence counts as one that has run it.
func TestARefusalDuringTheSearchIsNoRun(t *testing.T) {
	is := is.New(t)
	asked, refused := make(chan struct{}), make(chan struct{})
	owner := &lockedOwner{}
	f, r, engines := newScriptedTest(t, owner, 2,
		func(context.Context) (*Opened, *verdict.Error) {
			<-asked
			defer close(refused)
			return nil, errNone
		},
		signalling(asked, after(refused, &Opened{Status: 200, Events: brokenStream{}}, nil)),
		answering(&Opened{Status: 200, Events: emptyStream{}}))
	third := f.View().Endpoints["d1"]
	third.Name, third.Address = "d3", "d3"
	f.View().Endpoints["d3"] = third
	owner.decodes = append(owner.decodes, "d3")
	reply, err := f.Run(context.Background(), r)
	is.True(err == nil)
	is.NoErr(reply.Events.Close())
	is.Equal(engines.orders, 3)
}

// waitingOwner refuses the second pair, once a condition holds or a second has passed.
type waitingOwner struct {
	lockedOwner
	holds func() bool
	held  chan bool
}

// Pair implements Pairer.
func (o *waitingOwner) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	if w.Attempt == 2 {
		for end := time.Now().Add(time.Second); !o.holds() && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		}
		o.held <- o.holds()
	}
	return o.lockedOwner.Pair(ctx, w, patience)
}

// TestACrashBesideASearchIsEvidenceAtOnce guards against a request that crashes other engines
// while the first crash is not recorded, since a search for another engine is under way.
func TestACrashBesideASearchIsEvidenceAtOnce(t *testing.T) {
	is := is.New(t)
	owner := &waitingOwner{lockedOwner: lockedOwner{refuseFrom: 2}, held: make(chan bool, 1)}
	searching := make(chan struct{})
	f, r, engines := newScriptedTest(t, &owner.lockedOwner, 2,
		after(searching, nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "broke")))
	engines.crashed = true
	f.Pairer = owner
	var once sync.Once
	owner.holds = func() bool {
		once.Do(func() { close(searching) })
		return f.Evidence.Ledger.Len() > 0
	}
	_, err := f.Run(context.Background(), r)
	is.True(err != nil)
	is.True(<-owner.held)
}

// TestAStreamThatBrokeBeforeItsFirstEventMayHaveRun guards against a refusal that promises
// "not run" although an engine has begun to answer the stream.
func TestAStreamThatBrokeBeforeItsFirstEventMayHaveRun(t *testing.T) {
	is := is.New(t)
	f, r, _ := newScriptedTest(t, &lockedOwner{refuseFrom: 2}, 2, answering(&Opened{Status: 200, Events: brokenStream{}}))
	_, err := f.Run(context.Background(), r)
	is.True(err != nil)
	is.Equal(err.Verdict, verdict.MayHaveRun)
}
