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

// tailBytes is the length of the end of an answer that is kept, to read an error
// event from it.
const tailBytes = 2048

// doneLine is at the end of every complete stream.
const doneLine = "data: [DONE]"

// keyCount counts the attempts under one idempotency key.
type keyCount struct{ attempts, notRun int }

// observer is an HTTP transport that records the results that the callers of a run
// receive. It wraps the transport of their HTTP client.
type observer struct {
	base http.RoundTripper

	mu sync.Mutex
	// notRun holds the ids of new completions that were refused as not run.
	notRun map[string]bool
	keys   map[string]*keyCount
	// broken counts the answers and connections that failed while the caller was
	// waiting.
	broken int
}

func newObserver(base http.RoundTripper) *observer {
	return &observer{base: base, notRun: map[string]bool{}, keys: map[string]*keyCount{}}
}

// RoundTrip implements http.RoundTripper.
func (t *observer) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	t.countKey(req, resp)
	if err != nil {
		// A failed request for an entry answer, for example at an old address,
		// interrupts no completion or call.
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
		resp.Body = &observedBody{ReadCloser: resp.Body, observer: t, ctx: req.Context(), fresh: fresh,
			stream: resp.Header.Get("Content-Type") == "text/event-stream"}
	}
	return resp, nil
}

// CloseIdleConnections lets http.Client close the idle connections of the wrapped
// transport.
func (t *observer) CloseIdleConnections() {
	if c, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// countKey counts an attempt under an idempotency key.
func (t *observer) countKey(req *http.Request, resp *http.Response) {
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

func (t *observer) addBroken() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken++
}

// brokenCount returns the number of answers and connections that have failed.
func (t *observer) brokenCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broken
}

func (t *observer) addNotRun(request string) {
	if request == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRun[request] = true
}

// refusedKeys returns the keys whose attempts were all refused as not run.
func (t *observer) refusedKeys() []string {
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

// refusedRequests returns the ids of the completions that were refused as not run.
func (t *observer) refusedRequests() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for request := range t.notRun {
		out = append(out, request)
	}
	return out
}

// observedBody keeps the end of an answer and detects whether it is incomplete.
type observedBody struct {
	io.ReadCloser
	observer *observer
	ctx      context.Context
	fresh    bool
	stream   bool
	tail     []byte
	ended    bool
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
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

// end reads the error event at the end of a stream, or counts the answer as broken
// if it is incomplete.
func (b *observedBody) end(err error) {
	if !errors.Is(err, io.EOF) {
		if b.ctx.Err() == nil {
			b.observer.addBroken()
		}
		return
	}
	if !b.stream || bytes.Contains(b.tail, []byte(doneLine)) {
		return
	}
	detail, ok := lastError(b.tail)
	if !ok {
		b.observer.addBroken()
		return
	}
	if b.fresh && detail.Verdict == verdict.NotRun.String() {
		b.observer.addNotRun(detail.Request)
	}
}

// lastError decodes the last error event in the end of a stream.
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
