// Package plaincall serves calls to plain services. A call that must not be repeated
// is claimed in the platform's table before it is sent; repeated calls get its stored
// answer.
package plaincall

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/endpoint/client"
)

// Call is one caller's call, authenticated and classified.
type Call struct {
	ID      id.Request
	Team    *live.Team
	Service *live.Service
	Request client.PlainRequest
	// Key is the caller's idempotency key; empty if there is none.
	Key string
	// Arrived is when the call arrived, as a duration since the daemon's start.
	Arrived time.Duration
	// Fingerprint identifies team and content.
	Fingerprint string
}

// NonIdempotent reports whether the call must run at most once.
func (c *Call) NonIdempotent() bool { return c.Key != "" }

// Answer is the answer of the service.
type Answer struct {
	client.PlainResponse
	// Replayed is set if the answer is the stored one of an earlier call.
	Replayed bool
}

// Claims holds the claims of non-idempotent calls.
type Claims interface {
	// Begin claims the call. Exactly one of the results is set: the claim, the stored
	// answer of an earlier run, or an error.
	Begin(ctx context.Context, b claim.Begin) (*claim.Claim, *claim.Answer, *verdict.Error)
	// Finish stores the outcome of the claimed call.
	Finish(c claim.Claim, o claim.Outcome)
}

// Endpoints calls the plain endpoints.
type Endpoints interface {
	Call(ctx context.Context, e *live.Endpoint, r client.PlainRequest) (client.PlainResponse, error)
}

// Deps are the dependencies of a Runner; all are required.
type Deps struct {
	Self      id.Process
	Domain    id.Domain
	Pairer    completion.Pairer
	Endpoints Endpoints
	Claims    Claims
	Retries   completion.Retrier
	Recorder  completion.Recorder
	Catalog   completion.Catalog
	// Now is the time since the daemon's start.
	Now func() time.Duration
	// NewID returns a new id for an attempt.
	NewID func() id.Request
}
