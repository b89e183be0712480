// Package forward passes requests on to endpoints unchanged: plain calls to the
// least loaded endpoint, streams to a pair of prefill and decode engines. It
// decides on attempts, retries, deadlines and the verdict of a failure. The
// Endpoints interface connects it to the endpoints, the Pairer interface to the
// owners of pools.
package forward

import (
	"context"
	"io"
	"time"

	"github.com/samphirequay/samphirequay/core/apikey"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Request is a caller's request.
type Request struct {
	// ID is set by the caller, a new one for each of its attempts.
	ID     id.Request
	Method string
	// Host and Path select the route. Target is the path with its query, byte
	// for byte as the caller sent it.
	Host, Path, Target string
	// Header holds the fields to pass on, Credentials those to pass on only if
	// the configuration has no teams.
	Header, Credentials []Field
	Body                []byte
	// Key is the hash of the key that the caller sent; valid only if HasKey is
	// set.
	Key    apikey.Hash
	HasKey bool
	// Arrived is when the request arrived, in the daemon's time.
	Arrived time.Duration
	// CallerTimeout is how long the caller waits from Arrived on; 0 if not stated.
	CallerTimeout time.Duration
	// PromptTokens and OutputTokens are the size of a generation; Sized is set if
	// the caller stated it. ExpectedOutput is the caller's estimate of the output
	// tokens that will be used; 0 if not stated.
	PromptTokens, OutputTokens, ExpectedOutput int
	Sized                                      bool
	// Caller is the address of the caller's host, and Prompt identifies the parts
	// of a generation's prompt; empty if not stated.
	Caller, Prompt string
	// Parts are the names of the parts of the prompt that other requests may share, so
	// without the last one, at most MaxParts; nil if not stated. UnknownParts is how many
	// others its caller stated that are not among them.
	Parts        []string
	UnknownParts int
	// LastEvent is the id of the event after which a stream is to continue; empty
	// to start at the beginning.
	LastEvent string
	// FirstAttempt is the ID of the caller's attempt that brought the first event of the
	// stream that is to continue; empty if not stated.
	FirstAttempt id.Request
}

// Reply is an endpoint's answer, which is passed on unchanged.
type Reply struct {
	Status int
	Header []Field
	// Body is the body, and More what follows it of a large one; unused if Events is set.
	// Unframed is set if only the end of the endpoint's connection marked its end.
	Body     []byte
	More     [][]byte
	Unframed bool
	// Events is the body of a stream. It returns io.EOF only at the regular end of
	// the stream, and must be closed.
	Events io.ReadCloser
}

// Failed reports whether the endpoint answered with an error of its own.
func (r *Reply) Failed() bool { return r.Status >= 500 }

// empty reports whether the answer has no byte of a body.
func (r *Reply) empty() bool { return len(r.Body) == 0 && len(r.More) == 0 }

// Succeeded reports whether the endpoint answered with success, and so has worked on the
// request.
func (r *Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// KV identifies a prompt's KV cache at the prefill engine that created it.
type KV struct {
	// Source is the address of the prefill engine.
	Source string
	// Handle identifies the KV cache at that engine.
	Handle string
	// Tokens is the number of tokens in the KV cache.
	Tokens int
}

// Attempt is one attempt to serve a request at an endpoint.
type Attempt struct {
	Request *Request
	// Endpoint is the endpoint that must answer; another endpoint at its address
	// refuses the request.
	Endpoint registry.Endpoint
	// Left is how long the endpoint may work on the request.
	Left time.Duration
	// Until is when the answer (for a stream, its header) must have arrived, in
	// the daemon's time. The body of a stream ends with its context at the latest.
	Until time.Duration
	// WaitUntil, if set, is when the answer to a call must have arrived instead: after
	// Until another endpoint may be asked as well.
	WaitUntil time.Duration
	// MaxConns bounds this daemon's connections to the endpoint.
	MaxConns int
	// AtMostOnce is set for a request that must not run more than once.
	AtMostOnce bool
	// LastEvent is the id of the last event that the caller has received, for a
	// stream that is resumed; empty to start at the beginning.
	LastEvent string
	// Urgency of a generation, 0 (most urgent) to 9.
	Urgency int
	// Team is sent to the endpoint; empty if the request has none.
	Team id.Team
	// Credentials are the caller's, passed on only if there are no teams.
	Credentials []Field
	// MaySend, if set, is asked right before the request is written, once there is a
	// connection. If it returns false, the request is refused instead, with CodeOverloaded.
	MaySend func() bool
	// OnLimit, if set, is called for each answer of the endpoint, a refusal included,
	// with the rate limit that the answer names.
	OnLimit func(l EndpointLimit)
	// OnBackoff, if set, is called for each refusal of the endpoint that names a backoff.
	OnBackoff func(b EndpointBackoff)
}

// EndpointLimit is what an answer says of how much its endpoint takes.
type EndpointLimit struct {
	// PerSecond is the requests per second that the endpoint takes from all daemons
	// together; 0 if the answer names no limit.
	PerSecond float64
	// Invalid is the text of a limit that can't be used; empty if there is none. The
	// limit before it stays in force.
	Invalid string
}

// EndpointBackoff is what a refusal says of how long its endpoint wants no request of this
// daemon.
type EndpointBackoff struct {
	// For is how long; unused if Invalid is set.
	For time.Duration
	// Invalid is the text of a backoff that can't be used; empty if there is none. The
	// refusal counts as one without a backoff.
	Invalid string
}

// EventStream is the body of a stream from an endpoint. Read returns io.EOF at its end,
// and any other error if it is certainly broken off.
type EventStream interface {
	io.ReadCloser
	// SetReadDeadline bounds the next reads.
	SetReadDeadline(t time.Time) error
	// Unframed reports whether the body has neither a length nor chunks: the end of its
	// connection is its end, also if the endpoint has crashed.
	Unframed() bool
	// NotEvents reports whether the answer states a format other than a series of
	// events.
	NotEvents() bool
}

// Opened is an endpoint's answer to Decode, whose header has arrived.
type Opened struct {
	Status int
	Header []Field
	// Body is set instead of Events if the endpoint answered with an error.
	Body   []byte
	Events EventStream
}

// Endpoints sends requests to endpoints. The verdict of an error states whether
// the request may have run. With verdict.NotRun the code is the reason:
// CodeOverloaded (no capacity), CodeUnavailable (not reached), CodeSuperseded
// (another endpoint has the address), CodeKVGone (the KV cache is not available).
type Endpoints interface {
	// Call sends a plain call.
	Call(ctx context.Context, a *Attempt) (*Reply, *verdict.Error)
	// Prefill creates the KV cache of the prompt. It never runs the request.
	Prefill(ctx context.Context, a *Attempt) (KV, *verdict.Error)
	// Decode runs a generation. Without a KV cache the engine prefills the prompt
	// itself.
	Decode(ctx context.Context, a *Attempt, kv KV) (*Opened, *verdict.Error)
	// Free releases a KV cache that no decode will use.
	Free(ctx context.Context, e registry.Endpoint, kv KV)
	// Reachable reports whether the endpoint accepts connections, as far as this host can
	// tell until ctx ends.
	Reachable(ctx context.Context, e registry.Endpoint) Reach
}

// Pairer requests endpoints from the owners of pools; daemon/broker implements it. The error
// of a plain call on which no owner has decided has the cause pairing.ErrUndecided.
type Pairer interface {
	Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error)
	Progress(p sched.Progress)
}

// QuotaCharger enforces the limits of teams over all daemons; daemon/quotas
// implements it.
type QuotaCharger interface {
	// Charge charges a request to its team, or refuses it. patience bounds the wait
	// for the daemon that keeps the team's account.
	Charge(ctx context.Context, team id.Team, limit quota.Limit, cost float64, patience time.Duration) *verdict.Error
	// Refund refunds the charge of a request that has not run. It doesn't block.
	Refund(team id.Team, cost float64)
}

// Freshness reports how old the configuration may be.
type Freshness interface {
	// Fresh reports whether no key that this daemon still accepts was revoked
	// longer ago than allowed, and how old the configuration may be.
	Fresh() (fresh bool, age time.Duration)
	// Outdated reports whether a newer configuration may exist elsewhere.
	Outdated() bool
	// Refresh schedules a read of the configuration. It doesn't block, and reads
	// are rate-limited however often it is called.
	Refresh()
}

// View is a snapshot of the configuration and the endpoints.
type View struct {
	// Routes is the active configuration; nil before there is one.
	Routes *route.Table
	// Endpoints by name, as registered now.
	Endpoints map[id.Endpoint]registry.Endpoint
	// Registry is the version of the registry.
	Registry uint64
	// Lapsed counts the endpoints that the store no longer lists and that may
	// come back.
	Lapsed int
}

// Log writes one line per event. Routine lines report normal operation and are
// dropped first when the log can't keep up.
type Log interface {
	Event(event string, kv ...any)
	Routine(event string, kv ...any)
}
