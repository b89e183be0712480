package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

// readSize is the size of the read buffer of a stream, in bytes.
const readSize = 2048

// relay passes on the complete events of a stream as they arrive. A resumable
// stream that breaks, or whose engine is silent, is continued at another engine after
// the last complete event.
type relay struct {
	*generation
	ctx    context.Context
	cancel context.CancelFunc
	opened *Opened
	// buffer holds the bytes of an incomplete event, ready the complete events that
	// were not passed on yet.
	buffer eventBuffer
	ready  []byte
	events int
	// eventAt is when the last event arrived; 0 before the first.
	eventAt time.Duration
	// engineEventAt is when the first event of the current engine arrived; 0 before it.
	engineEventAt time.Duration
	// takeover watches for a silence of the current engine; nil before its first read.
	takeover *takeover
	// heardAt is when bytes of the current engine last arrived, its header included.
	heardAt time.Duration
	ended   bool
	// fillErr is the error that came with the first event. The stream has begun, so that
	// it is handled when its reader asks for more.
	fillErr error
	readErr error
}

// start opens the stream and waits for its first event: until then a failure can
// still be returned to the caller as an error.
func (s *relay) start() *verdict.Error {
	opened, err := s.open(s.ctx)
	for {
		if err != nil {
			return err
		}
		s.use(opened)
		if opened.Events == nil {
			s.finish(sched.PhaseFailed)
			return nil
		}
		cause := s.fill()
		if cause == nil || errors.Is(cause, io.EOF) || len(s.ready) > 0 {
			s.fillErr = cause
			now := s.f.Now()
			s.trace.firstEventTime = now - s.request.Arrived
			s.f.stats.firstEvent.Record(s.trace.firstEventTime)
			return nil
		}
		s.dropEngine(cause)
		// The engine has begun to answer: whatever refuses the stream later, it may have run.
		broke := s.failedBeforeFirstEvent(cause)
		s.worstErr = worseError(s.worstErr, broke)
		if opened, err = s.openAgain(); opened == nil && err == nil {
			return broke
		}
	}
}

// use makes an engine's answer the one that is passed on.
func (s *relay) use(opened *Opened) {
	s.opened = opened
	s.takeover = nil
	s.heardAt = s.f.Now()
	if opened.Events != nil {
		s.buffer.reset(opened.Events.NotEvents())
	}
}

// openAgain opens the stream at another engine after the current one was given up: at the
// one that was found while that was silent, or else at a new one. It returns nothing if the
// stream may not go on elsewhere.
func (s *relay) openAgain() (*Opened, *verdict.Error) {
	if opened := s.endSearch(); opened != nil {
		return opened, nil
	}
	if s.ctx.Err() != nil || !s.mayGoOn(s.ctx, s.eventAt > 0) {
		return nil, nil
	}
	return s.open(s.ctx)
}

// failedBeforeFirstEvent returns the error for a stream that broke before its
// first event.
func (s *relay) failedBeforeFirstEvent(cause error) *verdict.Error {
	code := verdict.CodeEndpointFailed
	switch {
	case errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		code = verdict.CodeDeadline
	case s.ctx.Err() != nil:
		code = verdict.CodeCallerGone
	case errors.Is(cause, bytebudget.ErrShort):
		code = verdict.CodeMemoryShort
	}
	return verdict.New(verdict.MayHaveRun, code, "the stream broke before its first event").WithCause(cause)
}

// Read implements io.Reader. Any error but io.EOF means that the stream is not
// complete.
func (s *relay) Read(p []byte) (int, error) {
	for len(s.ready) == 0 {
		if s.readErr != nil {
			return 0, s.readErr
		}
		if s.ended {
			return 0, io.EOF
		}
		if err := s.next(); err != nil {
			s.readErr = err
		}
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// next reads more events, from another engine if the current one failed and the
// stream may be resumed.
func (s *relay) next() error {
	err := s.fillErr
	s.fillErr = nil
	if err == nil {
		err = s.fill()
	}
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	s.dropEngine(err)
	opened, failure := s.openAgain()
	switch {
	case failure != nil:
		return failure
	case opened == nil:
		return err
	case opened.Events == nil:
		s.finish(sched.PhaseFailed)
		return errors.New("the engine that was to go on answered with an error")
	}
	// The caller has the first engine's header.
	opened.Status, opened.Header = s.opened.Status, s.opened.Header
	s.use(opened)
	s.f.stats.resumedStreams.Inc()
	s.f.Log.Event("stream_resumed", "request", s.request.ID, "behind", s.lastEvent, "endpoint", s.trace.endpoint,
		"software", s.trace.software, "tokens", s.request.PromptTokens)
	return nil
}

// fill reads until at least one more event is complete. It returns io.EOF at the
// regular end of the stream.
func (s *relay) fill() error {
	var buf [readSize]byte
	for {
		n, err := s.read(buf[:])
		if n > 0 {
			s.heardAt = s.f.Now()
		}
		events := s.buffer.add(buf[:n])
		s.pass(events)
		switch {
		case errors.Is(err, io.EOF):
			return s.endOfBody()
		case err != nil:
			return err
		case len(events) > 0:
			return nil
		case s.buffer.tooLarge():
			return errEventTooLarge
		}
		if err := s.buffer.charge(s.ctx); err != nil {
			return err
		}
	}
}

// pass makes complete events ready to be passed on, and records the last event id and the
// longest pause between events.
func (s *relay) pass(events []byte) {
	if len(events) == 0 {
		return
	}
	s.ready = append(s.ready, events...)
	if s.eventAt == 0 {
		s.began = s.engine.Software
		s.f.recordOrigin(s.request, s.trace, s.began)
	}
	if count, last := eventIDs(events); count > 0 {
		s.events += count
		s.lastEvent = last
	}
	now := s.f.Now()
	if s.eventAt > 0 {
		s.trace.maxGap = max(s.trace.maxGap, now-s.eventAt)
	}
	s.eventAt = now
	if s.engineEventAt == 0 {
		s.engineEventAt = now
	}
	s.f.clearSettledParts(s.trace, s.engineEventAt)
}
