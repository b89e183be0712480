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
	// streamRing is how many events wait for a slow caller before its engine
	// stream is held up.
	streamBuffer = 64
	// slowCallerTimeout ends a request whose caller takes nothing for so long.
	slowCallerTimeout = 10 * time.Second
	// tokenLife is how long a resume token is valid.
	tokenTTL = 10 * time.Minute
)

// item is an event or the error that ends the answer.
type item struct {
	event completion.Event
	err   *verdict.Error
}

// run joins the goroutine that serves a job with the one that writes to its
// caller, by a bounded ring.
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

// serve runs the job and closes the ring behind its last item.
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

// observe measures the answer as the caller gets it.
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

// token signs where the caller stands behind event e.
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

// usage counts tokens up to event e; a terminal event without text is no token.
func usage(e completion.Event) *opapi.Usage {
	tokens := e.Seq
	if e.Text == "" {
		tokens--
	}
	return &opapi.Usage{PromptTokens: e.PromptTokens, CompletionTokens: tokens, TotalTokens: e.PromptTokens + tokens}
}

// completion is one OpenAI-style body.
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
