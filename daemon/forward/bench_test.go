package forward

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/ratelimit"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// BenchmarkCall measures a plain call through the Forwarder, without sockets.
func BenchmarkCall(b *testing.B) {
	f, r := newTest(b, &fakeEndpoints{answer: func(*Attempt) (*Reply, *verdict.Error) { return &Reply{Status: 200}, nil }})
	b.ReportAllocs()
	for b.Loop() {
		r.Arrived = f.Now()
		if _, err := f.Run(context.Background(), r); err != nil {
			b.Fatal(err)
		}
	}
}

// fakeEndpoints answers calls with a function and records the attempts.
type fakeEndpoints struct {
	Endpoints
	answer func(a *Attempt) (*Reply, *verdict.Error)
	sent   []*Attempt
	// survive is set if endpoints go on after they broke off an exchange.
	survive bool
}

// Call implements Endpoints.
func (s *fakeEndpoints) Call(_ context.Context, a *Attempt) (*Reply, *verdict.Error) {
	s.sent = append(s.sent, a)
	return s.answer(a)
}

// Reachable implements Endpoints: an endpoint that breaks off an exchange has crashed.
func (s *fakeEndpoints) Reachable(context.Context, registry.Endpoint) Reach {
	return reachIf(s.survive)
}

// reachIf returns whether an endpoint is reached that accepts connections or doesn't.
func reachIf(accepts bool) Reach {
	if accepts {
		return Reached
	}
	return NotReached
}

// sameVersion implements Origins for endpoints of one software version.
type sameVersion struct{}

// Began implements Origins.
func (sameVersion) Began(origin.Record) {}

// Ended implements Origins.
func (sameVersion) Ended(origin.Stream) {}

// Find implements Origins.
func (sameVersion) Find(context.Context, origin.Stream) (id.Software, bool) { return "", true }

// discardLog drops all lines.
type discardLog struct{}

// Event implements Log.
func (discardLog) Event(string, ...any) {}

// Routine implements Log.
func (discardLog) Routine(string, ...any) {}

// newTest returns a Forwarder with four endpoints of a plain service and a
// stopped clock, and a request for that service.
func newTest(tb testing.TB, endpoints Endpoints) (*Forwarder, *Request) {
	tb.Helper()
	routes, err := route.NewTable(route.Config{
		Version:  1,
		Services: []route.Service{{Name: "s"}},
		Routes: []route.Route{
			{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Second, Targets: []route.Target{{Service: "s"}}},
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.NonIdempotent, MaxAttempts: 2, Timeout: time.Second, Targets: []route.Target{{Service: "s"}}},
		},
	})
	if err != nil {
		tb.Fatal(err)
	}
	view := &View{Routes: routes, Endpoints: map[id.Endpoint]registry.Endpoint{}}
	var entries []registry.Endpoint
	for _, name := range []id.Endpoint{"a", "b", "c", "d"} {
		e := registry.Endpoint{Name: name, Service: "s", Address: string(name), Slots: 6}
		view.Endpoints[name] = e
		entries = append(entries, e)
	}
	f := New(Deps{
		Self:      func() id.Process { return id.Process{Daemon: "d"} },
		View:      func() *View { return view },
		Endpoints: endpoints,
		Balancer:  balance.New("north", rand.New(rand.NewPCG(1, 1))),
		Origins:   sameVersion{},
		Evidence:  CrashEvidence{Ledger: poison.New(poison.Config{AloneCrashes: 3}), WallClock: func() time.Time { return time.Unix(1e9, 0) }, Await: func(context.Context) {}, Broadcast: func() {}},
		RateLimits: RateLimits{
			Fleet:     func() []id.Daemon { return []id.Daemon{"d"} },
			WallClock: func() time.Time { return time.Unix(1e9, 0) },
			Broadcast: func(ratelimit.Named) {},
		},
		RetryLimit:   retry.WindowConfig{Span: 10 * time.Second, Ratio: 0.2, Slack: 10, Safety: 1},
		Daemons:      func() int { return 2 },
		RetrySharers: func() int { return 2 },
		Stale:        func() bool { return false },
		StopsTooSoon: func(route.Kind, time.Duration) bool { return false },
		Log:          discardLog{},
		Metrics:      metrics.New("d"),
		Now:          func() time.Duration { return time.Hour },
	})
	f.Configure(entries)
	return f, &Request{ID: "r", Method: "GET", Host: "h", Path: "/again/x", Target: "/again/x", Arrived: time.Hour, CallerTimeout: time.Second}
}
