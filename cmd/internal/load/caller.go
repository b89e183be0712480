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

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered: the whole answer came.
	OutcomeAnswered Outcome = "answered"
	// OutcomeRefused: the system said "not run".
	OutcomeRefused Outcome = "refused"
	// OutcomeFailed: an error that may have run, or that ran.
	OutcomeFailed Outcome = "failed"
	// OutcomeLost: accepted, and the rest of the answer never came.
	OutcomeLost Outcome = "lost"
	// OutcomeUnreachable: no address took the request.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeCancelled: the caller hung up on purpose.
	OutcomeCancelled Outcome = "cancelled"
)

// Record is the account of one request.
type Record struct {
	Team    int
	At      time.Duration
	Plain   bool
	Key     string
	Outcome Outcome
	Fault   Fault
	// Code of the error, if there was one.
	Code verdict.Code
	// Ending is the last error answer, if there was one.
	Ending *Ending
	// FirstToken is the time from the arrival to the first output.
	FirstToken time.Duration
	// Pace is the mean time between the outputs that follow.
	Pace time.Duration
	// Gaps are the times between two outputs.
	Gaps []time.Duration
	// Total is the time from the arrival to the end.
	Total time.Duration
	// Attempts sent and Resumes among them.
	Attempts int
	Resumes  int
	// PromptTokens sent, as estimated, and OutputTokens received.
	PromptTokens int
	OutputTokens int
}

// Caller sends requests of one team and follows the entry answer.
//
// It uses net/http, not fasthttp: a caller must read a stream while it comes
// and hang up in its midst by a context, and net/http's client does both.
// Requests are built without GetBody, so that net/http can't repeat one whose
// body it began to send; the caller's own repeats are counted.
type Caller struct {
	spec   Spec
	team   Team
	client *http.Client
	entry  *entryCache
	rng    *lockedRand
}

// NewCaller returns a caller of a team.
func NewCaller(spec Spec, team Team, client *http.Client, rng *rand.Rand) *Caller {
	spec = spec.withDefaults()
	shared := newLockedRand(rng)
	return &Caller{
		spec: spec, team: team.withDefaults(), client: client, rng: shared,
		entry: newEntryCache(client, spec.Entry, shared.fork()),
	}
}

// attempt is what one try at one address came to.
type attemptResult struct {
	// done: the request has ended with the record's outcome.
	done bool
	// broke: the connection failed or broke; go on at another address.
	connFailed bool
	// wait before the next try.
	delay time.Duration
}

// retryPolicy paces a caller's tries after broken connections.
func retryPolicy() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}

// loop makes attempts until the request has ended, the tries are used up or
// the patience is over.
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

// request builds one HTTP request of the team.
func (c *Caller) request(ctx context.Context, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client can't send a body twice behind our back.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.team.Key)
	return req, nil
}

// refused reads an error answer and decides whether the caller tries again.
func (c *Caller) handleErrorResponse(resp *http.Response, rec *Record) attemptResult {
	return c.handleError(readError(resp, rec), rec)
}

// failed books an error and decides whether the caller tries again.
func (c *Caller) handleError(detail opapi.ErrorDetail, rec *Record) attemptResult {
	rec.Code = detail.Code
	rec.Outcome = OutcomeFailed
	if detail.Verdict == verdict.NotRun.String() {
		rec.Outcome = OutcomeRefused
	}
	advised := time.Duration(detail.RetryAfterMS) * time.Millisecond
	switch {
	case c.team.Behaviour == BehaviourRetry:
		return attemptResult{delay: immediateRetryDelay}
	case rec.Outcome == OutcomeRefused && advised > 0:
		// A few callers spread over the advised time and half of it again.
		return attemptResult{delay: advised + c.rng.jitter(advised/2)}
	default:
		return attemptResult{done: true}
	}
}

// retryForeverPause is the pause of a team that retries forever, whatever it
// is advised. It is long enough that the load tool, which shares the host with
// what it measures, does not become what is measured.
const immediateRetryDelay = 50 * time.Millisecond

// readError reads the JSON body of an error and books it as the request's last
// one. What it lacks is taken from the headers.
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

// retryAfter reads the Retry-After header, in seconds.
func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// sleep waits; it reports false if the context ended before.
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

// hungUp tells whether an error came from the caller's own context.
func cancelledByCaller(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, context.Canceled)
}
