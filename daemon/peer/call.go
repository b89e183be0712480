package peer

import (
	"context"
	"errors"

	"github.com/quic-go/quic-go"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Call sends a request to the peer and decodes its answer into resp, which may be
// nil. The error is always a *verdict.Error: NotRun means that the peer's handler
// has not run and will not, MayHaveRun that it may have run, Ran that it has run but
// its answer cannot be used. An error of the handler itself is returned with the
// handler's verdict.
func (t *Transport) Call(ctx context.Context, to id.Daemon, kind Kind, req, resp any) error {
	r, err := t.find(to)
	if err != nil {
		return notRun(to, err)
	}
	body, err := t.encode(to, req)
	if err != nil {
		return notRun(to, err)
	}
	if t.faults.drops(to) {
		t.traffic.countLost(kind)
		<-ctx.Done()
		return mayHaveRun(to, ctx.Err())
	}
	c, err := r.connection(ctx)
	if err != nil {
		return notRun(to, err)
	}
	if !r.simulateLatency(ctx) {
		return notRun(to, ctx.Err())
	}
	answer, err := c.call(ctx, kind, body)
	if err != nil {
		return err
	}
	return readAnswer(to, answer, resp)
}

func notRun(to id.Daemon, cause error) error {
	code := verdict.CodeUnavailable
	if errors.Is(cause, ErrTooLarge) {
		code = verdict.CodeTooLarge
	}
	return verdict.New(verdict.NotRun, code, "daemon %s was not reached", to).WithCause(cause)
}

func mayHaveRun(to id.Daemon, cause error) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "daemon %s gave no answer", to).WithCause(cause)
}

// call runs one call on a stream of its own. The peer handles only complete
// requests, so the call has not run as long as the end of the stream was not sent.
func (c *conn) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	t, to := c.remote.t, c.remote.name
	request, err := Encode(frame{Kind: kind, Body: body})
	if err != nil {
		return nil, notRun(to, err)
	}
	stream, err := c.quic.OpenStreamSync(ctx)
	if err != nil {
		return nil, notRun(to, err)
	}
	stop := context.AfterFunc(ctx, func() { resetStream(stream, streamCancelled) })
	defer stop()
	if _, err := stream.Write(request); err != nil {
		resetStream(stream, streamCancelled)
		return nil, notRun(to, err)
	}
	if err := stream.Close(); err != nil {
		resetStream(stream, streamCancelled)
		return nil, mayHaveRun(to, err)
	}
	t.traffic.countSent(kind, len(request))
	answer, err := readBounded(stream, t.cfg.MaxMessage)
	if err != nil {
		resetStream(stream, streamCancelled)
		return nil, callError(ctx, to, err)
	}
	t.traffic.countReceived(kind, len(answer))
	return answer, nil
}

// callError returns the error of a call that got no answer: NotRun if the peer
// refused the call, else MayHaveRun.
func callError(ctx context.Context, to id.Daemon, err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote {
		switch reset.ErrorCode {
		case streamRefused:
			return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "daemon %s refused the call", to).WithCause(err)
		case streamTooLarge:
			return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the call is too large for daemon %s", to).WithCause(err)
		}
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return mayHaveRun(to, err)
}

func readAnswer(to id.Daemon, data []byte, resp any) error {
	var a answer
	if err := Decode(data, &a); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "daemon %s gave a broken answer", to).WithCause(err)
	}
	if a.Failure != nil {
		return a.Failure.asError()
	}
	if resp == nil {
		return nil
	}
	if err := Decode(a.Body, resp); err != nil {
		return verdict.New(verdict.Ran, verdict.CodeInternal, "daemon %s gave an answer of another type", to).WithCause(err)
	}
	return nil
}
