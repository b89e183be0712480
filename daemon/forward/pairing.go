package forward

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// pair requests engines from the pool's owner; only a decode engine if there is a
// KV cache, which is kept for kvLeft. kvLeft is 0 without one.
func (g *generation) pair(ctx context.Context, kvLeft time.Duration) *verdict.Error {
	f, r, rt := g.f, g.request, g.trace.route
	if err := f.checkEngines(g.service.Name); err != nil {
		return err
	}
	blocked, err := g.awaitBackoff(ctx, g.backoffPatience(kvLeft))
	if err != nil {
		return err
	}
	g.pairings++
	age := f.Now() - r.Arrived
	patience := max(rt.Patience-firstEventReserve, rt.TargetLatency)
	patience = min(patience, f.deadline(r, rt)-r.Arrived-firstEventReserve)
	if g.lastEvent != r.LastEvent {
		// The stream is being resumed: its caller has waited since the last event.
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
		Priority:     g.trace.priority(),
		Avoid:        slices.Concat(g.unusableEngines(), blocked),
		Domain:       f.Domain,
		Attempt:      g.pairings,
		Target:       rt.TargetLatency,
		Patience:     patience,
		Lifetime:     f.deadline(r, rt) - r.Arrived,
		Prefilled:    prefilled,
		Pause:        rt.TargetGap,
		Software:     g.began,
		Content:      contentOf(fingerprintOf(r, g.trace)),
	}
	grant, err := f.Pairer.Pair(ctx, want, max(patience-age, 0))
	if err != nil {
		return err.WithCause(errRefusedByOwner)
	}
	g.grant = grant
	now := f.Now()
	f.stats.engineWait.Record(now - r.Arrived - age)
	g.trace.engineWait += now - r.Arrived - age
	f.Log.Routine("granted", "request", r.ID, "route", rt.Name, "print", shortFingerprint(r, g.trace), "pairing", g.pairings, "prefill", grant.Prefill, "decode", grant.Decode,
		"owner", grant.Owner, "reservation", grant.Reservation, "reason", grant.Reason)
	return nil
}

// backoffPatience is how long the stream may wait for the backoffs of all engines: as long
// as for a rate limit or, if its caller already has events, in its patience between them.
// kvLeft bounds it if there is a KV cache.
func (g *generation) backoffPatience(kvLeft time.Duration) time.Duration {
	f, r, rt := g.f, g.request, g.trace.route
	longest := f.limitWait(r, rt)
	if g.lastEvent != r.LastEvent {
		longest = min(rt.Patience, f.timeLeft(r, rt)) / 2
	}
	if kvLeft > 0 {
		longest = min(longest, kvLeft)
	}
	return longest
}

// expectedOutput is the caller's estimate of the output, in tokens, at most the
// caller's limit.
func expectedOutput(r *Request) int {
	if r.ExpectedOutput > 0 && r.OutputTokens > 0 {
		return min(r.ExpectedOutput, r.OutputTokens)
	}
	return max(r.ExpectedOutput, r.OutputTokens)
}

// highestPriority is the scheduler's highest priority, which goes first. Routes
// count the other way: 0 is the most urgent.
const highestPriority = 9

// priority is the request's priority in the scheduler's count.
func (t *trace) priority() int { return highestPriority - t.urgency() }

// pairAndPrefill gets engines and runs the prefill, unless the decode engine is
// to prefill the prompt itself.
func (g *generation) pairAndPrefill(ctx context.Context) (KV, time.Duration, *verdict.Error) {
	if err := g.pair(ctx, 0); err != nil {
		return KV{}, 0, err
	}
	if _, err := g.grantedDecode(); err != nil {
		// Checked before the prefill, which would be wasted.
		return KV{}, 0, err
	}
	if g.grant.Prefill == "" {
		g.trace.prefill = g.grant.Decode
		return KV{}, g.f.Now(), nil
	}
	return g.prefill(ctx)
}

// prefill runs the prefill at the granted engine. It returns the KV cache and
// the time at which it was created.
func (g *generation) prefill(ctx context.Context) (KV, time.Duration, *verdict.Error) {
	f := g.f
	engine, err := g.grantedEngine(g.grant.Prefill)
	if err == nil {
		err = g.takeEngine(engine.Name)
	}
	if err != nil {
		return KV{}, 0, err
	}
	g.trace.prefill, g.prefiller = engine.Name, engine
	f.countUnlisted(g.trace, engine)
	g.progress(sched.Progress{Phase: sched.PhasePrefilling})
	startedAt := f.Now()
	attempt := g.newAttempt(engine, stepPrefill)
	attempt.Until = min(attempt.Until, startedAt+minPrefillTimeout+time.Duration(g.request.PromptTokens)*prefillTimeoutPerToken)
	kv, err := f.Endpoints.Prefill(ctx, attempt)
	f.countArrival(g.trace, stepPrefill, err)
	now := f.Now()
	if err != nil {
		g.reportEngineFailure(engine, err, stepPrefill, now-startedAt)
		return KV{}, 0, prefillFailed(err)
	}
	g.trace.prefillTime += now - startedAt
	g.progress(sched.Progress{
		Phase:        sched.PhaseTransferring,
		PromptTokens: g.request.PromptTokens,
		PrefillTime:  now - startedAt,
	})
	return kv, now, nil
}

// prefillFailed returns err with the verdict NotRun: a prefill never runs the
// request.
func prefillFailed(err *verdict.Error) *verdict.Error {
	out := *err
	out.Verdict = verdict.NotRun
	return &out
}
