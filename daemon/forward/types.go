// Package forward is the pipeline of requests that are passed on as they are:
// plain calls to the least loaded endpoint, streams through a prefill and a
// decode engine. It decides on attempts, retries, deadlines and what a failure
// means; the Endpoints port speaks to the endpoints, the Pairer to the pools'
// owners.
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
	// ID is the caller's own, one for each of its attempts.
	ID     id.Request
	Method string
	// Host and Path choose the route. Target is the path with its query, byte
	// for byte as the caller sent it.
	Host, Path, Target string
	// Header holds the fields to pass on, Credentials those to pass on only where
	// the configuration has no teams.
	Header, Credentials []Field
	Body                []byte
	// Key is the hash of the key that the caller sent, where HasKey says that it
	// sent one.
	Key    apikey.Hash
	HasKey bool
	// Arrived is the daemon's time at the arrival.
	Arrived time.Duration
	// CallerWaits is how long from then on the caller waits; 0 if not said.
	CallerWaits time.Duration
	// PromptTokens and OutputTokens are the size of a generation, where Sized says
	// that the caller named it, and ExpectedOutput the caller's guess of what will
	// be used; 0 if not said.
	PromptTokens, OutputTokens, ExpectedOutput int
	Sized                                      bool
	// Caller is the address of the caller's host, and Prompt names the parts of
	// a generation's prompt; empty if not said.
	Caller, Prompt string
	// LastEvent is the id of the event behind which a stream goes on; empty
	// for its beginning.
	LastEvent string
}

// Reply is an endpoint's answer that is passed on as it is.
type Reply struct {
	Status int
	Header []Field
	// Body is the whole body; unused where Events is set.
	Body []byte
	// Events is the body of a stream. It gives io.EOF only at the proper end,
	// and must be closed.
	Events io.ReadCloser
}

// Failed says whether the endpoint answered with an error of its own.
func (r *Reply) Failed() bool { return r.Status >= 500 }

// KV names a prompt's KV cache at the prefill engine that read it.
type KV struct {
	// Source is that engine's address.
	Source string
	// Handle names the KV cache there.
	Handle string
	// Tokens that were read.
	Tokens int
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Request *Request
	// Endpoint must be the one that answers; another one at its address
	// refuses.
	Endpoint registry.Endpoint
	// Left is how long the endpoint may work on it.
	Left time.Duration
	// Until is when the answer (the head of a stream) must be there, in the
	// daemon's time.
	Until time.Duration
	// MaxConns bounds this daemon's connections to the endpoint.
	MaxConns int
	// Once is set for a request that can't be repeated.
	Once bool
	// LastEvent is the last event that the caller has got, for a stream that
	// goes on; empty for its beginning.
	LastEvent string
	// Urgency of a generation, 0 (first) to 9.
	Urgency int
	// Team is told to the endpoint; empty where there is none.
	Team id.Team
	// Credentials of the caller are passed on where there are no teams.
	Credentials []Field
}

// EventStream is the body of a stream at an endpoint.
type EventStream interface {
	io.ReadCloser
	// SetReadDeadline bounds the next reads.
	SetReadDeadline(t time.Time) error
}

// Opened is a stream whose head has come.
type Opened struct {
	Status int
	Header []Field
	// Body is set instead of Events where the endpoint answered with an error.
	Body   []byte
	Events EventStream
}

// Endpoints is the port to the endpoints. Errors say whether the request may
// have run; with verdict.NotRun the code tells why:
// CodeOverloaded (no room), CodeUnavailable (not reached), CodeSuperseded
// (another endpoint has the address), CodeKVGone (the KV cache can't be had).
type Endpoints interface {
	// Call sends a plain call.
	Call(ctx context.Context, a *Attempt) (*Reply, *verdict.Error)
	// Prefill has the prompt read. It never runs the request.
	Prefill(ctx context.Context, a *Attempt) (KV, *verdict.Error)
	// Decode runs a generation. Without a KV cache the engine reads the prompt
	// itself.
	Decode(ctx context.Context, a *Attempt, kv KV) (*Opened, *verdict.Error)
	// Free drops a KV cache that nobody will use.
	Free(ctx context.Context, e registry.Endpoint, kv KV)
}

// Pairer asks the owners of pools for endpoints; daemon/broker implements it.
type Pairer interface {
	Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error)
	Progress(p sched.Progress)
}

// Payer holds teams to their limits over all daemons; daemon/quotas implements
// it.
type Payer interface {
	// Pay has a request charged to its team, or refuses it. patience bounds the
	// wait for the daemon that keeps the team's account.
	Pay(ctx context.Context, team id.Team, limit quota.Limit, cost float64, patience time.Duration) *verdict.Error
	// Return gives back what was paid for a request that has not run. It doesn't
	// wait.
	Return(team id.Team, cost float64)
}

// Freshness says how old the configuration may be.
type Freshness interface {
	// Fresh says whether no key that this daemon still takes was revoked longer
	// ago than allowed, and how old the configuration may be.
	Fresh() (fresh bool, age time.Duration)
	// Behind says whether a newer configuration may be known elsewhere.
	Behind() bool
	// Refresh has the configuration read soon. It doesn't wait, and however often
	// it is called, reads are few.
	Refresh()
}

// View is what the daemon knows when a request arrives.
type View struct {
	// Routes is the configuration in force; nil before there is one.
	Routes *route.Table
	// Endpoints by name, as registered now.
	Endpoints map[id.Endpoint]registry.Endpoint
	// Registry is the version of the registry.
	Registry uint64
	// Lapsed counts the endpoints that the store no longer lists and that may
	// come back.
	Lapsed int
}

// Log takes one line an event. Routine lines tell of what went as it should:
// they are the first to go when the log falls behind.
type Log interface {
	Event(event string, kv ...any)
	Routine(event string, kv ...any)
}
