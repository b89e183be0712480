// Package completion serves one model request: it gets a pair of endpoints,
// has the prompt read on one and the answer written on the other, delivers the
// tokens in order and each once, and cleans up whatever an attempt leaves.
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
	// ID is shown to the caller and taken by explain.
	ID      id.Request
	Team    *live.Team
	Service *live.Service
	Prompt  string
	// MaxTokens bounds the answer.
	MaxTokens int
	// Arrived is when the request came, as a duration since the daemon's start.
	Arrived time.Duration
	// Fingerprint identifies team and content.
	Fingerprint string
	// Resume is set when the caller comes back for the rest of an answer.
	Resume *ResumePoint
}

// ResumePoint is where a caller's earlier stream ended.
type ResumePoint struct {
	// Attempt is the engine's name of the request.
	Attempt id.Request
	// Endpoint writes the answer, if it still runs.
	Endpoint id.Endpoint
	// Incarnation of the endpoint when it wrote the last delivered event.
	Incarnation id.Incarnation
	// Delivered is the number of the last event that the caller has.
	Delivered int
	// Text is the answer up to there, if the caller sent it and it was proved.
	Text string
	// HasText tells an empty text from one that was not sent.
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
	// PromptTokens as the engine counted them.
	PromptTokens int
}

// Sink takes the answer. Deliver blocks while the caller is slow and fails
// when the caller is gone.
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

// TokenStream is an answer being written.
type TokenStream interface {
	// Next returns the next event as it arrives. Its error is a *verdict.Error.
	Next() (wire.TokenEvent, error)
	// Close aborts the stream at once.
	Close() error
	// Incarnation of the engine that writes.
	Incarnation() id.Incarnation
}

// Engines meets the model engines.
type Engines interface {
	Prefill(ctx context.Context, e *live.Endpoint, r *wire.PrefillRequest) (*wire.PrefillResponse, error)
	Decode(ctx context.Context, e *live.Endpoint, r *wire.DecodeRequest) (TokenStream, error)
	Resume(ctx context.Context, e *live.Endpoint, attempt id.Request, after int, owner id.Process) (TokenStream, error)
}

// Canceller sees to it that an endpoint drops a request, however long it takes.
type Canceller interface {
	// Cancel ends the request at the endpoint; done is called once the endpoint
	// has confirmed or has lost its state, and may be nil.
	Cancel(e *live.Endpoint, attempt id.Request, done func())
	// ReleaseKV frees an exported KV cache that nobody will import.
	ReleaseKV(e *live.Endpoint, attempt id.Request, kv string)
}

// Retry is the answer of a Retrier.
type Retry struct {
	Again  bool
	Delay  time.Duration
	Reason string
}

// Retrier holds the retry budgets.
type Retrier interface {
	// Decide says whether attempt number n that failed with err is followed by another.
	Decide(team *live.Team, err *verdict.Error, n int, remaining time.Duration) Retry
	// Success feeds the budgets.
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
