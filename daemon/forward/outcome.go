package forward

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// progress reports the state of the granted pair of engines to the pool's owner.
func (g *generation) progress(p sched.Progress) {
	p.Request = g.grant.Request
	g.f.Pairer.Progress(p)
}

// reportEngineFailure reports the failure of an engine to the pool's owner and
// the log, and excludes the engine from further pairs unless its work was cancelled.
func (g *generation) reportEngineFailure(e registry.Endpoint, err *verdict.Error, step string, took time.Duration) {
	if err.Code != verdict.CodeCallerGone {
		g.avoid = append(g.avoid, e.Name)
	}
	g.f.recordFailure(g.request, g.trace, e, err)
	g.f.Log.Event("attempt_failed", "request", g.request.ID, "pairing", g.pairings, "step", step, "endpoint", e.Name,
		"took", took, "tokens", g.request.PromptTokens, "verdict", err.Verdict, "code", err.Code, "why", err.Error())
	p := sched.Progress{Phase: sched.PhaseFailed, Endpoint: e.Name}
	switch err.Code {
	case verdict.CodeCallerGone:
		p = sched.Progress{Phase: sched.PhaseCancelled}
	case verdict.CodeOverloaded:
		p.Full = true
	case verdict.CodeUnavailable, verdict.CodeSuperseded:
		p.Unreachable = true
	case verdict.CodeDeadline:
		// An engine that doesn't answer gets no work until it answers again.
		p.Unreachable = step == stepPrefill
	case verdict.CodeMemoryShort:
		// The engine has answered; this daemon could not hold the answer.
		p.Endpoint = ""
	case verdict.CodeKVGone:
		// The fault is at the engine that holds the KV cache, not at the decode
		// engine that failed to fetch it.
		p.Endpoint = ""
	}
	g.progress(p)
}

// discardPrefill counts and logs a prefill that no decode will use, and frees
// its KV cache.
func (g *generation) discardPrefill(kv KV, why *verdict.Error) {
	f := g.f
	f.stats.wastedPrefills.Inc()
	engine, ok := f.View().Endpoints[g.prefiller.Name]
	if !ok || kv.Handle == "" {
		return
	}
	f.Log.Event("prefill_wasted", "request", g.request.ID, "endpoint", engine.Name, "tokens", kv.Tokens, "code", why.Code, "why", why.Error())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		f.Endpoints.Free(ctx, engine, kv)
	}()
}
