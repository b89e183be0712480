package forward

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// decode starts the decode. If the engine refuses, it asks the pool's owner for
// other engines for as long as the KV cache is kept.
func (g *generation) decode(ctx context.Context, kv KV, prefilledAt time.Duration) (*Opened, *verdict.Error) {
	for {
		opened, err := g.decodeOnce(ctx, kv)
		if err == nil {
			return opened, nil
		}
		if err.Verdict != verdict.NotRun && !refusedAsPoison(err) {
			return nil, err
		}
		if !g.mayDecodeElsewhere(ctx, err, prefilledAt) {
			g.discardPrefill(kv, err)
			return nil, err
		}
		if pairErr := g.pair(ctx, g.kvLeft(prefilledAt)); pairErr != nil {
			g.discardPrefill(kv, pairErr)
			return nil, pairErr
		}
	}
}

// mayDecodeElsewhere reports whether another engine may decode from the same KV
// cache.
func (g *generation) mayDecodeElsewhere(ctx context.Context, err *verdict.Error, prefilledAt time.Duration) bool {
	if ctx.Err() != nil || keyRejected(err) || refusedAsPoison(err) || g.grant.Prefill == "" || err.Code == verdict.CodeKVGone || g.kvLeft(prefilledAt) <= 0 {
		return false
	}
	return g.f.payRepeats(g.trace, g.service.Name, 1)
}

// kvLeft is how long a KV cache created at prefilledAt may still wait for a
// decode engine.
func (g *generation) kvLeft(prefilledAt time.Duration) time.Duration {
	life := time.Duration(kvLifetimeFraction * float64(g.service.Engine.KVLifetime))
	return prefilledAt + life - g.f.Now()
}

func (g *generation) decodeOnce(ctx context.Context, kv KV) (*Opened, *verdict.Error) {
	f := g.f
	engine, err := g.grantedDecode()
	if err == nil {
		err = g.takeEngine(engine.Name)
	}
	if err != nil {
		return nil, err
	}
	g.trace.attempts++
	g.trace.endpoint = engine.Name
	g.trace.software = engine.Software
	g.engine = engine
	f.countUnlisted(g.trace, engine)
	attempt := g.newAttempt(engine, stepDecode)
	attempt.AtMostOnce = !g.trace.route.Resumable
	endBound := g.held.bound()
	defer endBound()
	if g.trace.route.Resumable && g.runs+1 < g.trace.route.MaxAttempts {
		return g.decodeOrElsewhere(ctx, g.order(ctx, attempt, kv))
	}
	o := &decodeOrder{engine: engine, startedAt: f.Now()}
	o.opened, o.err = f.Endpoints.Decode(ctx, attempt, kv)
	return g.decoded(o)
}

// decoded records the result of a decode order.
func (g *generation) decoded(o *decodeOrder) (*Opened, *verdict.Error) {
	f, opened, err := g.f, o.opened, o.err
	ran := err == nil || err.Verdict != verdict.NotRun
	switch {
	case !o.counted:
		f.countArrival(g.trace, stepDecode, err)
		if ran {
			g.runs++
			g.trace.mayHaveRun = true
		}
	case !ran:
		g.runs--
	}
	if err != nil {
		g.reportOrderFailure(o)
		return nil, err
	}
	g.trace.unframed = opened.Events != nil && opened.Events.Unframed()
	g.progress(sched.Progress{Phase: sched.PhaseDecoding, Endpoint: o.engine.Name})
	return opened, nil
}

// reportOrderFailure reports the failure of a decode order once.
func (g *generation) reportOrderFailure(o *decodeOrder) {
	if o.reported {
		return
	}
	o.reported = true
	g.reportEngineFailure(o.engine, o.err, stepDecode, g.f.Now()-o.startedAt)
}
