// Package endpoints keeps a client for each endpoint in the configuration and reports
// the incarnations of the endpoints.
package endpoints

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

const (
	// headerTimeout bounds the wait for the response header of a stream, including the
	// import of the KV cache.
	headerTimeout = 4 * time.Second
	// resumeTimeout bounds the wait for the response header of a resumed stream. It is
	// shorter, since nothing is imported and the caller waits in the middle of its
	// answer.
	resumeTimeout = time.Second
	// idleTimeout bounds the wait for a token. A stream that stalls for longer counts
	// as broken and is continued elsewhere.
	idleTimeout = 2 * time.Second
	// prefillTimeout bounds a prefill.
	prefillTimeout = 8 * time.Second
	// shortTimeout bounds cancels, reports and lists.
	shortTimeout = time.Second
)

// Set holds the clients. It is safe for concurrent use.
type Set struct {
	onIncarnation func(address string, incarnation id.Incarnation)
	onMalformed   func(address string, err error)

	mu      sync.Mutex
	engines map[string]*client.Engine
	plains  map[string]*client.Plain
}

// New returns an empty Set. onIncarnation is called with the incarnation in each
// response; it must not block and may be nil.
func New(onIncarnation func(address string, incarnation id.Incarnation)) *Set {
	if onIncarnation == nil {
		onIncarnation = func(string, id.Incarnation) {}
	}
	return &Set{
		onIncarnation: onIncarnation,
		engines:       make(map[string]*client.Engine),
		plains:        make(map[string]*client.Plain),
	}
}

// OnMalformed sets the function that is called with the error of each response that is none
// (see client.Options). It must be called before the first client is used.
func (s *Set) OnMalformed(report func(address string, err error)) { s.onMalformed = report }

func (s *Set) options() client.Options {
	return client.Options{
		OnIncarnation: func(address string, n uint64) { s.onIncarnation(address, id.Incarnation(n)) },
		OnMalformed:   s.onMalformed,
	}
}

// Engine returns the client of the model engine at address.
func (s *Set) Engine(address string) *client.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.engines[address]
	if !ok {
		c = client.NewEngine(address, s.options())
		s.engines[address] = c
	}
	return c
}

// Plain returns the client of the plain endpoint at address.
func (s *Set) Plain(address string) *client.Plain {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.plains[address]
	if !ok {
		c = client.NewPlain(address, s.options())
		s.plains[address] = c
	}
	return c
}

// Prune drops the clients of endpoints that left the configuration.
func (s *Set) Prune(doc *live.Document) {
	keep := make(map[string]bool, len(doc.Endpoints))
	for i := range doc.Endpoints {
		keep[doc.Endpoints[i].Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.engines {
		if !keep[address] {
			c.Close()
			delete(s.engines, address)
		}
	}
	for address, c := range s.plains {
		if !keep[address] {
			c.Close()
			delete(s.plains, address)
		}
	}
}

// Prefill implements completion.Engines.
func (s *Set) Prefill(ctx context.Context, e *live.Endpoint, r *wire.PrefillRequest) (*wire.PrefillResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	resp, err := s.Engine(e.Address).Prefill(ctx, *r)
	if err != nil {
		return nil, err
	}
	return &resp, nil
}

// Decode implements completion.Engines.
func (s *Set) Decode(ctx context.Context, e *live.Endpoint, r *wire.DecodeRequest) (completion.TokenStream, error) {
	st, err := s.Engine(e.Address).Decode(ctx, *r, decodeTimeouts())
	if err != nil {
		return nil, err
	}
	return tokenStream{st}, nil
}

// Resume implements completion.Engines.
func (s *Set) Resume(ctx context.Context, e *live.Endpoint, attempt id.Request, after int, owner id.Process) (completion.TokenStream, error) {
	r := client.ResumeRequest{
		Request:     string(attempt),
		After:       after,
		Owner:       string(owner.Daemon),
		Incarnation: uint64(owner.Incarnation),
	}
	st, err := s.Engine(e.Address).Resume(ctx, r, client.Timeouts{First: resumeTimeout, Idle: idleTimeout})
	if err != nil {
		return nil, err
	}
	return tokenStream{st}, nil
}

// Call implements plaincall.Endpoints.
func (s *Set) Call(ctx context.Context, e *live.Endpoint, r client.PlainRequest) (client.PlainResponse, error) {
	return s.Plain(e.Address).Call(ctx, r)
}

func decodeTimeouts() client.Timeouts {
	return client.Timeouts{First: headerTimeout, Idle: idleTimeout}
}

// WithShortTimeout returns a context with the timeout of a short call: a cancel, a
// report or a list.
func WithShortTimeout(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(parent, shortTimeout)
}

// tokenStream adapts a client.Stream to completion.TokenStream.
type tokenStream struct{ s *client.Stream }

// Next implements completion.TokenStream. At the end of the stream, whether
// before or after its terminal event, it returns a *verdict.Error.
func (t tokenStream) Next() (wire.TokenEvent, error) {
	e, err := t.s.Next()
	if err == io.EOF {
		return e, verdict.New(verdict.Ran, verdict.CodeEndpointFailed, "the stream ended behind its terminal event")
	}
	return e, err
}

// Close implements completion.TokenStream.
func (t tokenStream) Close() error {
	t.s.Close()
	return nil
}

// Incarnation implements completion.TokenStream.
func (t tokenStream) Incarnation() id.Incarnation { return id.Incarnation(t.s.Incarnation()) }
