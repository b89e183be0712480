package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// tailBytes is how much of the end of an answer is kept, to read its error.
const tailBytes = 2048

// doneLine ends a stream that is whole.
const doneLine = "data: [DONE]"

// keyCount counts the attempts under one idempotency key.
type keyCount struct{ attempts, notRun int }

// tap watches what the callers of a run are told. It stands between their
// HTTP client and the connections.
type tap struct {
	base http.RoundTripper

	mu sync.Mutex
	// notRun holds the ids of new completions that were refused as not run.
	notRun map[string]bool
	keys   map[string]*keyCount
	// broken counts answers and connections that broke while the caller waited.
	broken int
}

func newTap(base http.RoundTripper) *tap {
	return &tap{base: base, notRun: map[string]bool{}, keys: map[string]*keyCount{}}
}

// RoundTrip implements http.RoundTripper.
func (t *tap) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	t.countKey(req, resp)
	if err != nil {
		// An old address that gives no entry answer interrupts no request.
		if req.Context().Err() == nil && req.URL.Path != opapi.PathEntry {
			t.addBroken()
		}
		return nil, err
	}
	if req.URL.Path == opapi.PathCompletions {
		fresh := req.Header.Get(opapi.HeaderLastEventID) == ""
		if fresh && resp.Header.Get(opapi.HeaderVerdict) == verdict.NotRun.String() {
			t.addNotRun(resp.Header.Get(opapi.HeaderRequest))
		}
		resp.Body = &tappedBody{ReadCloser: resp.Body, tap: t, ctx: req.Context(), fresh: fresh,
			stream: resp.Header.Get("Content-Type") == "text/event-stream"}
	}
	return resp, nil
}

// CloseIdleConnections lets http.Client close what nobody uses.
func (t *tap) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// countKey books an attempt under an idempotency key.
func (t *tap) countKey(req *http.Request, resp *http.Response) {
	key := req.Header.Get(opapi.HeaderIdempotencyKey)
	if key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.keys[key]
	if count == nil {
		count = &keyCount{}
		t.keys[key] = count
	}
	count.attempts++
	if resp != nil && resp.Header.Get(opapi.HeaderVerdict) == verdict.NotRun.String() {
		count.notRun++
	}
}

func (t *tap) addBroken() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken++
}

// brokenSoFar is the number of answers that broke so far.
func (t *tap) brokenSoFar() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broken
}

func (t *tap) addNotRun(request string) {
	if request == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRun[request] = true
}

// refusedKeys lists the keys of which every attempt was refused as not run.
func (t *tap) refusedKeys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for key, count := range t.keys {
		if count.attempts == count.notRun {
			out = append(out, key)
		}
	}
	return out
}

// refusedRequests lists the completions that were refused as not run.
func (t *tap) refusedRequests() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for request := range t.notRun {
		out = append(out, request)
	}
	return out
}

// tappedBody keeps the end of an answer and sees whether it broke.
type tappedBody struct {
	io.ReadCloser
	tap    *tap
	ctx    context.Context
	fresh  bool
	stream bool
	tail   []byte
	ended  bool
}

// Read implements io.Reader.
func (b *tappedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.tail = append(b.tail, p[:n]...)
	if over := len(b.tail) - tailBytes; over > 0 {
		b.tail = append(b.tail[:0], b.tail[over:]...)
	}
	if err != nil && !b.ended {
		b.ended = true
		b.end(err)
	}
	return n, err
}

// end reads the error event at the end of a stream, or sees that it broke.
func (b *tappedBody) end(err error) {
	if !errors.Is(err, io.EOF) {
		if b.ctx.Err() == nil {
			b.tap.addBroken()
		}
		return
	}
	if !b.stream || bytes.Contains(b.tail, []byte(doneLine)) {
		return
	}
	detail, ok := lastError(b.tail)
	if !ok {
		b.tap.addBroken()
		return
	}
	if b.fresh && detail.Verdict == verdict.NotRun.String() {
		b.tap.addNotRun(detail.Request)
	}
}

// lastError reads the error event that a stream ended with.
func lastError(tail []byte) (opapi.ErrorDetail, bool) {
	at := bytes.LastIndex(tail, []byte("event: error"))
	if at < 0 {
		return opapi.ErrorDetail{}, false
	}
	_, data, found := bytes.Cut(tail[at:], []byte("data: "))
	if !found {
		return opapi.ErrorDetail{}, false
	}
	var body opapi.ErrorBody
	line, _, _ := bytes.Cut(data, []byte("\n"))
	err := json.Unmarshal(line, &body)
	return body.Error, err == nil
}
