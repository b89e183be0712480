package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Outcome is the result of a request as seen by its caller.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered: the end of the answer was received.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused: the system returned an error with the verdict "not run".
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed: the system returned an error for a request that ran or may
	// have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeLost: the request was accepted, but the rest of the answer was not
	// received.
	OutcomeLost Outcome = "lost"
	// OutcomeUnreachable: no address accepted the request.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeCancelled: the caller cancelled the request.
	OutcomeCancelled Outcome = "cancelled"
)

// Record holds the outcome and the latencies of one request.
type Record struct {
	Team    int
	At      time.Duration
	Plain   bool
	Key     string
	Outcome Outcome
	Fault   Fault
	// Code is the code of the last error, empty for none.
	Code verdict.Code
	// Ending is the last error response, nil for none.
	Ending *Ending
	// FirstToken is the time from the arrival to the first output; for a plain
	// call it equals Total.
	FirstToken time.Duration
	// Pace is the mean of Gaps.
	Pace time.Duration
	// Gaps are the times between consecutive outputs.
	Gaps []time.Duration
	// Total is the time from the arrival to the end.
	Total time.Duration
	// Attempts counts all attempts, Resumes those that resumed a stream.
	Attempts int
	Resumes  int
	// PromptTokens is the estimated length of the prompt; OutputTokens counts the
	// outputs received.
	PromptTokens int
	OutputTokens int
}

// Caller sends requests of one team and follows the entry answer.
//
// It uses net/http, not fasthttp: a caller must read a response while it is
// being streamed and cancel it through a context, and net/http's client supports
// both. Requests have no GetBody, so that net/http can't resend a body that it
// has begun to send; only the caller's own retries, which are counted, resend it.
type Caller struct {
	spec   Spec
	team   Team
	client *http.Client
	entry  *entryCache
	rng    *lockedRand
}

// NewCaller returns a caller of a team. The client may be shared by callers.
func NewCaller(spec Spec, team Team, client *http.Client, rng *rand.Rand) *Caller {
	spec = spec.withDefaults()
	shared := newLockedRand(rng)
	return &Caller{
		spec: spec, team: team.withDefaults(), client: client, rng: shared,
		entry: newEntryCache(client, spec.Entry, shared.fork()),
	}
}

// attemptResult is the result of one attempt at one address.
type attemptResult struct {
	// done is set if the request has ended with the record's outcome.
	done bool
	// connFailed is set if the connection failed; the next attempt uses another
	// address.
	connFailed bool
	// delay is the time until the next attempt.
	delay time.Duration
}

// retryPolicy returns the backoff after failed connections.
func retryPolicy() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}

// retryLoop makes attempts until the request has ended, MaxAttempts is reached or
// the context, which is bounded by Timeout, ends.
func (c *Caller) retryLoop(ctx context.Context, rec *Record, try func(ctx context.Context, address string) attemptResult) {
	policy := retryPolicy()
	for c.mayRetry(rec) {
		address, err := c.entry.pick(ctx)
		if err != nil {
			if !sleep(ctx, max(policy.NextBackOff(), entryRetryDelay)) {
				return
			}
			rec.Attempts++
			continue
		}
		rec.Attempts++
		result := try(ctx, address)
		if result.done {
			return
		}
		if result.connFailed {
			c.entry.markFailed(address)
			result.delay = policy.NextBackOff()
		}
		if !sleep(ctx, result.delay) {
			return
		}
	}
}

func (c *Caller) mayRetry(rec *Record) bool {
	return rec.Attempts < c.spec.MaxAttempts || c.team.Behaviour == BehaviourRetry
}

// request builds a POST request with the team's key.
func (c *Caller) request(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client can't resend the body on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.team.Key)
	return req, nil
}

// handleErrorResponse reads an error response and decides whether to retry.
func (c *Caller) handleErrorResponse(resp *http.Response, rec *Record) attemptResult {
	return c.handleError(readError(resp, rec), rec)
}

// handleError records an error and decides whether to retry.
func (c *Caller) handleError(detail opapi.ErrorDetail, rec *Record) attemptResult {
	rec.Code = detail.Code
	rec.Outcome = OutcomeFailed
	if detail.Verdict == verdict.NotRun.String() {
		rec.Outcome = OutcomeRefused
	}
	delay := time.Duration(detail.RetryAfterMS) * time.Millisecond
	switch {
	case c.team.Behaviour == BehaviourRetry:
		return attemptResult{delay: immediateRetryDelay}
	case rec.Outcome == OutcomeRefused && delay > 0:
		// Jitter of up to half the retry delay spreads the callers.
		return attemptResult{delay: delay + c.rng.jitter(delay/2)}
	default:
		return attemptResult{done: true}
	}
}

// immediateRetryDelay is the retry delay of BehaviourRetry, which ignores
// Retry-After. It is long enough that the load generator, which shares the host
// with the measured system, does not dominate the measurement.
const immediateRetryDelay = 50 * time.Millisecond

// readError reads the JSON body of an error response and records it as the
// request's last error. A missing verdict or retry delay is taken from the
// headers.
func readError(resp *http.Response, rec *Record) opapi.ErrorDetail {
	var body opapi.ErrorBody
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxEntryBytes))
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil || body.Error.Verdict == "" {
		body.Error.Verdict = resp.Header.Get(opapi.HeaderVerdict)
	}
	if body.Error.RetryAfterMS == 0 {
		body.Error.RetryAfterMS = retryAfter(resp).Milliseconds()
	}
	rec.Ending = newEnding(resp, body.Error, raw)
	return body.Error
}

// retryAfter parses the Retry-After header, in seconds; 0 if it is missing or
// invalid.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// cancelledByCaller reports whether an error was caused by the caller's own
// context.
func cancelledByCaller(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, context.Canceled)
}
