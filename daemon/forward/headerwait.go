package forward

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// A sound engine may be silent for a while before it begins to answer. A decode order is
// therefore not given up at headerTimeout: another engine is sought beside it, and the first
// one that begins to answer writes the stream.

// decodeOrder is a decode order under way.
type decodeOrder struct {
	engine    registry.Endpoint
	startedAt time.Duration
	cancel    context.CancelFunc
	// opened and err are the result, valid once done is closed.
	opened *Opened
	err    *verdict.Error
	done   chan struct{}
	// counted is set once the order was counted as an arrival that may have run because it
	// is silent.
	counted bool
	// reported is set once the order's failure was reported.
	reported bool
}

// order sends a decode order to an engine.
func (g *generation) order(ctx context.Context, attempt *Attempt, kv KV) *decodeOrder {
	ctx, cancel := context.WithCancel(ctx)
	o := &decodeOrder{engine: attempt.Endpoint, startedAt: g.f.Now(), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(o.done)
		o.opened, o.err = g.f.Endpoints.Decode(ctx, attempt, kv)
	}()
	return o
}

// abandon ends the order for another engine's answer.
func (o *decodeOrder) abandon() {
	o.cancel()
	<-o.done
	if o.opened != nil && o.opened.Events != nil {
		_ = o.opened.Events.Close()
	}
	o.opened = nil
	o.err = verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "engine %s did not begin to answer", o.engine.Name)
}

// ended reports whether the order has a result.
func (o *decodeOrder) ended() bool {
	select {
	case <-o.done:
		return true
	default:
		return false
	}
}

// abandonIfSilent abandons the order unless it has ended.
func (o *decodeOrder) abandonIfSilent() {
	if !o.ended() {
		o.abandon()
	}
}

// decodeOrElsewhere waits for the answer to an order that may run at another engine as well:
// one is sought if the answer does not begin within headerTimeout.
func (g *generation) decodeOrElsewhere(ctx context.Context, o *decodeOrder) (*Opened, *verdict.Error) {
	timer := time.NewTimer(headerTimeout)
	defer timer.Stop()
	select {
	case <-o.done:
		return g.decoded(o)
	case <-timer.C:
	}
	g.countSilentOrder(o)
	return g.searchBeside(ctx, o).await()
}

// countSilentOrder counts an order that is silent as one that may have run, since the search
// for another engine depends on it.
func (g *generation) countSilentOrder(o *decodeOrder) {
	o.counted = true
	g.runs++
	g.trace.mayHaveRun = true
	g.f.countArrival(g.trace, stepDecode, nil)
	g.f.stats.silentStreams.Inc()
	g.f.Log.Event("stream_silent", "request", g.request.ID, "endpoint", o.engine.Name, "software", o.engine.Software, "behind", g.lastEvent,
		"silent", g.f.Now()-o.startedAt, "runs", g.runs, "before_header", true)
}

// headerSearch looks for another engine beside a silent order.
type headerSearch struct {
	generation *generation
	order      *decodeOrder
	// copy is the state that the search works on. It may be used once found has delivered.
	copy *generation
	// cancel ends the search, and with it the stream that it has found.
	cancel context.CancelFunc
	// found delivers the other engine's answer, nil if there is none; it is nil once it has
	// delivered.
	found chan *Opened
	// dropped is closed if the silent order is to be given up although no other engine has
	// answered yet; it is nil once that is done.
	dropped chan struct{}
}

// searchBeside begins to look for another engine.
func (g *generation) searchBeside(ctx context.Context, o *decodeOrder) *headerSearch {
	ctx, cancel := context.WithCancel(ctx)
	dropped := make(chan struct{})
	s := &headerSearch{generation: g, order: o, cancel: cancel, found: make(chan *Opened, 1), dropped: dropped}
	s.copy = g.copyForSearch(sync.OnceValue(func() bool { close(dropped); return !o.ended() }))
	found := s.found
	go func() { found <- s.copy.openElsewhere(ctx, false) }()
	return s
}

// await returns the answer of the engine that begins first.
func (s *headerSearch) await() (*Opened, *verdict.Error) {
	for {
		select {
		case <-s.order.done:
			return s.orderEnded()
		case opened := <-s.found:
			if opened != nil {
				s.order.abandon()
				return s.adopt(opened)
			}
			s.fail()
		case <-s.dropped:
			s.dropped = nil
			s.order.abandonIfSilent()
		}
	}
}

// orderEnded handles the result of the silent order. If that has failed, the search decides.
func (s *headerSearch) orderEnded() (*Opened, *verdict.Error) {
	g := s.generation
	if s.order.err == nil {
		s.withdraw()
		g.f.stats.streamsKept.Inc()
		g.f.Log.Event("stream_went_on", "request", g.request.ID, "endpoint", s.order.engine.Name, "behind", g.lastEvent,
			"silent", g.f.Now()-s.order.startedAt, "before_header", true)
		return g.decoded(s.order)
	}
	// At once, since it may be a crash: the evidence counts for what the search sends.
	g.reportOrderFailure(s.order)
	if s.found != nil {
		if opened := <-s.found; opened != nil {
			return s.adopt(opened)
		}
		s.fail()
	}
	return g.decoded(s.order)
}

// adopt goes on with the search's engine, and reports that the silent one has failed. The
// search's context is left to end with the request: the engine's stream is bound to it.
func (s *headerSearch) adopt(opened *Opened) (*Opened, *verdict.Error) {
	s.found = nil
	g := s.generation
	g.reportOrderFailure(s.order)
	g.takeState(s.copy)
	if s.order.err.Verdict == verdict.NotRun {
		g.runs--
	}
	return opened, nil
}

// withdraw ends a search that is no longer needed.
func (s *headerSearch) withdraw() {
	if s.found == nil {
		return
	}
	s.cancel()
	if opened := <-s.found; opened != nil {
		_ = opened.Events.Close()
		s.copy.progress(sched.Progress{Phase: sched.PhaseCancelled})
	}
	s.found = nil
	s.keepAccounts()
}

// fail records that no other engine was found.
func (s *headerSearch) fail() {
	s.cancel()
	s.found, s.dropped = nil, nil
	s.keepAccounts()
	g := s.generation
	g.worstErr = worseError(g.worstErr, s.copy.worstErr)
	g.f.Log.Event("stream_kept", "request", g.request.ID, "endpoint", s.order.engine.Name, "runs", g.runs, "before_header", true,
		"why", s.copy.trace.reason)
}

// keepAccounts takes over what the search has cost, and what it says of whether the request
// has run.
func (s *headerSearch) keepAccounts() {
	g := s.generation
	g.f.returnUnused(s.copy.trace)
	g.keepAccounts(s.copy)
	g.trace.mayHaveRun = g.trace.mayHaveRun || s.copy.trace.mayHaveRun
}
