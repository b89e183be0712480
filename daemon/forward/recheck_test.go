package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// convict records the crashes for which a request is refused, as another daemon would
// tell them.
func convict(f *Forwarder, r *Request) {
	suspect := poison.Suspect{Fingerprint: fingerprintOf(r, &trace{})}
	for _, e := range []id.Endpoint{"x1", "x2", "x3"} {
		f.Evidence.Ledger.Crash(f.Evidence.WallClock(), poison.CrashID{Endpoint: e}, []poison.Suspect{suspect})
	}
}

// slowOwner is a pool's owner at whose grant of the given number, from 1 on, something
// happens before the answer. It counts the grants that were given back.
type slowOwner struct {
	willingOwner
	at        int
	happens   func()
	cancelled int
}

// Pair implements Pairer.
func (o *slowOwner) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	g, err := o.willingOwner.Pair(ctx, w, patience)
	if o.granted == o.at {
		o.happens()
	}
	return g, err
}

// Progress implements Pairer.
func (o *slowOwner) Progress(p sched.Progress) {
	if p.Phase == sched.PhaseCancelled {
		o.cancelled++
	}
}

// countedEngines are engines without faults, unless decode says so, that count what
// arrives. happens, if set, is called during each prefill.
type countedEngines struct {
	Endpoints
	happens            func()
	decode             func() (*Opened, *verdict.Error)
	prefilled, decoded int
	freed              chan id.Endpoint
	prefilledBy        id.Endpoint
}

// Prefill implements Endpoints.
func (c *countedEngines) Prefill(_ context.Context, a *Attempt) (KV, *verdict.Error) {
	c.prefilled++
	c.prefilledBy = a.Endpoint.Name
	if c.happens != nil {
		c.happens()
	}
	return KV{Source: a.Endpoint.Address, Handle: "kv"}, nil
}

// Decode implements Endpoints.
func (c *countedEngines) Decode(context.Context, *Attempt, KV) (*Opened, *verdict.Error) {
	c.decoded++
	return c.decode()
}

// Free implements Endpoints.
func (c *countedEngines) Free(_ context.Context, e registry.Endpoint, _ KV) { c.freed <- e.Name }

// Reachable implements Endpoints.
func (c *countedEngines) Reachable(context.Context, registry.Endpoint) Reach { return Reached }

// TestARequestThatIsConvictedBeforeASendIsNotSent guards against a check at a request's
// arrival that does not stand again before it is sent: it waits for engines, lies between
// prefill and decode, or is repeated. Whatever it held is given back, and the verdict says
// whether it may have run.
func TestARequestThatIsConvictedBeforeASendIsNotSent(t *testing.T) {
	refuse := func() (*Opened, *verdict.Error) { return nil, failure(verdict.NotRun, verdict.CodeOverloaded) }
	cases := map[string]struct {
		// atGrant is the grant during which the request is convicted, atPrefill the prefill.
		atGrant, atPrefill int
		decodeOnly         bool
		decode             func() (*Opened, *verdict.Error)
		prefilled, decoded int
		verdict            verdict.Verdict
		freed              bool
	}{
		"while it waits for engines":           {atGrant: 1, verdict: verdict.NotRun},
		"while it waits for a decode engine":   {atGrant: 1, decodeOnly: true, verdict: verdict.NotRun},
		"during its prefill":                   {atPrefill: 1, prefilled: 1, verdict: verdict.NotRun, freed: true},
		"while it waits for another decode":    {atGrant: 2, decode: refuse, prefilled: 1, decoded: 1, verdict: verdict.NotRun, freed: true},
		"while a repeat waits for engines":     {atGrant: 2, decode: breakBeforeFirstEvent, prefilled: 1, decoded: 1, verdict: verdict.MayHaveRun},
		"during the prefill of a repeat":       {atPrefill: 2, decode: breakBeforeFirstEvent, prefilled: 2, decoded: 1, verdict: verdict.MayHaveRun, freed: true},
		"a repeat that waits for a decode one": {atGrant: 2, decodeOnly: true, decode: breakBeforeFirstEvent, decoded: 1, verdict: verdict.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engines := &countedEngines{decode: c.decode, freed: make(chan id.Endpoint, 1)}
			if c.decode == nil {
				engines.decode = openEmpty
			}
			owner := &slowOwner{willingOwner: willingOwner{decodeOnly: c.decodeOnly}, at: c.atGrant}
			f, r := newRetryTest(t, engines, owner)
			owner.happens = func() { convict(f, r) }
			engines.happens = func() {
				if engines.prefilled == c.atPrefill {
					convict(f, r)
				}
			}
			reply, err := f.Run(context.Background(), r)
			is.True(reply == nil)
			is.Equal(err.Code, verdict.CodeQuarantined)
			is.Equal(err.Verdict, c.verdict)
			is.True(err.RetryAfter > 0)
			is.Equal(engines.prefilled, c.prefilled)
			is.Equal(engines.decoded, c.decoded)
			is.Equal(owner.cancelled, 1)
			if c.freed {
				is.Equal(<-engines.freed, engines.prefilledBy)
			}
		})
	}
}

// TestAStreamThatIsConvictedWhileItResumesIsCut checks the same for a stream of which the
// caller has events.
func TestAStreamThatIsConvictedWhileItResumesIsCut(t *testing.T) {
	is := is.New(t)
	engines := &countedEngines{freed: make(chan id.Endpoint, 1)}
	engines.decode = func() (*Opened, *verdict.Error) {
		return &Opened{Status: 200, Events: &oneEvent{}}, nil
	}
	owner := &slowOwner{at: 2}
	f, r := newRetryTest(t, engines, owner)
	owner.happens = func() { convict(f, r) }
	reply, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	buf := make([]byte, readSize)
	n, readErr := reply.Events.Read(buf)
	is.Equal(string(buf[:n]), "id: 1\ndata: x\n\n")
	is.NoErr(readErr)
	_, readErr = reply.Events.Read(buf)
	is.True(readErr != nil)
	is.NoErr(reply.Events.Close())
	is.Equal(engines.prefilled, 1)
	is.Equal(engines.decoded, 1)
}

// oneEvent is a stream that breaks after its first event.
type oneEvent struct {
	brokenStream
	read bool
}

// Read implements io.Reader.
func (s *oneEvent) Read(p []byte) (int, error) {
	if s.read {
		return s.brokenStream.Read(p)
	}
	s.read = true
	return copy(p, "id: 1\ndata: x\n\n"), nil
}

// TestACallThatIsConvictedWhileItWaitsIsNotSent checks a call, and a stream of a service
// without engines, that wait for an endpoint's rate limit.
func TestACallThatIsConvictedWhileItWaitsIsNotSent(t *testing.T) {
	for _, kind := range []route.Kind{route.Idempotent, route.Stream} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			s := nameLimits(map[id.Endpoint]float64{"a": 2, "b": 2, "c": 2, "d": 2})
			f, r := newTest(t, s)
			r.CallerTimeout = time.Minute
			for f.stats.limitAvoided.Value() == 0 { // until the endpoints are at their limits
				_, err := f.Run(context.Background(), r)
				is.Equal(err, nil)
			}
			r.Target = "/again/another" // one that has not just succeeded
			f.View().Routes.Match(r.Host, r.Path).Kind = kind
			sent, view := len(s.sent), f.View()
			waits := f.stats.limitAvoided.Value()
			f.View = func() *View {
				if f.stats.limitAvoided.Value() > waits && f.Evidence.Ledger.Len() == 0 { // the call waits
					convict(f, r)
				}
				return view
			}
			_, err := f.Run(context.Background(), r)
			is.True(err != nil)
			is.Equal(err.Code, verdict.CodeQuarantined)
			is.Equal(err.Verdict, verdict.NotRun)
			is.Equal(len(s.sent), sent)
		})
	}
}
