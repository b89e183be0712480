package forward

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// lateEngines has a first decode order that ends only once release is closed, with err or an
// empty stream, and others that fail with otherErr.
type lateEngines struct {
	silentEngines
	release  chan struct{}
	err      *verdict.Error
	otherErr *verdict.Error
}

// Decode implements Endpoints.
func (e *lateEngines) Decode(ctx context.Context, _ *Attempt, _ KV) (*Opened, *verdict.Error) {
	e.mu.Lock()
	e.orders++
	first := e.orders == 1
	e.mu.Unlock()
	if !first {
		return nil, e.otherErr
	}
	select {
	case <-e.release:
	case <-ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "cancelled")
	}
	if e.err != nil {
		return nil, e.err
	}
	return &Opened{Status: 200, Events: emptyStream{}}, nil
}

// ordered returns the number of decode orders.
func (e *lateEngines) ordered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

// runLate serves a stream whose first engine ends its silence once the search for another one
// was refused or has asked one.
func runLate(t *testing.T, engines *lateEngines, owner *lockedOwner) *verdict.Error {
	t.Helper()
	engines.release = make(chan struct{})
	f, r := newTakeoverTest(t, &engines.silentEngines, owner)
	f.Endpoints = engines
	failed := make(chan *verdict.Error, 1)
	go func() {
		reply, err := f.Run(context.Background(), r)
		if reply != nil && reply.Events != nil {
			_ = reply.Events.Close()
		}
		failed <- err
	}()
	waitUntil(t, "another engine was asked or refused", func() bool { return owner.refused() || engines.ordered() > 1 })
	close(engines.release)
	return <-failed
}

// TestALateRefusalBeforeTheHeaderIsNotRun guards against a caller who is told that its stream
// may have run although its only engine, after a silence, refused it.
func TestALateRefusalBeforeTheHeaderIsNotRun(t *testing.T) {
	is := is.New(t)
	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
	err := runLate(t, &lateEngines{err: refusal}, &lockedOwner{refuseFrom: 2})
	is.True(err != nil)
	is.Equal(err.Verdict, verdict.NotRun)
}

// TestALateRefusalAfterAnotherEngineFailedMayHaveRun guards against a refusal that promises
// "not run" although the engine that was asked during the silence may have run the stream.
func TestALateRefusalAfterAnotherEngineFailedMayHaveRun(t *testing.T) {
	is := is.New(t)
	engines := &lateEngines{
		err:      verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full"),
		otherErr: verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "broke"),
	}
	err := runLate(t, engines, &lockedOwner{})
	is.True(err != nil)
	is.Equal(err.Verdict, verdict.MayHaveRun)
	is.Equal(engines.ordered(), 2)
}

// TestAnEngineThatBeginsLateIsNotGivenUp guards against a stream that ends with an error since
// its engine began to answer after the time at which another one is sought.
func TestAnEngineThatBeginsLateIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	is.True(runLate(t, &lateEngines{}, &lockedOwner{refuseFrom: 2}) == nil)
}
