package completion

import (
	"context"
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/prefixhash"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/stream"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Deps are the dependencies of a Runner; all are required.
type Deps struct {
	Self     id.Process
	Domain   id.Domain
	Pairer   Pairer
	Engines  Engines
	Cancels  Canceller
	Retries  Retrier
	Recorder Recorder
	Catalog  Catalog
	// Now is the time since the daemon's start.
	Now func() time.Duration
	// NewID returns a new id for an attempt.
	NewID func() id.Request
}

// Runner serves completions.
type Runner struct{ Deps }

// New returns a Runner.
func New(d Deps) *Runner { return &Runner{d} }

// progress is the state of one job across its attempts.
type progress struct {
	job *Job
	// seq puts the tokens of all attempts in order.
	seq *stream.Sequencer
	// worst is the verdict over all attempts so far.
	worst verdict.Verdict
	// avoid lists endpoints that failed this job.
	avoid []id.Endpoint
	// suspect is set once an endpoint failed while it ran the job.
	suspect bool
	// waitStart is when the wait for the current pair of endpoints began: the
	// arrival, or a later time if this daemon was delayed or a partial answer broke
	// off.
	waitStart time.Duration
	sink      Sink
}

// Run serves the job until it ends. A nil error means that the whole answer was
// delivered. The verdict of an error covers all attempts.
func (r *Runner) Run(ctx context.Context, job *Job, sink Sink) *verdict.Error {
	p := &progress{job: job, worst: verdict.NotRun, sink: sink, waitStart: job.Arrived}
	p.seq = newSequencer(job)
	if job.Resume != nil {
		err := r.resumeStream(ctx, p)
		if err == nil {
			return nil
		}
		if !canContinue(job, p, err) {
			return r.fail(ctx, p, err)
		}
		r.restartWait(p)
	}
	return r.attempts(ctx, p)
}

func newSequencer(job *Job) *stream.Sequencer {
	after := 0
	if job.Resume != nil {
		after = job.Resume.Delivered
	}
	return stream.New("", after, stream.DefaultWindow)
}

// text returns the answer so far: the text that the caller sent with its resume
// request and the text delivered since.
func (p *progress) text() string {
	if p.job.Resume == nil {
		return p.seq.Text()
	}
	return p.job.Resume.Text + p.seq.Text()
}

// canContinue reports whether another engine can continue the answer. This requires
// the text of the answer so far.
func canContinue(job *Job, p *progress, err *verdict.Error) bool {
	if err.Code == verdict.CodeCallerGone {
		return false
	}
	return job.Resume.HasText || p.seq.Delivered() == 0
}

func (r *Runner) attempts(ctx context.Context, p *progress) *verdict.Error {
	p.waitStart = pairing.WaitStart(p.waitStart, r.Now(), p.job.Service.Patience())
	for n := 1; ; n++ {
		err := r.attempt(ctx, p, n)
		if err == nil {
			r.Retries.Success(p.job.Team)
			return nil
		}
		p.worst = verdict.Worse(p.worst, err.Verdict)
		if ctx.Err() != nil {
			return r.fail(ctx, p, err)
		}
		r.restartWait(p)
		retry := r.Retries.Decide(p.job.Team, err, n, r.patience(p))
		r.Recorder.Decision("request", string(p.job.ID), "retry",
			"again", retry.Allowed, "attempt", n, "delay", retry.Delay, "why", retry.Reason, "code", err.Code, "err", err.Error())
		if !retry.Allowed {
			return r.fail(ctx, p, err)
		}
		if !sleep(ctx, retry.Delay) {
			return r.fail(ctx, p, err)
		}
	}
}

// restartWait restarts the wait for a pair if output was delivered. The time that
// the answer has taken so far is not a wait for its first token, and the pool's owner
// must not refuse the rest of the answer because of it.
func (r *Runner) restartWait(p *progress) {
	if p.seq.Delivered() > 0 {
		p.waitStart = r.Now()
	}
}

// fail returns the final error of a job.
func (r *Runner) fail(ctx context.Context, p *progress, err *verdict.Error) *verdict.Error {
	v := verdict.Worse(p.worst, err.Verdict)
	if p.seq.Delivered() > 0 {
		v = verdict.Ran
	}
	if cause := context.Cause(ctx); cause != nil {
		return verdict.New(v, verdict.CodeCallerGone, "the caller is gone").WithCause(cause)
	}
	final := *err
	final.Verdict = v
	if p.seq.Delivered() > 0 && final.RetryAfter == 0 && resumable(final.Code) {
		final.RetryAfter = resumeRetryAfter
	}
	final.Advise()
	return &final
}

// resumeRetryAfter is the retry delay that is advised when a partial answer broke off
// and the error has no delay of its own: the caller should resume the answer.
const resumeRetryAfter = 200 * time.Millisecond

// resumable reports whether a later resume may return the rest of an answer.
func resumable(code verdict.Code) bool { return code != verdict.CodeQuarantined }

func (r *Runner) remaining(job *Job) time.Duration {
	return job.Service.Timeout() - (r.Now() - job.Arrived)
}

// patience returns how long the job may still wait for a pair. A continuation has
// delivered output before and may use the whole remaining time.
func (r *Runner) patience(p *progress) time.Duration {
	if p.seq.Delivered() > 0 {
		return r.remaining(p.job)
	}
	return p.job.Service.Patience() - (r.Now() - p.waitStart)
}

// attempt runs the pipeline once: pair, wait, prefill, decode.
func (r *Runner) attempt(ctx context.Context, p *progress, n int) *verdict.Error {
	w := r.want(p, n)
	patience := r.patience(p)
	if patience <= 0 || r.remaining(p.job) <= 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "out of time before attempt %d", n)
	}
	grant, verr := r.Pairer.Pair(ctx, w, patience)
	if verr != nil {
		r.Recorder.Decision("request", string(p.job.ID), "refused", "team", w.Team, "attempt", w.Request, "code", verr.Code, "why", verr.Message)
		return verr
	}
	r.Recorder.Decision("request", string(p.job.ID), "paired", "team", w.Team,
		"attempt", w.Request, "prefill", grant.Prefill, "decode", grant.Decode, "start_in", grant.StartIn, "why", grant.Reason)
	a := &attempt{Runner: r, p: p, want: w, grant: grant}
	return a.run(ctx)
}

func (r *Runner) want(p *progress, n int) sched.Want {
	job := p.job
	prompt := job.Prompt + p.text()
	return sched.Want{
		Request:      r.NewID(),
		Team:         job.Team.Name,
		Service:      job.Service.Name,
		Pool:         job.Service.Pool,
		From:         r.Self,
		Age:          r.Now() - p.waitStart,
		PromptTokens: prefixhash.EstimateTokens(prompt),
		OutputTokens: job.MaxTokens - p.seq.Delivered(),
		Prefix:       prefixhash.Blocks(string(job.Team.Name), prompt),
		Priority:     priority(p),
		Avoid:        p.avoid,
		Domain:       r.Domain,
		Attempt:      n,
		Suspect:      p.suspect,
		Fingerprint:  job.Fingerprint,
		Lifetime:     r.Now() - p.waitStart + r.remaining(job),
	}
}

// priority returns the job's priority. The rest of a partial answer has priority over
// the team's new requests, since its caller waits in the middle of the answer.
func priority(p *progress) int {
	if p.seq.Delivered() > 0 {
		return live.MaxPriority
	}
	return p.job.Service.Priority
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func asVerdict(err error) *verdict.Error {
	if err == nil {
		return nil
	}
	if errors.Is(err, context.Canceled) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "the caller is gone").WithCause(err)
	}
	return verdict.As(err)
}
