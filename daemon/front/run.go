package front

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/resume"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const (
	// streamBuffer is how many events are buffered for a slow caller before the
	// engine's stream is no longer read.
	streamBuffer = 64
	// slowCallerTimeout is how long a full buffer may block before the request ends.
	slowCallerTimeout = 10 * time.Second
	// tokenTTL is how long a resume token is valid.
	tokenTTL = 10 * time.Minute
)

// item is an event of the answer, or the error that ends it.
type item struct {
	event completion.Event
	err   *verdict.Error
}

// run connects the goroutine that serves a job with the one that writes to its
// caller, by a bounded channel.
type run struct {
	server   *Server
	job      *completion.Job
	items    chan item
	end      func()
	firstAt  time.Duration
	lastAt   time.Duration
	events   int
	textHash resume.TextHasher
}

func newRun(s *Server, job *completion.Job, end func()) *run {
	r := &run{server: s, job: job, items: make(chan item, streamBuffer), end: end}
	if job.Resume != nil {
		r.textHash.Add(job.Resume.Text)
	}
	return r
}

// serve runs the job, sends its error if it fails, and closes the channel.
func (r *run) serve(ctx context.Context) {
	defer close(r.items)
	err := r.server.Completions.Run(ctx, r.job, r)
	if err == nil {
		return
	}
	timer := time.NewTimer(slowCallerTimeout)
	defer timer.Stop()
	select {
	case r.items <- item{err: err}:
	case <-timer.C:
	}
}

// Deliver implements completion.Sink.
func (r *run) Deliver(ctx context.Context, e completion.Event) error {
	select {
	case r.items <- item{event: e}:
		return nil
	default:
	}
	timer := time.NewTimer(slowCallerTimeout)
	defer timer.Stop()
	select {
	case r.items <- item{event: e}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return context.DeadlineExceeded
	}
}

// observe records an event's time and text when it is written to the caller.
func (r *run) observe(e completion.Event) {
	now := r.server.Now()
	if r.events == 0 {
		r.firstAt = now
		r.server.stats.firstToken.Record(now - r.job.Arrived)
	}
	r.lastAt = now
	r.events++
	r.textHash.Add(e.Text)
}

func (r *run) answered() {
	r.server.stats.answered.Add(string(r.job.Team.Name), 1)
	if r.events > 1 {
		r.server.stats.interTokenLatency.Record((r.lastAt - r.firstAt) / time.Duration(r.events-1))
	}
}

func (r *run) failed(err *verdict.Error) {
	if err.Code == verdict.CodeCallerGone {
		r.server.stats.callersGone.Inc()
		return
	}
	r.server.stats.fail(r.job.Team.Name, err.Code)
}

// resumeToken returns a signed token for resuming the answer after event e.
func (r *run) resumeToken(e completion.Event) (string, error) {
	return r.server.Tokens.Sign(resume.Token{
		Team:        r.job.Team.Name,
		Service:     r.job.Service.Name,
		Request:     string(r.job.ID),
		Attempt:     e.Attempt,
		Endpoint:    e.Endpoint,
		Incarnation: e.Incarnation,
		Seq:         e.Seq,
		RequestHash: resume.HashRequest(r.job.Prompt, r.job.MaxTokens),
		TextHash:    r.textHash.Sum(),
		ExpiresUnix: time.Now().Add(tokenTTL).Unix(),
	})
}

// usage counts the tokens up to event e. A terminal event without text is not a
// token.
func usage(e completion.Event) *opapi.Usage {
	tokens := e.Seq
	if e.Text == "" {
		tokens--
	}
	return &opapi.Usage{PromptTokens: e.PromptTokens, CompletionTokens: tokens, TotalTokens: e.PromptTokens + tokens}
}

// completion returns one OpenAI-style completion body.
func (r *run) completion(text string, e completion.Event, withUsage bool) opapi.Completion {
	choice := opapi.Choice{Text: text}
	if e.Finish != "" {
		choice.FinishReason = &e.Finish
	}
	c := opapi.Completion{
		ID:      string(r.job.ID),
		Object:  "text_completion",
		Created: time.Now().Unix(),
		Model:   string(r.job.Service.Name),
		Choices: []opapi.Choice{choice},
	}
	if withUsage {
		c.Usage = usage(e)
	}
	return c
}
