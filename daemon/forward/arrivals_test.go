package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// willingOwner is a pool's owner that always grants another pair of engines. With
// decodeOnly the decode engine is to prefill the prompt itself.
type willingOwner struct {
	granted    int
	decodeOnly bool
}

// Pair implements Pairer.
func (o *willingOwner) Pair(_ context.Context, w sched.Want, _ time.Duration) (sched.Grant, *verdict.Error) {
	o.granted++
	g := sched.Grant{Request: w.Request, Decode: engineName("d", o.granted), Reservation: 1}
	if !w.Prefilled && !o.decodeOnly {
		g.Prefill = engineName("p", o.granted)
	}
	return g, nil
}

// Progress implements Pairer.
func (o *willingOwner) Progress(sched.Progress) {}

// enginesOfARole is the number of engines of each role that willingOwner grants in
// turn.
const enginesOfARole = 4

func engineName(role string, n int) id.Endpoint {
	return id.Endpoint(fmt.Sprintf("%s%d", role, 1+n%enginesOfARole))
}

// countingEngines counts, by request, what arrives at the engines of a service as
// its retry limit counts it. Fields that are nil stand for engines without faults.
type countingEngines struct {
	Endpoints
	prefill func() *verdict.Error
	decode  func() (*Opened, *verdict.Error)
	arrived map[id.Request]int
	// prefilled holds the requests of which a prefill was accepted.
	prefilled map[id.Request]bool
}

// Prefill implements Endpoints.
func (c *countingEngines) Prefill(_ context.Context, a *Attempt) (KV, *verdict.Error) {
	if c.prefill != nil {
		if err := c.prefill(); err != nil {
			c.arrive(a, err)
			return KV{}, err
		}
	}
	if c.prefilled[a.Request.ID] {
		c.arrive(a, nil)
	}
	c.prefilled[a.Request.ID] = true
	return KV{Source: a.Endpoint.Address, Handle: "kv"}, nil
}

// Decode implements Endpoints.
func (c *countingEngines) Decode(_ context.Context, a *Attempt, _ KV) (*Opened, *verdict.Error) {
	opened, err := c.decode()
	c.arrive(a, err)
	return opened, err
}

// Free implements Endpoints.
func (c *countingEngines) Free(context.Context, registry.Endpoint, KV) {}

// Reachable implements Endpoints.
func (c *countingEngines) Reachable(context.Context, registry.Endpoint) Reach { return NotReached }

func (c *countingEngines) arrive(a *Attempt, err *verdict.Error) {
	if err == nil || err.Code != verdict.CodeUnavailable {
		c.arrived[a.Request.ID]++
	}
}

// repeats returns the arrivals beyond the first of each request.
func (c *countingEngines) repeats() int {
	n := 0
	for _, arrived := range c.arrived {
		n += arrived - 1
	}
	return n
}

// brokenStream is a stream that breaks before its first event.
type brokenStream struct{ emptyStream }

// Read implements io.Reader.
func (brokenStream) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func breakBeforeFirstEvent() (*Opened, *verdict.Error) {
	return &Opened{Status: 200, Events: brokenStream{}}, nil
}

func openEmpty() (*Opened, *verdict.Error) {
	return &Opened{Status: 200, Events: emptyStream{}}, nil
}

func failure(v verdict.Verdict, code verdict.Code) *verdict.Error {
	return verdict.New(v, code, "it failed")
}

// TestRetriedStreamsStayWithinTheServiceLimit guards against retries that are counted
// once and arrive twice: a stream that starts again is prefilled and decoded again,
// and both arrive at an engine.
func TestRetriedStreamsStayWithinTheServiceLimit(t *testing.T) {
	refuse := func() *verdict.Error { return failure(verdict.NotRun, verdict.CodeOverloaded) }
	cases := map[string]struct {
		engines    countingEngines
		decodeOnly bool
	}{
		"streams break": {engines: countingEngines{decode: breakBeforeFirstEvent}},
		"streams break, and the decode engine prefills": {engines: countingEngines{decode: breakBeforeFirstEvent}, decodeOnly: true},
		"decodes break": {engines: countingEngines{decode: func() (*Opened, *verdict.Error) {
			return nil, failure(verdict.MayHaveRun, verdict.CodeEndpointFailed)
		}}},
		"decodes are refused":  {engines: countingEngines{decode: func() (*Opened, *verdict.Error) { return nil, refuse() }}},
		"prefills are refused": {engines: countingEngines{prefill: refuse, decode: openEmpty}},
		"prefills time out": {engines: countingEngines{
			prefill: func() *verdict.Error { return failure(verdict.MayHaveRun, verdict.CodeDeadline) }, decode: openEmpty,
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engines := c.engines
			engines.arrived, engines.prefilled = map[id.Request]int{}, map[id.Request]bool{}
			f, r := newRetryTest(t, &engines, &willingOwner{decodeOnly: c.decodeOnly})
			const requests = 100
			for n := range requests {
				r.ID = id.Request(fmt.Sprint("r", n))
				// A request that crashes endpoints repeatedly would be quarantined.
				r.Prompt = fmt.Sprint("prompt", n)
				_, err := f.Run(context.Background(), r)
				is.True(err != nil)
			}
			got := engines.repeats()
			t.Logf("%d arrivals beyond the first of their request", got)
			is.True(got > 0)
			is.True(got <= 5+requests/5) // half of the slack of 10, and a fifth of the requests
			unused := retry.NewWindow(f.RetryLimit).Left(0, 2)
			is.Equal(f.window("s").Left(f.Now()+time.Hour, 2), unused) // no retry stays taken
		})
	}
}

// engineEntries returns the registry entries of the engines that willingOwner grants.
func engineEntries() map[id.Endpoint]registry.Endpoint {
	out := map[id.Endpoint]registry.Endpoint{}
	for n := range enginesOfARole {
		for _, role := range []string{"p", "d"} {
			name := engineName(role, n)
			out[name] = registry.Endpoint{Name: name, Service: "s", Address: string(name), Slots: 6}
		}
	}
	return out
}

// newRetryTest returns a Forwarder with engines of both roles and a resumable
// request.
func newRetryTest(t *testing.T, engines Endpoints, owner Pairer) (*Forwarder, *Request) {
	t.Helper()
	f, r := newTest(t, engines)
	routes, err := route.NewTable(route.Config{
		Version:  1,
		Services: []route.Service{{Name: "s", Engine: &route.Engine{KVLifetime: time.Second}}},
		Routes: []route.Route{{
			Name: "resume", Host: "h", Prefix: "/resume/", Kind: route.Stream, Resumable: true, MaxAttempts: 3,
			Timeout: 10 * time.Second, Patience: 2 * time.Second, TargetLatency: time.Second,
			Targets: []route.Target{{Service: "s"}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	view := &View{Routes: routes, Endpoints: engineEntries()}
	f.View = func() *View { return view }
	f.Pairer = owner
	r.Path, r.Target, r.CallerTimeout = "/resume/x", "/resume/x", 10*time.Second
	return f, r
}

// TestAShareIsReadUnderTheLockOfTheWindows guards against a retry that a share allows
// while the share is handed on: the account that goes with it, which is read under the
// same lock, would lack that retry.
func TestAShareIsReadUnderTheLockOfTheWindows(t *testing.T) {
	is := is.New(t)
	refuse := func() *verdict.Error { return failure(verdict.NotRun, verdict.CodeOverloaded) }
	engines := &countingEngines{prefill: refuse, decode: openEmpty, arrived: map[id.Request]int{}, prefilled: map[id.Request]bool{}}
	f, r := newRetryTest(t, engines, &willingOwner{})
	reads := 0
	f.RetrySharers = func() int {
		reads++
		free := f.mu.TryLock()
		if free {
			f.mu.Unlock()
		}
		is.True(!free)
		return 1
	}
	_, err := f.Run(context.Background(), r)
	is.True(err != nil)
	is.True(reads > 0)
}
