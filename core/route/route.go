// Package route holds the routing configuration: which service answers a
// request, whether the request may run more than once, and how long it may take.
// A configuration is an immutable snapshot; a newer one replaces it atomically.
package route

import (
	"time"

	"github.com/samphirequay/samphirequay/core/apikey"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

// Kind determines how often a route's requests may run and how they are
// answered.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Stream requests are answered with a stream of events. They run at most once
	// unless the route is resumable.
	Stream
)

// String names the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Target is one service that a route sends requests to.
type Target struct {
	Service id.Service
	// Weight is the target's share relative to the route's other targets.
	Weight int
}

// Limits bounds the size of requests, in bytes; 0 if the configuration sets no
// bound.
type Limits struct {
	// HeaderBytes bounds the header fields of a request.
	HeaderBytes int
	// BodyBytes bounds its body.
	BodyBytes int
}

// Route sends the requests of a host whose path begins with a prefix to a
// service.
type Route struct {
	// Name of the route, unique.
	Name string
	// Host that requests are sent to, in lower case.
	Host string
	// Prefix of the path; the longest matching one applies.
	Prefix string
	Kind   Kind
	// Targets share the route's requests by weight; at least one.
	Targets []Target
	// Timeout is the longest time from a request's arrival to its final answer.
	Timeout time.Duration
	// TargetLatency is the time to the (first) answer that callers expect.
	TargetLatency time.Duration
	// TargetGap is the longest pause between the events of a stream that callers
	// expect; 0 for no bound.
	TargetGap time.Duration
	// Patience is how long callers of a stream wait for the first event.
	Patience time.Duration
	// Priority of its requests: 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that may run one request; at least 1.
	MaxAttempts int
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Public routes require no key.
	Public bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVTokens is an engine's KV cache memory, in tokens.
	KVTokens int
	// KVLifetime is how long a prefill engine keeps a prompt's KV cache for the
	// decode.
	KVLifetime time.Duration
	// SwitchTime is how long an engine takes to change its role.
	SwitchTime time.Duration
}

// Service is what routes send requests to.
type Service struct {
	Name id.Service
	// HealthPath is the path at which its endpoints report their health and
	// identity; empty if they don't.
	HealthPath string
	// MaxConnections is how many connections one endpoint takes from all
	// daemons together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Team is a group of callers that send requests with the team's keys.
type Team struct {
	Name id.Team
	// Keys holds the hashes of the keys that its callers send.
	Keys []apikey.Hash
	// Priority of its requests, used only if OwnPriority is set: it overrides that
	// of the route.
	Priority    int
	OwnPriority bool
	// Limit bounds the team's requests over all daemons together.
	Limit quota.Limit
}

// Config is one whole routing configuration.
type Config struct {
	// Version increases with each accepted change, not always by 1.
	Version  uint64
	Routes   []Route
	Services []Service
	// Teams lists the teams. Requests on routes that are not public need a key of
	// one of them; without teams no request needs a key.
	Teams  []Team
	Limits Limits
}
