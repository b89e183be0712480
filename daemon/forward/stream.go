package forward

import (
	"context"
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// firstEventReserve is the part of a stream's patience that is reserved for
	// the prefill, the transfer and the first event, which follow the wait for
	// engines.
	firstEventReserve = 500 * time.Millisecond
	// minPrefillTimeout and prefillTimeoutPerToken bound a prefill. Their sum is a
	// few times what a healthy engine takes, and short enough to repeat the
	// prefill at another engine in time.
	minPrefillTimeout      = 350 * time.Millisecond
	prefillTimeoutPerToken = 100 * time.Microsecond
	// kvLifetimeFraction is the fraction of a KV cache's lifetime in which it may be
	// sent to another decode engine: the transfer must begin before the lifetime
	// ends.
	kvLifetimeFraction = 0.7
	// stallTimeout is the silence after which another engine is sought for a resumable
	// stream.
	stallTimeout = 1500 * time.Millisecond
	// headerTimeout is the wait for the response header after which another engine is
	// sought for a stream that may run again.
	headerTimeout = 2 * time.Second
	// freeTimeout bounds the call that frees a KV cache.
	freeTimeout = 500 * time.Millisecond
	// minTimeForPrefill is the remaining time that another prefill needs.
	minTimeForPrefill = 400 * time.Millisecond
	// maxPairings bounds the pairs of engines that one request gets.
	maxPairings = 4
)

// generation is the state of one streaming request that prefill and decode
// engines serve.
type generation struct {
	f       *Forwarder
	request *Request
	trace   *trace
	service *route.Service
	// lastEvent is the id of the last event that was passed on to the caller.
	lastEvent string
	// pairings counts the requests for a pair of engines, runs the engines that
	// may have run the request.
	pairings int
	runs     int
	avoid    []id.Endpoint
	// grant is the grant in use; its Request is the id of the Want.
	grant sched.Grant
	// prefiller is the engine of the last prefill, which keeps its KV cache.
	prefiller registry.Endpoint
	// engine is the decode engine of the last attempt.
	engine registry.Endpoint
	// began is the software version that wrote the first event that was passed on: only
	// that version may write the others. Empty before, and if it is not known.
	began id.Software
	// held is the silent engine that is kept while this generation looks for another one;
	// nil if there is none.
	held *heldEngine
	// worstErr is the error so far whose verdict guarantees least.
	worstErr *verdict.Error
}

// stream serves a stream. It returns once the first event has arrived.
func (f *Forwarder) stream(ctx context.Context, cancel context.CancelFunc, r *Request, t *trace, s *route.Service) (*Reply, *verdict.Error) {
	g := &generation{f: f, request: r, trace: t, service: s, lastEvent: r.LastEvent, began: t.began}
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

// resumable reports whether the stream may be continued at another engine.
func (g *generation) resumable() bool {
	return g.trace.route.Resumable && g.runs < g.trace.route.MaxAttempts
}

// open gets a pair of engines, runs the prefill and starts the decode. On failure
// it starts again with a new pair for as long as mayRetry allows.
func (g *generation) open(ctx context.Context) (*Opened, *verdict.Error) {
	for {
		kv, prefilledAt, err := g.pairAndPrefill(ctx)
		if err == nil {
			var opened *Opened
			if opened, err = g.decode(ctx, kv, prefilledAt); err == nil {
				g.f.returnUnused(g.trace)
				return opened, nil
			}
		}
		g.worstErr = worseError(g.worstErr, err)
		if !g.mayRetry(ctx, err) {
			return nil, g.worstErr
		}
	}
}

// mayRetry reports whether a new pair of engines may be tried, and sets the
// reason if not.
func (g *generation) mayRetry(ctx context.Context, err *verdict.Error) bool {
	f := g.f
	switch {
	case ctx.Err() != nil || f.timeLeft(g.request, g.trace.route) < minTimeForPrefill:
		g.trace.reason = "no time is left"
	case err.Verdict != verdict.NotRun && !g.resumable():
		g.trace.reason = "it may not run again"
	case f.checkQuarantine(g.request, g.trace) != nil:
		// checkQuarantine has set the reason.
	case keyRejected(err):
		g.trace.reason = "its key is no longer good"
	case refusedByOwner(err):
		g.trace.reason = "the pool's owner refused"
	case refusedAsAllLeave(err):
		g.trace.reason = reasonAllLeave
	case refusedForBackoff(err):
		g.trace.reason = reasonBackoff
	case g.pairings >= maxPairings:
		g.trace.reason = "too many engines failed"
	case !f.payRepeats(g.trace, g.service.Name, g.trace.arrivals.arrivalsOfPair()):
		g.trace.reason = "the service's bound on repeats is reached"
	default:
		return true
	}
	return false
}

// mayGoOn reports whether a stream may go on at another engine, and counts the retry if so.
// begun is set if an event was passed on: then nothing but its id tells an engine where to
// go on.
func (g *generation) mayGoOn(ctx context.Context, begun bool) bool {
	f := g.f
	switch {
	case begun && (g.lastEvent == "" || !g.knowsOrigin(ctx)):
		g.trace.reason = "it is not known where to go on"
	case !g.resumable():
		g.trace.reason = "it may not run again"
	case f.timeLeft(g.request, g.trace.route) < minTimeForPrefill:
		g.trace.reason = "no time is left"
	case f.checkQuarantine(g.request, g.trace) != nil:
		// checkQuarantine has set the reason.
	case !f.payRepeats(g.trace, g.service.Name, g.trace.arrivals.arrivalsOfPair()):
		g.trace.reason = "the service's bound on repeats is reached"
	default:
		return true
	}
	return false
}

// knowsOrigin reports whether it is known which software version began the stream. That of
// an engine that has just started again is not, until its entry tells.
func (g *generation) knowsOrigin(ctx context.Context) bool {
	if g.began != "" {
		return true
	}
	began, ok := g.f.Origins.Find(ctx, streamOf(g.request, g.trace))
	g.began = began
	return ok
}

// errRefusedByOwner is the cause of refusals by a pool's owner.
var errRefusedByOwner = errors.New("the pool's owner refused")

func refusedByOwner(err *verdict.Error) bool { return errors.Is(err.Cause, errRefusedByOwner) }
