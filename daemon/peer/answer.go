package peer

import (
	"errors"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// Codes with which a call's stream is reset.
const (
	// streamAbandoned: the caller does not wait any more.
	streamCancelled quic.StreamErrorCode = 1
	// streamRefused: the call has not run and won't.
	streamRefused quic.StreamErrorCode = 2
	// streamTooLarge: the call is over the bound; it has not run and won't.
	streamTooLarge quic.StreamErrorCode = 4
	// streamFailed: the call may have run; there is no answer.
	streamFailed quic.StreamErrorCode = 3
)

// answer is what comes back on a call's stream.
type answer struct {
	_       struct{} `cbor:",toarray"`
	Failure *failure
	Body    []byte
}

// failure is a verdict.Error on the wire; its cause stays behind.
type failure struct {
	_          struct{} `cbor:",toarray"`
	Verdict    verdict.Verdict
	Code       verdict.Code
	Message    string
	RetryAfter time.Duration
}

func failureOf(err error) *failure {
	e := verdict.As(err)
	return &failure{Verdict: e.Verdict, Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
}

// asError reads a peer's failure. A verdict that there is not promises nothing.
func (f *failure) asError() *verdict.Error {
	v := f.Verdict
	if v < verdict.NotRun || v > verdict.Ran {
		v = verdict.MayHaveRun
	}
	e := verdict.New(v, f.Code, "%s", f.Message)
	return e.WithRetryAfter(f.RetryAfter)
}

func resetStream(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}

// acceptCalls hands each call of the peer to a worker.
func (c *conn) acceptCalls() {
	for {
		stream, err := c.quic.AcceptStream(c.quic.Context())
		if err != nil {
			return
		}
		if !c.remote.t.calls.Submit(func() { c.serveCall(stream) }) {
			resetStream(stream, streamRefused)
		}
	}
}

// serveCall answers one call. Its context ends when the caller gives up, as the
// stream's does.
func (c *conn) serveCall(stream *quic.Stream) {
	t := c.remote.t
	data, err := c.readRequest(stream)
	if errors.Is(err, ErrTooLarge) {
		resetStream(stream, streamTooLarge)
		return
	}
	if err != nil {
		resetStream(stream, streamRefused)
		return
	}
	var request frame
	if err := Decode(data, &request); err != nil {
		resetStream(stream, streamRefused)
		return
	}
	t.traffic.countReceived(request.Kind, len(data))
	c.answerRequest(stream, request)
}

// answerRequest runs the handler and sends what it gives. A handler that
// panics leaves the caller without an answer, not waiting for one.
func (c *conn) answerRequest(stream *quic.Stream, request frame) {
	t, from := c.remote.t, c.remote.name
	finished := false
	defer func() {
		if !finished {
			resetStream(stream, streamFailed)
		}
	}()
	reply := answer{}
	body, err := t.cfg.Handler.HandleCall(stream.Context(), from, request.Kind, request.Body)
	switch {
	case err != nil:
		reply.Failure = failureOf(err)
	case len(body) > t.cfg.MaxMessage:
		reply.Failure = failureOf(verdict.New(verdict.Ran, verdict.CodeTooLarge, "answer of %d bytes, bound %d", len(body), t.cfg.MaxMessage))
	default:
		reply.Body = body
	}
	c.reply(stream, request.Kind, reply)
	finished = true
}

// readRequest bounds the time for which a slow caller holds a worker.
func (c *conn) readRequest(stream *quic.Stream) ([]byte, error) {
	t := c.remote.t
	if err := stream.SetReadDeadline(time.Now().Add(t.cfg.WriteTimeout)); err != nil {
		return nil, err
	}
	return readBounded(stream, t.cfg.MaxMessage)
}

func (c *conn) reply(stream *quic.Stream, kind Kind, reply answer) {
	t := c.remote.t
	if t.faults.drops(c.remote.name) {
		t.traffic.countLost(kind)
		<-stream.Context().Done()
		return
	}
	data, err := Encode(reply)
	if err != nil || !c.remote.simulateLatency(stream.Context()) {
		resetStream(stream, streamFailed)
		return
	}
	if _, err := stream.Write(data); err != nil {
		t.traffic.countLost(kind)
		resetStream(stream, streamFailed)
		return
	}
	if err := stream.Close(); err != nil {
		t.traffic.countLost(kind)
		return
	}
	t.traffic.countSent(kind, len(data))
}
