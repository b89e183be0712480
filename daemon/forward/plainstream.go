package forward

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

// plainStream serves a stream of a service without engines. It tries endpoints
// one after another for as long as the request has certainly not run; a stream
// that has begun is passed on as it arrives.
func (f *Forwarder) plainStream(ctx context.Context, cancel context.CancelFunc, r *Request, t *trace, s *route.Service) (*Reply, *verdict.Error) {
	avoid := f.otherVersions(s.Name, t.began)
	for refused := 1; ; refused++ {
		endpoint, err := f.choose(ctx, r, t, s.Name, avoid)
		if err != nil {
			cancel()
			return nil, err
		}
		startedAt := f.Now()
		t.attempts++
		t.endpoint = endpoint.Name
		t.software = endpoint.Software
		f.countUnlisted(t, endpoint)
		f.recordSend(t)
		limit := f.deadline(r, t.route)
		opened, err := f.Endpoints.Decode(ctx, &Attempt{
			Request: r, Endpoint: endpoint, Left: limit - startedAt, Until: limit, MaxConns: f.maxConns(s), AtMostOnce: true, LastEvent: r.LastEvent,
			Team: t.teamName(), Credentials: t.credentials(r), MaySend: f.maySend(endpoint), OnLimit: f.onLimit(endpoint),
			OnBackoff: f.onBackoff(r, endpoint, stepCall),
		}, KV{})
		f.countArrival(t, stepCall, err)
		if err == nil {
			var reply *Reply
			if reply, err = f.openedPlain(ctx, cancel, r, t, endpoint, startedAt, opened); err == nil {
				return reply, nil
			}
		}
		f.done(endpoint, startedAt, outcomeOf(nil, err))
		f.recordFailure(r, t, endpoint, err)
		f.Log.Event("attempt_failed", "request", r.ID, "attempt", t.attempts, "endpoint", endpoint.Name,
			"verdict", err.Verdict, "code", err.Code, "why", err.Error())
		avoid = append(avoid, endpoint.Name)
		if err.Verdict != verdict.NotRun || !f.mayRetry(ctx, r, t, s, err, 0, refused) {
			cancel()
			return nil, err
		}
	}
}

// done reports the end of a call at an endpoint to the balancer.
func (f *Forwarder) done(e registry.Endpoint, startedAt time.Duration, outcome balance.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Balancer.Done(f.Now(), e.Name, f.Now()-startedAt, outcome)
}

// silent reports to the balancer that a call at an endpoint has taken so long without an
// answer.
func (f *Forwarder) silent(e id.Endpoint, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Balancer.Silent(f.Now(), e, took)
}

// openedPlain returns the reply for a stream that an endpoint has opened. It waits for the
// first part of the body: until then a failure can still be returned to the caller as an
// error.
func (f *Forwarder) openedPlain(ctx context.Context, cancel context.CancelFunc, r *Request, t *trace, e registry.Endpoint, startedAt time.Duration, opened *Opened) (*Reply, *verdict.Error) {
	if opened.Events == nil {
		cancel()
		f.done(e, startedAt, balance.Failed)
		return &Reply{Status: opened.Status, Header: opened.Header, Body: opened.Body}, nil
	}
	t.unframed = opened.Events.Unframed()
	body := &plainBody{EventStream: opened.Events, f: f, ctx: ctx, cancel: cancel, request: r, trace: t, endpoint: e, status: opened.Status}
	body.buffer.reset(opened.Events.NotEvents())
	if cause := body.readFirst(); cause != nil {
		_ = opened.Events.Close()
		return nil, brokenBeforeFirstByte(ctx, cause)
	}
	t.firstEventTime = f.Now() - r.Arrived
	f.recordOrigin(r, t, e.Software)
	f.done(e, startedAt, balance.OK)
	return &Reply{Status: opened.Status, Header: opened.Header, Events: body}, nil
}

// brokenBeforeFirstByte returns the error for a stream that broke after its header and
// before the first byte of its body.
func brokenBeforeFirstByte(ctx context.Context, cause error) *verdict.Error {
	code := verdict.CodeEndpointFailed
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		code = verdict.CodeCallerGone
	case ctx.Err() != nil, errors.Is(cause, os.ErrDeadlineExceeded):
		code = verdict.CodeDeadline
	case errors.Is(cause, bytebudget.ErrShort):
		code = verdict.CodeMemoryShort
	}
	return verdict.New(verdict.MayHaveRun, code, "the stream broke before its first byte").WithCause(cause)
}

// plainBody passes a stream on unchanged and writes the request's log line when
// it is closed.
type plainBody struct {
	EventStream
	f       *Forwarder
	ctx     context.Context
	cancel  context.CancelFunc
	request *Request
	trace   *trace
	// endpoint is the one that serves the stream.
	endpoint registry.Endpoint
	status   int
	// buffer holds the bytes after the last whole event; begun is set once there was one.
	buffer eventBuffer
	begun  bool
	// firstPartAt is when the first part of the body arrived; 0 before it. first holds
	// what of that part was not passed on yet.
	firstPartAt time.Duration
	first       []byte
	// ended is the error with which the body ended, io.EOF for its regular end.
	ended error
}

// readFirst reads the first part of the body. It returns an error if the stream broke
// before; a framed body without a byte is complete.
func (b *plainBody) readFirst() error {
	part := make([]byte, readSize)
	for len(b.first) == 0 && b.ended == nil {
		n, _ := b.readPart(part)
		b.first = part[:n]
	}
	if len(b.first) > 0 || errors.Is(b.ended, io.EOF) {
		return nil
	}
	return b.ended
}

// Read implements io.Reader. Any error but io.EOF means that the stream is not complete.
func (b *plainBody) Read(p []byte) (int, error) {
	if len(b.first) == 0 {
		return b.readPart(p)
	}
	n := copy(p, b.first)
	b.first = b.first[n:]
	return n, nil
}

// readPart reads from the endpoint.
func (b *plainBody) readPart(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.EventStream.Read(p)
	if n > 0 && b.firstPartAt == 0 {
		b.firstPartAt = b.f.Now()
	}
	if n > 0 {
		b.f.clearSettledParts(b.trace, b.firstPartAt)
	}
	b.begun = len(b.buffer.add(p[:n])) > 0 || b.begun
	switch {
	case errors.Is(err, io.EOF):
		err = b.endOfBody()
	case err == nil && b.buffer.tooLarge():
		err = errEventTooLarge
	case err == nil:
		err = b.buffer.charge(b.ctx)
	}
	b.ended = err
	return n, err
}

// endOfBody returns io.EOF if the end of the body is the regular end of the stream.
func (b *plainBody) endOfBody() error {
	b.trace.tailBytes = len(b.buffer.rest())
	if err := b.f.checkEnd(b.EventStream, b.endpoint, b.begun, b.buffer.rest()); err != nil {
		return err
	}
	return io.EOF
}

// Close implements io.Closer. It records the outcome of the request.
func (b *plainBody) Close() error {
	err := b.EventStream.Close()
	broken := b.ended != nil && !errors.Is(b.ended, io.EOF) && b.ctx.Err() == nil
	streamErr := streamError(b.ctx, errors.Is(b.ended, io.EOF), b.ended)
	b.cancel()
	switch {
	case errors.Is(b.ended, io.EOF):
		b.f.clearEvidence(b.request, b.trace, false)
		b.f.clearParts(b.trace)
	case broken:
		b.f.recordBreak(b.request, b.trace, b.trace.endpoint, poison.ProgressOf(b.firstPartAt > 0, b.f.Now()-b.firstPartAt))
	}
	b.f.record(b.request, b.trace, &Reply{Status: b.status}, streamErr)
	return err
}
