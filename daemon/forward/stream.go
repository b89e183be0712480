package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// firstEventTime is kept free of a stream's patience for the prefill, the
	// transfer and the first event, which follow the wait for engines.
	firstEventReserve = 500 * time.Millisecond
	// prefillLeast and prefillPerToken bound a prefill: some times what a sound
	// engine takes, and short enough to have the prompt read elsewhere in time.
	minPrefillTimeout      = 350 * time.Millisecond
	prefillTimeoutPerToken = 100 * time.Microsecond
	// kvShare of a KV cache's life may pass before it is sent to another
	// decode engine: the transfer must begin before it ends.
	kvLifeFraction = 0.7
	// stallAfter is the pause after which a stream that may be resumed is taken
	// from its engine.
	stallTimeout = 1500 * time.Millisecond
	// headLimit bounds the wait for the head of a stream that may be resumed.
	headerTimeout = 2 * time.Second
	// freeLimit bounds the freeing of a KV cache.
	freeTimeout = 500 * time.Millisecond
	// leastForPrefill is the time that must be left to begin a prompt again.
	minTimeForPrefill = 400 * time.Millisecond
	// maxPairings bounds the pairs of engines that one request is given.
	maxPairings = 4
)

// generation is one request for a stream on its way through the engines.
type generation struct {
	f       *Forwarder
	request *Request
	trace   *trace
	service *route.Service
	// last is the last event that the caller has got.
	lastEvent string
	// pairings counts the wants, ran the engines that may have run it.
	pairings int
	runs     int
	avoid    []id.Endpoint
	// grant in use, and the Want's id.
	grant sched.Grant
	// failure is the worst one so far.
	worstErr *verdict.Error
}

// stream serves a stream. It returns once the first event is there.
func (f *Forwarder) stream(ctx context.Context, cancel context.CancelFunc, r *Request, t *trace, s *route.Service) (*Reply, *verdict.Error) {
	g := &generation{f: f, request: r, trace: t, service: s, lastEvent: r.LastEvent}
	rel := &relay{generation: g, ctx: ctx, cancel: cancel}
	if err := rel.start(); err != nil {
		cancel()
		return nil, err
	}
	opened := rel.opened
	if opened.Events == nil {
		cancel()
		return &Reply{Status: opened.Status, Header: opened.Header, Body: opened.Body}, nil
	}
	return &Reply{Status: opened.Status, Header: opened.Header, Events: rel}, nil
}

// resumable says whether the stream may go on at another engine.
func (g *generation) resumable() bool {
	return g.trace.route.Resumable && g.runs < g.trace.route.MaxAttempts
}

// open gets the engines, has the prompt read and starts the decode, as often
// as that is allowed.
func (g *generation) open(ctx context.Context) (*Opened, *verdict.Error) {
	for {
		kv, readAt, err := g.pairAndPrefill(ctx)
		if err == nil {
			var opened *Opened
			if opened, err = g.decode(ctx, kv, readAt); err == nil {
				return opened, nil
			}
		}
		g.worstErr = worseError(g.worstErr, err)
		if !g.mayRetry(ctx, err) {
			return nil, g.worstErr
		}
	}
}

// mayBeginAgain says whether a new pair of engines may be tried.
func (g *generation) mayRetry(ctx context.Context, err *verdict.Error) bool {
	f := g.f
	switch {
	case ctx.Err() != nil || f.timeLeft(g.request, g.trace.route) < minTimeForPrefill:
		g.trace.reason = "no time is left"
	case err.Verdict != verdict.NotRun && !g.resumable():
		g.trace.reason = "it may not run again"
	case f.checkQuarantine(g.request, g.trace) != nil:
		// judge has set the reason.
	case keyRejected(err):
		g.trace.reason = "its key is no longer good"
	case refusedByOwner(err):
		g.trace.reason = "the pool's owner refused"
	case g.pairings >= maxPairings:
		g.trace.reason = "too many engines failed"
	case err.Code != verdict.CodeUnavailable && !f.takeRetry(g.service.Name):
		g.trace.reason = "the service's bound on repeats is reached"
	default:
		return true
	}
	return false
}

// errOwner is the cause of the refusals of a pool's owner.
var errOwner = errors.New("the pool's owner refused")

func refusedByOwner(err *verdict.Error) bool { return errors.Is(err.Cause, errOwner) }

// pair asks the pool's owner for engines; for a decode engine alone where there
// is a KV cache, which lives for kvLeft.
func (g *generation) pair(ctx context.Context, kvLeft time.Duration) *verdict.Error {
	f, r, rt := g.f, g.request, g.trace.route
	g.pairings++
	age := f.Now() - r.Arrived
	patience := max(rt.Patience-firstEventReserve, rt.TargetLatency)
	patience = min(patience, f.deadline(r, rt)-r.Arrived-firstEventReserve)
	if g.lastEvent != r.LastEvent {
		// A stream that goes on: its caller has waited since the last event.
		patience = age + rt.Patience/2
	}
	prefilled := kvLeft > 0
	if prefilled {
		patience = age + kvLeft
	}
	want := sched.Want{
		Request:      id.Request(fmt.Sprintf("%s.%d", r.ID, g.pairings)),
		Team:         g.trace.fairShareTeam(),
		Service:      g.service.Name,
		Pool:         id.Pool(g.service.Name),
		From:         f.Self(),
		Age:          age,
		PromptTokens: r.PromptTokens,
		OutputTokens: expectedOutput(r),
		Priority:     g.priority(),
		Avoid:        g.avoid,
		Domain:       f.Domain,
		Attempt:      g.pairings,
		Target:       rt.TargetLatency,
		Patience:     patience,
		Lifetime:     f.deadline(r, rt) - r.Arrived,
		Prefilled:    prefilled,
		Pause:        rt.TargetGap,
	}
	grant, err := f.Pairer.Pair(ctx, want, max(patience-age, 0))
	if err != nil {
		return err.WithCause(errOwner)
	}
	g.grant = grant
	now := f.Now()
	f.stats.engineWait.Record(now - r.Arrived - age)
	g.trace.waited += now - r.Arrived - age
	f.Log.Routine("granted", "request", r.ID, "route", rt.Name, "print", shortFingerprint(r, g.trace), "pairing", g.pairings, "prefill", grant.Prefill, "decode", grant.Decode,
		"owner", grant.Owner, "reservation", grant.Reservation, "reason", grant.Reason)
	return nil
}

// expectedOutput is the caller's guess, within its bound.
func expectedOutput(r *Request) int {
	if r.ExpectedOutput > 0 && r.OutputTokens > 0 {
		return min(r.ExpectedOutput, r.OutputTokens)
	}
	return max(r.ExpectedOutput, r.OutputTokens)
}

// Bounds of the scheduler's priority, where the highest goes first; routes
// count from 0, the most urgent.
const highestPriority = 9

func (g *generation) priority() int { return highestPriority - g.trace.urgency() }

// begin gets engines and has the prompt read, unless the decode engine is to
// read it.
func (g *generation) pairAndPrefill(ctx context.Context) (KV, time.Duration, *verdict.Error) {
	if err := g.pair(ctx, 0); err != nil {
		return KV{}, 0, err
	}
	if _, err := g.grantedEngine(g.grant.Decode); err != nil {
		// Before its prompt is read for nothing.
		return KV{}, 0, err
	}
	if g.grant.Prefill == "" {
		g.trace.prefill = g.grant.Decode
		return KV{}, g.f.Now(), nil
	}
	return g.prefill(ctx)
}

// prefill has the prompt read.
func (g *generation) prefill(ctx context.Context) (KV, time.Duration, *verdict.Error) {
	f := g.f
	engine, err := g.usableEngine(g.grant.Prefill)
	if err != nil {
		return KV{}, 0, err
	}
	g.trace.prefill = engine.Name
	f.countUnlisted(g.trace, engine)
	g.progress(sched.Progress{Phase: sched.PhasePrefilling})
	begun := f.Now()
	attempt := g.newAttempt(engine)
	attempt.Until = min(attempt.Until, begun+minPrefillTimeout+time.Duration(g.request.PromptTokens)*prefillTimeoutPerToken)
	kv, err := f.Endpoints.Prefill(ctx, attempt)
	now := f.Now()
	if err != nil {
		g.reportEngineFailure(engine, err, stepPrefill, now-begun)
		return KV{}, 0, prefillFailed(err)
	}
	g.trace.prefillTime += now - begun
	g.progress(sched.Progress{
		Phase:        sched.PhaseTransferring,
		PromptTokens: g.request.PromptTokens,
		PrefillTime:  now - begun,
	})
	return kv, now, nil
}

// prefillFailed tells what a failed prefill means for the request: it has not run.
func prefillFailed(err *verdict.Error) *verdict.Error {
	out := *err
	out.Verdict = verdict.NotRun
	return &out
}

// granted looks up an engine that the pool's owner granted. Where it is gone or
// leaves, by this daemon's own knowledge, the grant is given back: an owner that
// was not run for a while, or is cut off from the news, grants engines that must
// get no new work.
func (g *generation) grantedEngine(name id.Endpoint) (registry.Endpoint, *verdict.Error) {
	engine, known := g.f.View().Endpoints[name]
	if known && !engine.Leaving {
		return engine, nil
	}
	why := "is no longer registered"
	if known {
		why = "is leaving"
	}
	g.f.Log.Event("grant_given_back", "request", g.request.ID, "endpoint", name, "owner", g.grant.Owner,
		"reservation", g.grant.Reservation, "why", why)
	g.progress(sched.Progress{Phase: sched.PhaseCancelled})
	g.avoid = append(g.avoid, name)
	return engine, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "engine %s %s", name, why)
}

// mayUse looks up an engine for a request whose key is still good.
func (g *generation) usableEngine(name id.Endpoint) (registry.Endpoint, *verdict.Error) {
	engine, err := g.grantedEngine(name)
	if err == nil {
		err = g.checkKey()
	}
	return engine, err
}

// allowed gives a grant back where the request's key is no longer good.
func (g *generation) checkKey() *verdict.Error {
	err := g.f.recheckKey(g.request, g.trace)
	if err != nil {
		g.progress(sched.Progress{Phase: sched.PhaseCancelled})
	}
	return err
}

func (g *generation) newAttempt(e registry.Endpoint) *Attempt {
	f := g.f
	limit := f.deadline(g.request, g.trace.route)
	return &Attempt{
		Request:     g.request,
		Endpoint:    e,
		Left:        limit - f.Now(),
		Until:       limit,
		MaxConns:    f.maxConns(g.service),
		LastEvent:   g.lastEvent,
		Urgency:     g.trace.urgency(),
		Team:        g.trace.teamName(),
		Credentials: g.trace.credentials(g.request),
	}
}
