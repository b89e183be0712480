package forward

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// errReplaced is the error of a read from an engine that was given up for another one.
var errReplaced = errors.New("another engine goes on with the stream")

// takeover looks for another engine for a stream whose engine has been silent for
// stallTimeout. The silent engine is kept meanwhile, since it may be sound and go on: what
// comes first, its bytes or the answer of another engine, goes on with the stream.
type takeover struct {
	relay *relay
	timer *time.Timer
	// begun is set once the search has begun. Only the relay uses it.
	begun bool
	// silent is the answer of the silent engine.
	silent EventStream
	// search is the copy of the relay's generation that the search works on. It is valid
	// once copied is closed, and may be used by the relay once done is closed.
	search       *generation
	copied, done chan struct{}
	cancel       context.CancelFunc

	mu sync.Mutex
	// opened is the answer of the other engine; nil before it, and if there is none.
	opened *Opened
	// withdrawn is set once the silent engine has gone on, dropped once it was given up,
	// broken once its stream has ended otherwise.
	withdrawn, dropped, broken bool
}

// watch returns the takeover that begins unless it is stopped within stallTimeout.
func (s *relay) watch() *takeover {
	if s.takeover != nil {
		s.takeover.timer.Reset(stallTimeout)
		return s.takeover
	}
	t := &takeover{relay: s, silent: s.opened.Events, copied: make(chan struct{}), done: make(chan struct{})}
	t.timer = time.AfterFunc(stallTimeout, t.seek)
	s.takeover = t
	return t
}

// read reads from the current engine. If nothing comes for stallTimeout and the stream may
// run at another engine, one is sought.
func (s *relay) read(p []byte) (int, error) {
	if !s.resumable() {
		return s.opened.Events.Read(p)
	}
	t := s.watch()
	n, err := s.opened.Events.Read(p)
	if t.timer.Stop() {
		return n, err
	}
	t.begun = true
	<-t.copied
	wentOn := n > 0 || errors.Is(err, io.EOF)
	if !wentOn {
		t.markBroken()
		return 0, err
	}
	if !t.withdraw() {
		return 0, errReplaced
	}
	s.takeover = nil
	s.keepAccounts(t.search)
	s.f.stats.streamsKept.Inc()
	s.f.Log.Event("stream_went_on", "request", s.request.ID, "endpoint", s.trace.endpoint, "behind", s.lastEvent, "silent", s.f.Now()-s.heardAt)
	return n, err
}

// seek looks for another engine. It runs in a goroutine of its own.
func (t *takeover) seek() {
	defer close(t.done)
	s := t.relay
	ctx, cancel := context.WithCancel(s.ctx)
	t.cancel = cancel
	t.search = s.copyForSearch(t.drop)
	begun := s.eventAt > 0
	close(t.copied)

	g := t.search
	g.f.stats.silentStreams.Inc()
	g.f.Log.Event("stream_silent", "request", g.request.ID, "endpoint", s.engine.Name, "software", s.engine.Software, "behind", g.lastEvent,
		"silent", stallTimeout, "runs", g.runs)
	if opened := g.openElsewhere(ctx, begun); opened != nil {
		t.adopt(opened)
		return
	}
	// The silent engine may be waited for until the stream's time limit.
	g.f.returnUnused(g.trace)
	g.f.Log.Event("stream_kept", "request", g.request.ID, "endpoint", g.held.name, "runs", g.runs, "why", g.trace.reason)
}

// openElsewhere opens a stream at another engine, if it may go on there; nil if there is
// none that goes on.
func (g *generation) openElsewhere(ctx context.Context, begun bool) *Opened {
	if !g.mayGoOn(ctx, begun) {
		return nil
	}
	opened, err := g.open(ctx)
	if err != nil {
		return nil
	}
	if opened.Events == nil {
		g.trace.reason = "the other engine answered with an error"
		g.worstErr = worseError(g.worstErr, verdict.New(verdict.Ran, verdict.CodeEndpointFailed, "engine %s answered with status %d", g.engine.Name, opened.Status))
		g.progress(sched.Progress{Phase: sched.PhaseFailed})
		return nil
	}
	return opened
}

// adopt makes the answer of the other engine the one that goes on, unless the silent engine
// has gone on meanwhile.
func (t *takeover) adopt(opened *Opened) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.withdrawn {
		_ = opened.Events.Close()
		t.search.progress(sched.Progress{Phase: sched.PhaseCancelled})
		return
	}
	t.opened = opened
	t.interrupt()
}

// interrupt ends the relay's read from the silent engine.
func (t *takeover) interrupt() { _ = t.silent.SetReadDeadline(expired) }

// markBroken records that nothing more comes of the silent engine.
func (t *takeover) markBroken() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = true
}

// drop gives the silent engine up before another one has answered. It returns false if that
// engine has gone on or broken.
func (t *takeover) drop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.withdrawn || t.broken {
		return false
	}
	t.dropped = true
	t.interrupt()
	return true
}

// withdraw ends the search since the silent engine has gone on. It returns false if that
// engine was given up before.
func (t *takeover) withdraw() bool {
	t.mu.Lock()
	t.withdrawn = t.opened == nil && !t.dropped
	withdrawn := t.withdrawn
	t.mu.Unlock()
	if withdrawn {
		t.cancel()
		<-t.done
	}
	return withdrawn
}

// endSearch waits for the end of a search for another engine, if one has begun, and goes on
// with its state. It returns the answer of the engine; nil if none was found.
func (s *relay) endSearch() *Opened {
	t := s.takeover
	s.takeover = nil
	if t == nil || !t.begun {
		return nil
	}
	<-t.done
	if t.opened == nil {
		s.keepAccounts(t.search)
		return nil
	}
	s.takeState(t.search)
	return t.opened
}

// copyForSearch returns a copy of the stream's state for the search for another engine.
// drop is called if the silent engine has to be given up during the search.
func (g *generation) copyForSearch(drop func() bool) *generation {
	search := *g
	t := *g.trace
	search.trace = &t
	search.grant = sched.Grant{}
	search.held = &heldEngine{name: g.engine.Name, drop: drop}
	search.avoid = slices.Clone(g.avoid)
	return &search
}

// keepAccounts takes over what a search without a result has cost.
func (g *generation) keepAccounts(search *generation) {
	g.pairings, g.runs, g.avoid = search.pairings, search.runs, search.avoided()
	g.trace.arrivals = search.trace.arrivals
	g.trace.attempts, g.trace.unlisted = search.trace.attempts, search.trace.unlisted
	g.f.returnUnused(g.trace)
}

// takeState goes on with the state of a search that has found another engine. What the
// search itself was made for is kept, if it began within another one.
func (g *generation) takeState(search *generation) {
	*g.trace = *search.trace
	search.trace = g.trace
	search.avoid, search.held = search.avoided(), g.held
	*g = *search
}
