package forward

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// progress tells the pool's owner how the granted pair fares.
func (g *generation) progress(p sched.Progress) {
	p.Request = g.grant.Request
	g.f.Pairer.Progress(p)
}

// The steps of a generation, for logs.
const (
	stepPrefill = "prefill"
	stepDecode  = "decode"
)

// failed tells the pool's owner, and the log, that an engine failed.
func (g *generation) reportEngineFailure(e registry.Endpoint, err *verdict.Error, what string, took time.Duration) {
	g.avoid = append(g.avoid, e.Name)
	g.f.recordFailure(g.request, g.trace, e, err)
	g.f.Log.Event("attempt_failed", "request", g.request.ID, "pairing", g.pairings, "step", what, "endpoint", e.Name,
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
		// Nothing gets work on a silent engine until it was seen to answer.
		p.Unreachable = what == stepPrefill
	case verdict.CodeKVGone:
		// The KV cache's engine is to blame, not the one that was to fetch it.
		p.Endpoint = ""
	}
	g.progress(p)
}

// waste notes a prompt that was read in vain, and why, and frees its KV cache.
func (g *generation) discardPrefill(kv KV, why *verdict.Error) {
	f := g.f
	f.stats.wastedPrefills.Inc()
	engine, ok := f.View().Endpoints[g.grant.Prefill]
	if !ok {
		return
	}
	f.Log.Event("prefill_wasted", "request", g.request.ID, "endpoint", engine.Name, "tokens", kv.Tokens, "code", why.Code, "why", why.Error())
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		f.Endpoints.Free(ctx, engine, kv)
	}()
}
