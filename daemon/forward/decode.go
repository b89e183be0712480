package forward

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// decode starts the decode. Where the engine refuses, others are asked for as
// long as the KV cache lives.
func (g *generation) decode(ctx context.Context, kv KV, readAt time.Duration) (*Opened, *verdict.Error) {
	for {
		opened, err := g.decodeOnce(ctx, kv)
		if err == nil {
			return opened, nil
		}
		if err.Verdict != verdict.NotRun {
			return nil, err
		}
		if !g.mayDecodeElsewhere(ctx, err, readAt) {
			g.discardPrefill(kv, err)
			return nil, err
		}
		if pairErr := g.pair(ctx, g.kvLeft(readAt)); pairErr != nil {
			g.discardPrefill(kv, pairErr)
			return nil, pairErr
		}
	}
}

// mayDecodeElsewhere says whether the same KV cache may go to another engine.
func (g *generation) mayDecodeElsewhere(ctx context.Context, err *verdict.Error, readAt time.Duration) bool {
	if ctx.Err() != nil || keyRejected(err) || g.grant.Prefill == "" || err.Code == verdict.CodeKVGone || g.kvLeft(readAt) <= 0 {
		return false
	}
	return err.Code == verdict.CodeUnavailable || g.f.takeRetry(g.service.Name)
}

// kvLeft is how long a KV cache that was made at readAt may still wait for an
// engine.
func (g *generation) kvLeft(readAt time.Duration) time.Duration {
	life := time.Duration(kvLifeFraction * float64(g.service.Engine.HandleLife))
	return readAt + life - g.f.Now()
}

func (g *generation) decodeOnce(ctx context.Context, kv KV) (*Opened, *verdict.Error) {
	f := g.f
	engine, err := g.usableEngine(g.grant.Decode)
	if err != nil {
		return nil, err
	}
	begun := f.Now()
	g.trace.attempts++
	g.trace.endpoint = engine.Name
	f.countUnlisted(g.trace, engine)
	attempt := g.newAttempt(engine)
	attempt.Once = !g.trace.route.Resumable
	if g.trace.route.Resumable {
		attempt.Until = min(attempt.Until, begun+headerTimeout)
	}
	opened, err := f.Endpoints.Decode(ctx, attempt, kv)
	if err != nil {
		if err.Verdict != verdict.NotRun {
			g.runs++
			g.trace.mayHaveRun = true
		}
		g.reportEngineFailure(engine, err, stepDecode, f.Now()-begun)
		return nil, err
	}
	g.runs++
	g.trace.mayHaveRun = true
	g.progress(sched.Progress{Phase: sched.PhaseDecoding, Endpoint: engine.Name})
	return opened, nil
}
