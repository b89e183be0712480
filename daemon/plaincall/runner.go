package plaincall

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
)

// Runner serves plain calls.
type Runner struct{ Deps }

// New returns a Runner.
func New(d Deps) *Runner { return &Runner{d} }

// state is the state of one call across its attempts.
type state struct {
	call *Call
	// waitStart is when the wait for an endpoint began: the arrival, or a later time
	// if this daemon was delayed.
	waitStart time.Duration
	avoid     []id.Endpoint
	worst     verdict.Verdict
	held      *claim.Claim
}

// Run serves the call until it ends. The verdict of an error covers all attempts.
func (r *Runner) Run(ctx context.Context, call *Call) (*Answer, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, call.Service.Timeout())
	defer cancel()
	waitStart := pairing.WaitStart(call.Arrived, r.Now(), call.Service.Patience())
	s := &state{call: call, waitStart: waitStart, worst: verdict.NotRun}
	for n := 1; ; n++ {
		answer, err := r.attempt(ctx, s, n)
		if err == nil {
			r.Retries.Success(call.Team)
			return answer, nil
		}
		s.worst = verdict.Worse(s.worst, err.Verdict)
		if !r.waitForRetry(ctx, s, err, n) {
			return nil, r.fail(s, err)
		}
	}
}

// waitForRetry reports whether another attempt follows, and waits for the retry delay.
// A call that may have run is never sent again, whatever its method: the caller gets
// this verdict and decides.
func (r *Runner) waitForRetry(ctx context.Context, s *state, err *verdict.Error, n int) bool {
	if ctx.Err() != nil {
		return false
	}
	if err.Verdict != verdict.NotRun {
		return false
	}
	if claimRefused(err) {
		return false
	}
	retry := r.Retries.Decide(s.call.Team, err, n, r.patience(s))
	r.Recorder.Decision("request", string(s.call.ID), "retry",
		"again", retry.Allowed, "attempt", n, "delay", retry.Delay, "why", retry.Reason, "code", err.Code, "err", err.Error())
	if !retry.Allowed {
		return false
	}
	timer := time.NewTimer(retry.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func claimRefused(err *verdict.Error) bool {
	return err.Code == verdict.CodeClaimed || err.Code == verdict.CodeConflict || err.Code == verdict.CodeClaimUnavailable
}

// fail returns the final error of a call. If the call holds a claim, the failure is
// stored as the outcome.
func (r *Runner) fail(s *state, err *verdict.Error) *verdict.Error {
	final := *err
	final.Verdict = s.worst
	if s.held != nil {
		failure := &claim.Failure{Verdict: final.Verdict, Code: final.Code, Message: final.Message}
		r.Claims.Finish(*s.held, claim.Outcome{Failure: failure})
	}
	final.Advise()
	return &final
}

// attempt runs the pipeline once: pair, claim, send.
func (r *Runner) attempt(ctx context.Context, s *state, n int) (*Answer, *verdict.Error) {
	w := r.want(s, n)
	patience := r.patience(s)
	if patience <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "out of time before attempt %d", n)
	}
	grant, err := r.Pairer.Pair(ctx, w, patience)
	if err != nil {
		r.Recorder.Decision("request", string(s.call.ID), "refused", "team", w.Team, "attempt", w.Request, "code", err.Code, "why", err.Message)
		return nil, err
	}
	r.Recorder.Decision("request", string(s.call.ID), "paired", "team", w.Team,
		"attempt", w.Request, "endpoint", grant.Decode, "why", grant.Reason)
	endpoint, ok := r.Catalog.Endpoint(grant.Decode)
	if !ok {
		r.report(w, sched.Progress{Phase: sched.PhaseFailed})
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "endpoint %s is not in this daemon's configuration", grant.Decode)
	}
	stored, err := r.claim(ctx, s)
	if stored != nil || err != nil {
		r.report(w, sched.Progress{Phase: sched.PhaseCancelled})
		return stored, err
	}
	return r.send(ctx, s, w, endpoint)
}

// patience returns how long the call may still wait for an endpoint.
func (r *Runner) patience(s *state) time.Duration {
	return s.call.Service.Patience() - (r.Now() - s.waitStart)
}

func (r *Runner) want(s *state, n int) sched.Want {
	return sched.Want{
		Request:     r.NewID(),
		Team:        s.call.Team.Name,
		Service:     s.call.Service.Name,
		Pool:        s.call.Service.Pool,
		From:        r.Self,
		Age:         r.Now() - s.waitStart,
		Priority:    s.call.Service.Priority,
		Avoid:       s.avoid,
		Domain:      r.Domain,
		Attempt:     n,
		Fingerprint: s.call.Fingerprint,
	}
}

// claim claims a non-idempotent call, only once for all attempts. It returns the stored
// answer if the call has run before.
func (r *Runner) claim(ctx context.Context, s *state) (*Answer, *verdict.Error) {
	if !s.call.NonIdempotent() || s.held != nil {
		return nil, nil
	}
	begin := claim.Begin{
		Team:        s.call.Team.Name,
		Service:     s.call.Service.Name,
		Key:         s.call.Key,
		RequestHash: claim.HashRequest(s.call.Request.Method, s.call.Request.Path, s.call.Request.Body),
		Token:       claim.Token(r.NewID()),
		Owner:       r.Self,
	}
	held, stored, err := r.Claims.Begin(ctx, begin)
	if err != nil {
		return nil, err
	}
	if stored != nil {
		return replayedAnswer(stored), nil
	}
	s.held = held
	return nil, nil
}

func replayedAnswer(a *claim.Answer) *Answer {
	out := &Answer{Replayed: true}
	out.Status = a.Status
	out.Body = a.Body
	if a.ContentType != "" {
		out.Headers = []client.Header{{Name: fasthttp.HeaderContentType, Value: a.ContentType}}
	}
	return out
}

// send sends the call once.
func (r *Runner) send(ctx context.Context, s *state, w sched.Want, e *live.Endpoint) (*Answer, *verdict.Error) {
	r.report(w, sched.Progress{Phase: sched.PhaseDecoding})
	resp, err := r.Endpoints.Call(ctx, e, s.call.Request)
	if err != nil {
		verr := verdict.As(err)
		s.avoid = append(s.avoid, e.Name)
		r.report(w, sched.Failure(e.Name, verr))
		return nil, verr
	}
	r.report(w, sched.Progress{Phase: sched.PhaseDone})
	r.finish(s, resp)
	return &Answer{PlainResponse: resp}, nil
}

// finish stores the answer of a claimed call.
func (r *Runner) finish(s *state, resp client.PlainResponse) {
	if s.held == nil {
		return
	}
	answer := &claim.Answer{Status: resp.Status, ContentType: contentType(resp.Headers), Body: resp.Body}
	r.Claims.Finish(*s.held, claim.Outcome{Answer: answer})
}

func contentType(headers []client.Header) string {
	for _, h := range headers {
		if h.Name == fasthttp.HeaderContentType {
			return h.Value
		}
	}
	return ""
}

func (r *Runner) report(w sched.Want, p sched.Progress) {
	p.Request = w.Request
	r.Pairer.Progress(p)
}
