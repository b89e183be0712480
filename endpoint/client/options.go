// Package client implements the clients with which a daemon calls the platform and
// the endpoints. Each call is sent at most once: this package never retries. Every
// error is a *verdict.Error; its verdict is NotRun only if that is certain. The
// adapter of a real platform replaces this package, see docs/PLATFORM.md.
package client

import "time"

// Defaults of Options.
const (
	// DefaultDialTimeout is many times the round trip between failure domains, and
	// leaves a request time to try another endpoint.
	DefaultDialTimeout      = 150 * time.Millisecond
	DefaultTimeout          = 30 * time.Second
	DefaultMaxConns         = 256
	DefaultMaxResponseBytes = 8 << 20
	// idleConnLife is shorter than the idle timeout of any server, so that a pooled
	// connection has rarely been closed by the server.
	idleConnLife = 5 * time.Second
)

// Options configures a client; zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Timeout bounds a call whose context has no deadline.
	Timeout time.Duration
	// MaxConns bounds the number of pooled connections and, separately, the number
	// of concurrent streams and prefills.
	MaxConns int
	// MaxResponseBytes bounds the body of one response, in bytes.
	MaxResponseBytes int
	// OnIncarnation, if set, is called with the incarnation in each response of the
	// address. It must not block.
	OnIncarnation func(address string, incarnation uint64)
	// OnMalformed, if set, is called with the *httphead.Error of each response of the address
	// that is none. It must not block.
	OnMalformed func(address string, err error)
}

// withDefaults returns the options with zero fields set to their defaults.
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
	if o.OnMalformed == nil {
		o.OnMalformed = func(string, error) {}
	}
	return o
}
