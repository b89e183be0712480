// Package completion serves one model request. It gets a pair of endpoints, runs the
// prefill on one and the decode on the other, delivers the tokens in order and each
// exactly once, and releases everything that an attempt leaves at the endpoints.
package completion

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// Job is one caller's request, authenticated and classified.
type Job struct {
	// ID is shown to the caller and accepted by the explain command.
	ID      id.Request
	Team    *live.Team
	Service *live.Service
	Prompt  string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Arrived is when the request arrived, as a duration since the daemon's start.
	Arrived time.Duration
	// Fingerprint identifies team and content.
	Fingerprint string
	// Resume is set if the caller requests the rest of an answer.
	Resume *ResumePoint
}

// ResumePoint is where a caller's earlier stream ended.
type ResumePoint struct {
	// Attempt is the name of the request at the engine.
	Attempt id.Request
	// Endpoint generates the answer, if the request still runs.
	Endpoint id.Endpoint
	// Incarnation is that of the endpoint when it sent the last delivered event.
	Incarnation id.Incarnation
	// Delivered is the number of the last event that the caller has.
	Delivered int
	// Text is the answer up to that event, if the caller sent it and it was verified.
	Text string
	// HasText distinguishes an empty text from one that was not sent.
	HasText bool
}

// Event is one piece of the answer, in order.
type Event struct {
	// Seq counts from 1 over the whole answer.
	Seq    int
	Text   string
	Finish string
	// Attempt, Endpoint and Incarnation go into the resume token.
	Attempt     id.Request
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
	// PromptTokens is the engine's count of the prompt's tokens.
	PromptTokens int
}

// Sink receives the answer. Deliver blocks while the caller is slow and returns an
// error if the caller is gone.
type Sink interface {
	Deliver(ctx context.Context, e Event) error
}

// Pairer gets grants from the pool's owner and reports their progress.
type Pairer interface {
	Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error)
	// Bind returns the decode endpoint of a grant, waiting for it where the
	// grant is provisional.
	Bind(ctx context.Context, g sched.Grant) id.Endpoint
	Resume(w sched.Want, g sched.Grant)
	Progress(p sched.Progress)
}

// TokenStream is an answer that an engine generates.
type TokenStream interface {
	// Next returns the next event as it arrives. Its error is a *verdict.Error.
	Next() (wire.TokenEvent, error)
	// Close aborts the stream immediately.
	Close() error
	// Incarnation returns the incarnation of the engine that generates the answer.
	Incarnation() id.Incarnation
}

// Engines calls the model engines.
type Engines interface {
	Prefill(ctx context.Context, e *live.Endpoint, r *wire.PrefillRequest) (*wire.PrefillResponse, error)
	Decode(ctx context.Context, e *live.Endpoint, r *wire.DecodeRequest) (TokenStream, error)
	Resume(ctx context.Context, e *live.Endpoint, attempt id.Request, after int, owner id.Process) (TokenStream, error)
}

// Canceller repeats a cancel until the endpoint has dropped the request, however long
// that takes.
type Canceller interface {
	// Cancel cancels the request at the endpoint. done is called once the endpoint
	// has confirmed or has lost its state; it may be nil.
	Cancel(e *live.Endpoint, attempt id.Request, done func())
	// ReleaseKV frees an exported KV cache that will not be imported.
	ReleaseKV(e *live.Endpoint, attempt id.Request, kv string)
}

// Retry is the decision of a Retrier.
type Retry struct {
	Allowed bool
	Delay   time.Duration
	Reason  string
}

// Retrier decides about retries within the retry budgets.
type Retrier interface {
	// Decide returns whether another attempt follows attempt number n, which failed
	// with err.
	Decide(team *live.Team, err *verdict.Error, n int, remaining time.Duration) Retry
	// Success records a success, which refills the budgets.
	Success(team *live.Team)
}

// Recorder writes the decision log.
type Recorder interface {
	Decision(kind, id, event string, keyvals ...any)
}

// Catalog resolves endpoints in the configuration in force.
type Catalog interface {
	Endpoint(name id.Endpoint) (*live.Endpoint, bool)
}
