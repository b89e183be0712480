package forward

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// boundEngines never answers the first decode order, and keeps the context of the second one,
// to which that engine's stream is bound.
type boundEngines struct {
	silentEngines
	second context.Context
}

// Decode implements Endpoints.
func (e *boundEngines) Decode(ctx context.Context, _ *Attempt, _ KV) (*Opened, *verdict.Error) {
	e.mu.Lock()
	e.orders++
	first := e.orders == 1
	if !first {
		e.second = ctx
	}
	e.mu.Unlock()
	if first {
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "cancelled")
	}
	return &Opened{Status: 200, Events: emptyStream{}}, nil
}

// TestTheStreamOfAnotherEngineOutlivesTheSearchForIt guards against a stream that is cut as
// soon as its other engine has begun to answer, by the end of the search that found it.
func TestTheStreamOfAnotherEngineOutlivesTheSearchForIt(t *testing.T) {
	is := is.New(t)
	engines := &boundEngines{}
	f, r := newTakeoverTest(t, &engines.silentEngines, &lockedOwner{})
	f.Endpoints = engines
	reply, err := f.Run(context.Background(), r)
	is.True(err == nil)
	is.NoErr(engines.second.Err())
	is.NoErr(reply.Events.Close())
	is.True(engines.second.Err() != nil)
}
