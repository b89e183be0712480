package forward

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// endOfBody handles the end of the engine's body. It returns io.EOF if that is the regular
// end of the stream.
func (s *relay) endOfBody() error {
	if err := s.f.checkEnd(s.opened.Events, s.engine, s.engineEventAt > 0, s.buffer.rest()); err != nil {
		return err
	}
	s.complete()
	return io.EOF
}

// complete handles the regular end of the stream.
func (s *relay) complete() {
	s.ended = true
	s.f.clearEvidence(s.request, s.trace, false)
	s.f.clearParts(s.trace)
	_ = s.opened.Events.Close()
	s.finish(sched.PhaseDone)
}

// dropEngine ends the work at an engine whose stream broke or stalled, or whose
// request has ended.
func (s *relay) dropEngine(cause error) {
	_ = s.opened.Events.Close()
	s.trace.tailBytes = len(s.buffer.rest())
	if s.ctx.Err() != nil {
		s.finish(sched.PhaseCancelled)
		return
	}
	s.avoid = append(s.avoid, s.trace.endpoint)
	if !errors.Is(cause, os.ErrDeadlineExceeded) && !errors.Is(cause, errReplaced) {
		s.f.recordBreak(s.request, s.trace, s.trace.endpoint, poison.ProgressOf(s.engineEventAt > 0, s.f.Now()-s.engineEventAt))
	}
	s.engineEventAt = 0
	s.f.Log.Event("stream_broke", "request", s.request.ID, "endpoint", s.trace.endpoint, "software", s.trace.software, "behind", s.lastEvent,
		"framed", !s.trace.unframed, "tail_bytes", s.trace.tailBytes, "silent", s.f.Now()-s.heardAt, "runs", s.runs, "why", cause)
	s.progress(sched.Progress{Phase: sched.PhaseFailed, Endpoint: s.trace.endpoint})
	s.grant = sched.Grant{}
}

// finish reports to the pool's owner that the granted pair is free.
func (s *relay) finish(phase sched.Phase) {
	if s.grant.Request == id.Request("") {
		return
	}
	s.progress(sched.Progress{Phase: phase, OutputTokens: s.events})
	s.grant = sched.Grant{}
}

// Close implements io.Closer. It is called once the stream has been passed on or
// its caller has disconnected.
func (s *relay) Close() error {
	if s.opened != nil && s.opened.Events != nil {
		_ = s.opened.Events.Close()
	}
	s.finish(sched.PhaseCancelled)
	err := streamError(s.ctx, s.ended, s.readErr)
	s.cancel()
	// A search still reads the request, which must not be used once Close has returned.
	if found := s.endSearch(); found != nil {
		_ = found.Events.Close()
		s.finish(sched.PhaseCancelled)
	}
	s.f.record(s.request, s.trace, &Reply{Status: s.opened.Status}, err)
	return nil
}

// streamError is the error that a stream ended with; nil if it is complete. ctx must not
// have been cancelled since, which would look like the caller's leaving.
func streamError(ctx context.Context, complete bool, readErr error) *verdict.Error {
	switch {
	case complete:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(verdict.Ran, verdict.CodeDeadline, "the stream was cut at its time limit")
	case readErr != nil && ctx.Err() == nil:
		return verdict.New(verdict.Ran, verdict.CodeEndpointFailed, "the stream broke").WithCause(readErr)
	default:
		return verdict.New(verdict.Ran, verdict.CodeCallerGone, "the caller left")
	}
}
