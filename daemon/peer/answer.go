package peer

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// Error codes of reset call streams.
const (
	// streamCancelled: the caller has cancelled the call or its deadline has
	// passed.
	streamCancelled quic.StreamErrorCode = 1
	// streamRefused: the call was not run and will not be.
	streamRefused quic.StreamErrorCode = 2
	// streamTooLarge: the call exceeds the size limit; it was not run and will not
	// be.
	streamTooLarge quic.StreamErrorCode = 4
	// streamFailed: the call may have run; there is no answer.
	streamFailed quic.StreamErrorCode = 3
)

// answer is the response on a call's stream.
type answer struct {
	_       struct{} `cbor:",toarray"`
	Failure *failure
	Body    []byte
}

// failure is the wire form of a verdict.Error. The error's cause is not sent.
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

// asError converts a peer's failure to an error. An unknown verdict becomes
// MayHaveRun.
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

// acceptCalls accepts the peer's streams and submits each to a worker. A worker reads
// the request with a deadline, so that a slow caller holds it for a bounded time only.
func (c *conn) acceptCalls() {
	for {
		stream, err := c.quic.AcceptStream(c.quic.Context())
		if err != nil {
			return
		}
		if !c.remote.t.calls.Submit(func() { c.serveStream(stream) }) {
			resetStream(stream, streamRefused)
		}
	}
}

// serveStream answers one call, or serves a tunnel.
func (c *conn) serveStream(stream *quic.Stream) {
	var first [1]byte
	err := stream.SetReadDeadline(time.Now().Add(c.remote.t.cfg.WriteTimeout))
	if err == nil {
		_, err = io.ReadFull(stream, first[:])
	}
	switch {
	case err != nil:
		resetStream(stream, streamRefused)
	case first[0] == tunnelMark:
		c.acceptTunnel(stream)
	default:
		c.serveCall(stream, io.MultiReader(bytes.NewReader(first[:]), stream))
	}
}

// serveCall answers one call. Its context is the stream's, which ends when the
// caller cancels the call.
func (c *conn) serveCall(stream *quic.Stream, in io.Reader) {
	t := c.remote.t
	data, err := readBounded(in, t.cfg.MaxMessage)
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

// answerRequest runs the handler and sends its result. If the handler panics, the
// stream is reset so that the caller does not wait for an answer.
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
