package forward

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// leavingEndpoints answer calls and plain streams with a function, which gets the number
// of the attempt, from 1 on. It is safe for concurrent use.
type leavingEndpoints struct {
	Endpoints
	answer func(ctx context.Context, number int, e id.Endpoint) *verdict.Error

	mu   sync.Mutex
	sent []id.Endpoint
}

func (l *leavingEndpoints) send(ctx context.Context, a *Attempt) *verdict.Error {
	l.mu.Lock()
	l.sent = append(l.sent, a.Endpoint.Name)
	number := len(l.sent)
	l.mu.Unlock()
	return l.answer(ctx, number, a.Endpoint.Name)
}

// Call implements Endpoints.
func (l *leavingEndpoints) Call(ctx context.Context, a *Attempt) (*Reply, *verdict.Error) {
	if err := l.send(ctx, a); err != nil {
		return nil, err
	}
	return &Reply{Status: 200}, nil
}

// Decode implements Endpoints.
func (l *leavingEndpoints) Decode(ctx context.Context, a *Attempt, _ KV) (*Opened, *verdict.Error) {
	if err := l.send(ctx, a); err != nil {
		return nil, err
	}
	return &Opened{Status: 200, Events: emptyStream{}}, nil
}

// Reachable implements Endpoints.
func (l *leavingEndpoints) Reachable(context.Context, registry.Endpoint) Reach { return Reached }

// newLeavingTest returns a Forwarder as newTest does, with a route of plain streams as
// well, and a function that makes all endpoints leave but those that stay.
func newLeavingTest(t *testing.T, endpoints Endpoints) (f *Forwarder, r *Request, leaveAllBut func(stay ...id.Endpoint)) {
	t.Helper()
	f, r = newTest(t, endpoints)
	routes, err := route.NewTable(route.Config{
		Version:  1,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Second, Targets: []route.Target{{Service: "s"}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.NonIdempotent, MaxAttempts: 2, Timeout: time.Second, Targets: []route.Target{{Service: "s"}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, MaxAttempts: 1, Timeout: time.Second, Patience: time.Second, Targets: []route.Target{{Service: "s"}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	var view atomic.Pointer[View]
	view.Store(&View{Routes: routes, Endpoints: f.View().Endpoints})
	f.View = view.Load
	return f, r, func(stay ...id.Endpoint) {
		next := allLeaving(view.Load())
		for _, name := range stay {
			e := next.Endpoints[name]
			e.Leaving = false
			next.Endpoints[name] = e
		}
		var entries []registry.Endpoint
		for e := range maps.Values(next.Endpoints) {
			entries = append(entries, e)
		}
		view.Store(next)
		f.Configure(entries)
	}
}

// otherThan returns an endpoint of newTest that is not e.
func otherThan(e id.Endpoint) id.Endpoint {
	if e == "a" {
		return "b"
	}
	return "a"
}

// TestAnEndpointThatLeavesBetweenAttemptsGetsNone guards against attempts at endpoints
// that have begun to leave since the request arrived: after a refusal, and beside an
// endpoint that is silent.
func TestAnEndpointThatLeavesBetweenAttemptsGetsNone(t *testing.T) {
	refuse := func(context.Context) *verdict.Error { return failure(verdict.NotRun, verdict.CodeOverloaded) }
	cases := map[string]struct {
		path  string
		first func(ctx context.Context) *verdict.Error
	}{
		"a call that is refused":               {"/again/x", refuse},
		"a call that is refused and runs once": {"/once/x", refuse},
		"a plain stream that is refused":       {"/stream/x", refuse},
		"beside a silent endpoint": {"/again/x", func(ctx context.Context) *verdict.Error {
			<-ctx.Done()
			return failure(verdict.MayHaveRun, verdict.CodeCallerGone)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endpoints := &leavingEndpoints{}
			f, r, leaveAllBut := newLeavingTest(t, endpoints)
			endpoints.answer = func(ctx context.Context, number int, e id.Endpoint) *verdict.Error {
				if number > 1 {
					return nil
				}
				leaveAllBut(e, otherThan(e))
				return c.first(ctx)
			}
			r.Path, r.Target = c.path, c.path
			reply, err := f.Run(context.Background(), r)
			is.True(err == nil)
			is.Equal(reply.Status, 200)
			is.Equal(len(endpoints.sent), 2)
			is.Equal(endpoints.sent[1], otherThan(endpoints.sent[0]))
		})
	}
}

// TestARequestWhoseEndpointsAllLeaveIsRefusedAtOnce guards against requests that are sent
// to an endpoint that leaves, or wait for nothing, since the service has no other one. The
// refusal says that the request has not run and when to come back.
func TestARequestWhoseEndpointsAllLeaveIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			endpoints := &leavingEndpoints{}
			f, r, leaveAllBut := newLeavingTest(t, endpoints)
			leaveAllBut()
			r.Path, r.Target = path, path
			_, err := f.Run(context.Background(), r)
			is.True(err != nil)
			is.Equal(err.Verdict, verdict.NotRun)
			is.Equal(err.Code, verdict.CodeNoEndpoint)
			is.Equal(err.RetryAfter, callRetryAfter)
			is.Equal(len(endpoints.sent), 0)
		})
	}
}
