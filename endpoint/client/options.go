// Package client holds the adapters through which a daemon meets the platform
// and the endpoints. Each call is sent at most once: there is no retry in here.
// Every error is a *verdict.Error; its verdict is NotRun only where that is
// certain. A real platform's adapter replaces this package, see docs/PLATFORM.md.
package client

import "time"

// Defaults of Options.
const (
	// DefaultDialTimeout is many round trips between failure domains, and leaves
	// a request time for another endpoint.
	DefaultDialTimeout      = 150 * time.Millisecond
	DefaultTimeout          = 30 * time.Second
	DefaultMaxConns         = 256
	DefaultMaxResponseBytes = 8 << 20
	// idleConnLife is below any server's own limit, so that a pooled connection
	// is seldom found closed.
	idleConnLife = 5 * time.Second
)

// Options of a client; zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Timeout bounds a call whose context has no deadline.
	Timeout time.Duration
	// MaxConns bounds the pooled connections, and apart from them the streams
	// and prefills at once.
	MaxConns int
	// MaxResponseBytes bounds the body of one response, in bytes.
	MaxResponseBytes int
	// OnIncarnation, if set, is told the incarnation that each response of the
	// address carries. It must not block.
	OnIncarnation func(address string, incarnation uint64)
}

// withDefaults fills in the fields that are zero.
func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxConns <= 0 {
		o.MaxConns = DefaultMaxConns
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.OnIncarnation == nil {
		o.OnIncarnation = func(string, uint64) {}
	}
	return o
}
