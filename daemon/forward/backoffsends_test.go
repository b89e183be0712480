package forward

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// sheddingEndpoints refuse requests at the endpoints that want none and name a backoff, and
// serve the others with empty answers. It is safe for concurrent use.
type sheddingEndpoints struct {
	Endpoints
	mu       sync.Mutex
	backoffs map[id.Endpoint]time.Duration
	// sent holds what was sent, as STEP/ENDPOINT.
	sent []string
	// first, if set, is the stream of the first decode that is served.
	first EventStream
}

func (s *sheddingEndpoints) serve(step string, a *Attempt) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, step+"/"+string(a.Endpoint.Name))
	if d := s.backoffs[a.Endpoint.Name]; d > 0 {
		a.OnBackoff(EndpointBackoff{For: d})
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "endpoint %s refused", a.Endpoint.Name)
	}
	a.OnLimit(EndpointLimit{})
	return nil
}

// count returns how often requests were sent with a step to an endpoint.
func (s *sheddingEndpoints) count(step, endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(s.sent), func(x string) bool { return x != step+"/"+endpoint }))
}

// total returns how many requests were sent.
func (s *sheddingEndpoints) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

// Call implements Endpoints.
func (s *sheddingEndpoints) Call(_ context.Context, a *Attempt) (*Reply, *verdict.Error) {
	if err := s.serve(stepCall, a); err != nil {
		return nil, err
	}
	return &Reply{Status: 200}, nil
}

// Prefill implements Endpoints.
func (s *sheddingEndpoints) Prefill(_ context.Context, a *Attempt) (KV, *verdict.Error) {
	if err := s.serve(stepPrefill, a); err != nil {
		return KV{}, err
	}
	return KV{Source: a.Endpoint.Address, Handle: "kv"}, nil
}

// Decode implements Endpoints.
func (s *sheddingEndpoints) Decode(_ context.Context, a *Attempt, _ KV) (*Opened, *verdict.Error) {
	if err := s.serve(stepDecode, a); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	events := s.first
	s.first = nil
	if events == nil {
		events = emptyStream{}
	}
	return &Opened{Status: 200, Events: events}, nil
}

// Free implements Endpoints.
func (s *sheddingEndpoints) Free(context.Context, registry.Endpoint, KV) {}

// Reachable implements Endpoints.
func (s *sheddingEndpoints) Reachable(context.Context, registry.Endpoint) Reach { return Reached }

// all returns a backoff for each of the endpoints.
func all(d time.Duration, names ...id.Endpoint) map[id.Endpoint]time.Duration {
	out := map[id.Endpoint]time.Duration{}
	for _, name := range names {
		out[name] = d
	}
	return out
}

// askFor begins backoffs as the refusals of other requests would.
func askFor(f *Forwarder, d time.Duration, names ...id.Endpoint) {
	for _, name := range names {
		f.observeBackoff(&Request{ID: "other"}, registry.Endpoint{Name: name}, stepCall, EndpointBackoff{For: d})
	}
}

// finish reads a reply's stream to its end.
func finish(t *testing.T, reply *Reply) {
	t.Helper()
	if reply == nil || reply.Events == nil {
		return
	}
	if _, err := io.ReadAll(reply.Events); err != nil {
		t.Fatal(err)
	}
	if err := reply.Events.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestAnEndpointInBackoffGetsNoRequests guards against requests that go on to an endpoint
// which has told this daemon to wait: calls, calls that may run once, and plain streams go
// to the others until its backoff is over, and then to it as well.
func TestAnEndpointInBackoffGetsNoRequests(t *testing.T) {
	cases := map[string]struct {
		path string
		kind route.Kind
		step string
	}{
		"call":                {"/again/x", route.Idempotent, stepCall},
		"call that runs once": {"/once/x", route.NonIdempotent, stepCall},
		"plain stream":        {"/once/x", route.Stream, stepDecode},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &sheddingEndpoints{backoffs: all(3*time.Second, "a")}
			f, r := newTest(t, s)
			now := stepClock(f)
			r.Path = c.path
			f.View().Routes.Match(r.Host, r.Path).Kind = c.kind
			send := func() {
				r.Arrived = *now
				reply, err := f.Run(context.Background(), r)
				is.Equal(err, nil)
				finish(t, reply)
			}
			for s.count(c.step, "a") == 0 {
				send()
			}
			for range 100 {
				send()
			}
			is.Equal(s.count(c.step, "a"), 1)
			is.True(f.stats.backoffAvoided.Value() >= 100)
			is.Equal(f.Balancer.Available(*now+time.Second, "s"), 4) // it isn't blamed

			clear(s.backoffs)
			*now += 3*time.Second - 1
			send()
			is.Equal(s.count(c.step, "a"), 1)
			*now++
			for range 100 {
				*now += time.Minute // what the balancer knows of them is forgotten
				send()
			}
			is.True(s.count(c.step, "a") > 1)
		})
	}
}

// TestARetryLeavesOutEndpointsInBackoff checks a call that is retried, and one that asks
// another endpoint since its own is silent.
func TestARetryLeavesOutEndpointsInBackoff(t *testing.T) {
	t.Run("after a failure", func(t *testing.T) {
		is := is.New(t)
		s := &fakeEndpoints{survive: true, answer: failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed)}
		f, r := newTest(t, s)
		askFor(f, 3*time.Second, "a", "b", "c")
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Verdict, verdict.MayHaveRun)
		is.Equal(sentTo(s), map[id.Endpoint]int{"d": 1})
	})
	t.Run("beside a silent one", func(t *testing.T) {
		is := is.New(t)
		s := &silentEndpoints{at: map[id.Request]map[id.Endpoint]int{}}
		f, r := newTest(t, s)
		askFor(f, 3*time.Second, "a", "b", "c")
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Code, verdict.CodeDeadline)
		is.Equal(s.at[r.ID], map[id.Endpoint]int{"d": 1})
	})
}

// TestBackoffsOfAllEndpointsRefuseWithARetryAfter checks that a request for which no endpoint
// is free in time is refused at once, not run, with the time until one is, and that its
// callers don't all come back at the same moment.
func TestBackoffsOfAllEndpointsRefuseWithARetryAfter(t *testing.T) {
	is := is.New(t)
	s := &sheddingEndpoints{}
	f, r := newTest(t, s)
	kept := &keptLog{}
	f.Log = kept
	askFor(f, 5*time.Second, "a", "b", "c")
	askFor(f, 2*time.Second, "d")
	advice := map[time.Duration]bool{}
	for range 20 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Verdict, verdict.NotRun)
		is.Equal(err.Code, verdict.CodeOverloaded)
		is.True(err.RetryAfter >= 2*time.Second)
		is.True(err.RetryAfter <= time.Duration((1+backoffSpread)*float64(2*time.Second)))
		advice[err.RetryAfter] = true
	}
	is.True(len(advice) > 1)
	is.Equal(s.total(), 0)
	is.Equal(f.stats.backoffRefusals.Value(), int64(20))
	is.Equal(f.stats.limitRefusals.Value(), int64(0))
	is.Equal(len(kept.with("reason="+reasonBackoff)), 20)
}

// TestTheLastRefusalTellsWhenToComeBack checks a request that the last free endpoint refuses.
func TestTheLastRefusalTellsWhenToComeBack(t *testing.T) {
	is := is.New(t)
	s := &sheddingEndpoints{backoffs: all(2*time.Second, "d")}
	f, r := newTest(t, s)
	askFor(f, 5*time.Second, "a", "b", "c")
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.NotRun)
	is.True(err.RetryAfter >= 2*time.Second)
	is.Equal(s.total(), 1)
}

// TestACallWaitsForAShortBackoff checks that a call is not refused if it can be answered in
// time after a wait, and that it is not sent if another backoff has begun meanwhile.
func TestACallWaitsForAShortBackoff(t *testing.T) {
	for name, again := range map[string]bool{"it is over": false, "another one has begun": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &sheddingEndpoints{}
			f, r := newTest(t, s)
			start := time.Now()
			f.Now = func() time.Duration { return time.Hour + time.Since(start) }
			askFor(f, 100*time.Millisecond, "a")
			askFor(f, time.Minute, "b", "c", "d")
			if again {
				present := f.View()
				var once sync.Once
				f.View = func() *View {
					if time.Since(start) >= 100*time.Millisecond { // the call has waited
						once.Do(func() { askFor(f, time.Minute, "a") })
					}
					return present
				}
			}
			_, err := f.Run(context.Background(), r)
			if again {
				is.Equal(err.Verdict, verdict.NotRun)
				is.Equal(s.total(), 0)
				return
			}
			is.Equal(err, nil)
			is.Equal(s.sent, []string{"call/a"})
			is.True(f.Now() >= time.Hour+100*time.Millisecond)
		})
	}
}

// TestWaitsForBackoffsStayWithinTheCallersTime checks a call whose endpoints begin one
// backoff after another.
func TestWaitsForBackoffsStayWithinTheCallersTime(t *testing.T) {
	is := is.New(t)
	s := &sheddingEndpoints{backoffs: all(50*time.Millisecond, "a", "b", "c", "d")}
	f, r := newTest(t, s)
	start := time.Now()
	f.Now = func() time.Duration { return time.Hour + time.Since(start) }
	askFor(f, 50*time.Millisecond, "a", "b", "c", "d")
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.NotRun)
	is.True(f.Now()-r.Arrived < r.CallerTimeout)
}

// TestEnginesInBackoffGetNoRequests checks that streams avoid engines that are in backoff,
// for prefill and decode, and that those are not blamed for it.
func TestEnginesInBackoffGetNoRequests(t *testing.T) {
	is := is.New(t)
	s := &sheddingEndpoints{backoffs: all(3*time.Second, "p1", "d1")}
	owner := &staleOwner{prefills: []id.Endpoint{"p1", "p2"}, decodes: []id.Endpoint{"d1", "d2"}}
	f, r, _ := newStreamTest(t, &recordingEngines{}, owner)
	f.Endpoints = s
	for range 10 {
		reply, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
		finish(t, reply)
	}
	is.Equal(s.count(stepPrefill, "p1"), 1)
	is.Equal(s.count(stepDecode, "d1"), 1)
	is.Equal(s.count(stepDecode, "d2"), 10)
	is.Equal(f.Evidence.Ledger.Len(), 0)
	for _, p := range owner.progress {
		is.True(!p.Unreachable)
		if p.Phase == sched.PhaseFailed {
			is.True(p.Full)
		}
	}
}

// TestAGrantedEngineInBackoffIsGivenBack checks an engine whose backoff begins while the
// request waits for the pool's owner, or during its prefill.
func TestAGrantedEngineInBackoffIsGivenBack(t *testing.T) {
	for name, engine := range map[string]id.Endpoint{"prefill": "p1", "decode": "d1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &sheddingEndpoints{}
			owner := &unheedingOwner{staleOwner: staleOwner{prefills: []id.Endpoint{"p1", "p2"}, decodes: []id.Endpoint{"d1", "d2"}}}
			f, r, _ := newStreamTest(t, &recordingEngines{}, owner)
			f.Endpoints = s
			askFor(f, 3*time.Second, engine)
			reply, err := f.Run(context.Background(), r)
			is.Equal(err, nil)
			finish(t, reply)
			is.Equal(s.count(name, string(engine)), 0)
			is.True(slices.ContainsFunc(owner.progress, func(p sched.Progress) bool { return p.Phase == sched.PhaseCancelled }))
		})
	}
}

// TestBackoffsOfAllDecodeEnginesRefuseAtOnce checks that such a stream is not left to the
// pool's owner, which would hold it until its patience ends.
func TestBackoffsOfAllDecodeEnginesRefuseAtOnce(t *testing.T) {
	is := is.New(t)
	s := &sheddingEndpoints{backoffs: all(3*time.Second, "d2")}
	owner := &staleOwner{prefills: []id.Endpoint{"p1", "p2"}, decodes: []id.Endpoint{"d1", "d2"}}
	f, r, _ := newStreamTest(t, &recordingEngines{}, owner)
	f.Endpoints = s
	setRoles(f)
	askFor(f, 5*time.Second, "d1")
	for n := range 5 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Verdict, verdict.NotRun)
		is.Equal(err.Code, verdict.CodeOverloaded)
		is.True(err.RetryAfter >= 3*time.Second)
		is.Equal(s.count(stepDecode, "d2"), 1)
		is.Equal(s.total(), 2) // the prefill and the decode of the first stream
		is.Equal(f.stats.backoffRefusals.Value(), int64(n+1))
	}
	is.Equal(s.count(stepDecode, "d1"), 0)
}

// TestStreamsWaitForAShortBackoff checks that streams which can still begin in time wait for
// the end of the backoffs of all decode engines, and that none is lost behind the first one.
func TestStreamsWaitForAShortBackoff(t *testing.T) {
	s := &sheddingEndpoints{}
	f, r := newTakeoverTest(t, &silentEngines{}, &lockedOwner{})
	f.Endpoints = s
	setRoles(f)
	start := time.Now()
	f.Now = func() time.Duration { return time.Hour + time.Since(start) }
	askFor(f, 100*time.Millisecond, "d1", "d2")
	const streams = 8
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			own := *r
			reply, err := f.Run(context.Background(), &own)
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := io.ReadAll(reply.Events); err != nil {
				t.Error(err)
			}
			if err := reply.Events.Close(); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is := is.New(t)
	is.Equal(s.count(stepDecode, "d1")+s.count(stepDecode, "d2"), streams)
	is.True(time.Since(start) >= 100*time.Millisecond)
}

// TestASilentEngineIsNotReplacedByOneInBackoff checks a stream that looks for another engine
// since its own is silent: it keeps that one.
func TestASilentEngineIsNotReplacedByOneInBackoff(t *testing.T) {
	is := is.New(t)
	s := &sheddingEndpoints{}
	silent := newSilentStream("id: 1\ndata: a\n\n")
	s.first = silent
	f, r := newTakeoverTest(t, &silentEngines{}, &lockedOwner{})
	f.Endpoints = s
	setRoles(f)
	reply, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	askFor(f, time.Minute, "d2")
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.ReadAll(reply.Events) // it breaks when the test closes it
	}()
	waitUntil(t, "the search is refused", func() bool { return f.stats.backoffRefusals.Value() > 0 })
	is.NoErr(silent.Close())
	<-read
	is.NoErr(reply.Events.Close())
	is.Equal(s.count(stepDecode, "d2"), 0)
}

// setRoles sets the roles of the engines by their names.
func setRoles(f *Forwarder) {
	view := f.View()
	for name, e := range view.Endpoints {
		e.Role = live.RoleDecode
		if strings.HasPrefix(string(name), "p") {
			e.Role = live.RolePrefill
		}
		view.Endpoints[name] = e
	}
}

// TestABackoffThatBeginsBeforeTheSendIsKept checks what each attempt asks right before it is
// written, after the endpoint was chosen.
func TestABackoffThatBeginsBeforeTheSendIsKept(t *testing.T) {
	is := is.New(t)
	var f *Forwarder
	var r *Request
	s := &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		is.True(a.MaySend())
		askFor(f, time.Second, a.Endpoint.Name)
		is.True(!a.MaySend())
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "it was not sent")
	}}
	f, r = newTest(t, s)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(len(s.sent), maxRefusals)
}

// TestARefusalWithoutABackoffIsAsBefore checks that the endpoint is left out only for as
// long as the balancer does after any refusal.
func TestARefusalWithoutABackoffIsAsBefore(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: failWith(verdict.NotRun, verdict.CodeOverloaded)}
	f, r := newTest(t, s)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.RetryAfter, time.Duration(0))
	is.Equal(len(s.sent), maxRefusals)
	is.Equal(f.backoffs(), 0.0)
	is.Equal(len(f.blockedEngines()), 0)
	is.Equal(outcomeOf(nil, err), balance.Full)
}
