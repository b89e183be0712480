package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/ratelimit"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// nameLimits returns endpoints that answer all calls and name a limit for some of them.
func nameLimits(perSecond map[id.Endpoint]float64) *fakeEndpoints {
	return &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		a.OnLimit(EndpointLimit{PerSecond: perSecond[a.Endpoint.Name]})
		return &Reply{Status: 200}, nil
	}}
}

// sentTo counts the attempts at each endpoint.
func sentTo(s *fakeEndpoints) map[id.Endpoint]int {
	out := map[id.Endpoint]int{}
	for _, a := range s.sent {
		out[a.Endpoint.Name]++
	}
	return out
}

// TestRequestsBeyondALimitGoToOtherEndpoints checks that an endpoint that names a limit
// gets no more than its burst while time stands still, and that no request is refused.
func TestRequestsBeyondALimitGoToOtherEndpoints(t *testing.T) {
	is := is.New(t)
	limits := map[id.Endpoint]float64{"a": 1, "b": 1, "c": 1}
	s := nameLimits(limits)
	f, r := newTest(t, s)
	for range 200 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
	}
	got := sentTo(s)
	const most = 2 // the one that named the limit first, and the one that it leaves then
	for e := range limits {
		is.True(got[e] <= most)
	}
	is.True(got["a"]+got["b"]+got["c"] > 0)
}

// TestLimitsOfAllEndpointsRefuseWithARetryAfter checks that a request for which no
// endpoint has room in time is refused at once, with the time until one has.
func TestLimitsOfAllEndpointsRefuseWithARetryAfter(t *testing.T) {
	is := is.New(t)
	s := nameLimits(map[id.Endpoint]float64{"a": 0.5, "b": 0.5, "c": 0.5, "d": 0.5})
	f, r := newTest(t, s)
	var refused *verdict.Error
	for range 20 {
		if _, err := f.Run(context.Background(), r); err != nil {
			refused = err
		}
	}
	is.True(refused != nil)
	is.Equal(refused.Verdict, verdict.NotRun)
	is.Equal(refused.Code, verdict.CodeOverloaded)
	is.Equal(refused.RetryAfter, 2*time.Second)
	sent := len(s.sent)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeOverloaded)
	is.Equal(len(s.sent), sent)
}

// TestALimitOfAnotherDaemonIsKept checks that a limit that only another daemon was named
// holds here too, and ends when that daemon says so.
func TestALimitOfAnotherDaemonIsKept(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: func(*Attempt) (*Reply, *verdict.Error) { return &Reply{Status: 200}, nil }}
	f, r := newTest(t, s)
	is.True(f.LearnLimit(ratelimit.Named{Endpoint: "a", PerSecond: 0.1, AtUnixMS: 1}))
	is.True(!f.LearnLimit(ratelimit.Named{Endpoint: "unknown", PerSecond: 1, AtUnixMS: 1}))
	for range 50 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
	}
	is.True(sentTo(s)["a"] <= 1)
	is.Equal(f.limited(), 1.0)
	is.True(f.LearnLimit(ratelimit.Named{Endpoint: "a", AtUnixMS: 2}))
	is.Equal(f.limited(), 0.0)
	is.Equal(len(f.blockedEngines()), 0)
}

// TestAnUnusableLimitChangesNothing checks a limit that can't be used.
func TestAnUnusableLimitChangesNothing(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		a.OnLimit(EndpointLimit{Invalid: "-1"})
		return &Reply{Status: 200}, nil
	}}
	f, r := newTest(t, s)
	_, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	is.Equal(f.limited(), 0.0)
	is.Equal(f.stats.invalidLimits.Value(), int64(1))
}

// TestAnEngineAtItsLimitIsGivenBack checks that streams avoid engines that have reached
// their limits, and give back one that was granted all the same.
func TestAnEngineAtItsLimitIsGivenBack(t *testing.T) {
	is := is.New(t)
	engines := &recordingEngines{}
	owner := &staleOwner{prefills: []id.Endpoint{"p1", "p2"}, decodes: []id.Endpoint{"d1", "d2"}}
	f, r, _ := newStreamTest(t, engines, owner)
	is.True(f.LearnLimit(ratelimit.Named{Endpoint: "d1", PerSecond: 0.1, AtUnixMS: 1}))
	is.True(f.LearnLimit(ratelimit.Named{Endpoint: "p1", PerSecond: 0.1, AtUnixMS: 1}))
	for range 3 {
		_, err := f.Run(context.Background(), r)
		is.True(err == nil)
	}
	is.Equal(engines.decoded, []id.Endpoint{"d1", "d2", "d2"})
	is.Equal(engines.prefilled, []id.Endpoint{"p1", "p2", "p2"})

	f.Pairer = &unheedingOwner{staleOwner: staleOwner{prefills: []id.Endpoint{"p2"}, decodes: []id.Endpoint{"d1", "d2"}}}
	_, err := f.Run(context.Background(), r)
	is.True(err == nil)
	is.Equal(engines.decoded[3], id.Endpoint("d2"))
}

// unheedingOwner grants an engine that the first request for it avoids.
type unheedingOwner struct {
	staleOwner
	asked int
}

// Pair implements Pairer.
func (o *unheedingOwner) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	o.asked++
	if o.asked == 1 {
		w.Avoid = nil
	}
	return o.staleOwner.Pair(ctx, w, patience)
}

// TestAnEndpointThatLeavesDuringTheWaitGetsNothing checks that a call that waited for an
// endpoint's limit is not sent there if the endpoint has begun to leave meanwhile.
func TestAnEndpointThatLeavesDuringTheWaitGetsNothing(t *testing.T) {
	is := is.New(t)
	s := nameLimits(map[id.Endpoint]float64{"a": 2, "b": 2, "c": 2, "d": 2})
	f, r := newTest(t, s)
	r.CallerTimeout = time.Minute
	present := f.View()
	f.View = func() *View {
		if f.stats.limitAvoided.Value() > 0 { // the call has begun to wait
			return allLeaving(present)
		}
		return present
	}
	for f.stats.limitAvoided.Value() == 0 {
		sent := len(s.sent)
		_, err := f.Run(context.Background(), r)
		if f.stats.limitAvoided.Value() > 0 {
			is.True(err != nil)
			is.Equal(err.Verdict, verdict.NotRun)
			is.Equal(len(s.sent), sent)
		}
	}
}

// allLeaving returns a view in which all endpoints leave.
func allLeaving(v *View) *View {
	out := *v
	out.Endpoints = map[id.Endpoint]registry.Endpoint{}
	for name, e := range v.Endpoints {
		e.Leaving = true
		out.Endpoints[name] = e
	}
	return &out
}
