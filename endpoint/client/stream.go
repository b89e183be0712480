package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 64 << 10

var dataPrefix = []byte("data:")

// Timeouts are the timeouts of a stream.
type Timeouts struct {
	// First bounds the time until the header of the response arrives, which the
	// engine sends after it has imported the KV cache.
	First time.Duration
	// Idle bounds the time until each event arrives.
	Idle time.Duration
}

// Stream is an answer in progress. Only one goroutine may read it; any goroutine
// may close it.
type Stream struct {
	d           *dedicatedExchange
	idle        time.Duration
	scanner     *bufio.Scanner
	incarnation uint64
	finished    bool
}

// newStream returns a stream of the events of an opened exchange.
func newStream(d *dedicatedExchange, idle time.Duration) *Stream {
	var body io.Reader = bytes.NewReader(nil)
	if s := d.resp.BodyStream(); s != nil {
		body = s
	}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &Stream{d: d, idle: idle, scanner: scanner, incarnation: incarnationOf(d.resp)}
}

// Incarnation returns the engine's incarnation from the response; 0 if it has none.
func (s *Stream) Incarnation() uint64 { return s.incarnation }

// Next waits for the next event, at most for the idle timeout. After the event that
// has a Finish it returns io.EOF. Any other error is a *verdict.Error: the request
// may still be running at the engine.
func (s *Stream) Next() (wire.TokenEvent, error) {
	if s.finished {
		return wire.TokenEvent{}, io.EOF
	}
	if err := s.d.conn.SetReadDeadline(time.Now().Add(s.idle)); err != nil {
		return wire.TokenEvent{}, s.d.classifyError(err)
	}
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		return s.event(data)
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return wire.TokenEvent{}, s.d.classifyError(err)
}

// event decodes one event.
func (s *Stream) event(data []byte) (wire.TokenEvent, error) {
	var event wire.TokenEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return event, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "%s at %s: unreadable event", s.d.operation, s.d.address).WithCause(err)
	}
	s.finished = event.Finish != ""
	return event, nil
}

// Close aborts the connection immediately; a pending Next returns an error.
func (s *Stream) Close() { s.d.Close() }
