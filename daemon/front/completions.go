package front

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/resume"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/httpjson"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const (
	// defaultMaxTokens applies if a request sets no max_tokens, as in OpenAI's API.
	defaultMaxTokens = 16
	// maxMaxTokens is the largest max_tokens that a request may set.
	maxMaxTokens = 8192
)

// completions serves POST /v1/completions.
func (s *Server) completions(ctx *fasthttp.RequestCtx) {
	arrived := s.Now()
	job, body, err := s.classify(ctx)
	if err != nil {
		s.reject(ctx, err)
		return
	}
	job.Arrived = arrived
	endCount := s.stats.begin(job.Team.Name)
	callerCtx, endWatch := s.Watcher.Watch(s.baseCtx, ctx.Conn())
	run := newRun(s, job, func() {
		endWatch()
		endCount()
	})
	ctx.Response.Header.Set(opapi.HeaderRequest, string(job.ID))
	if body.Stream {
		s.serveStream(ctx, callerCtx, run)
		return
	}
	s.serveWhole(ctx, callerCtx, run)
}

// classify authenticates the request and builds the job from its body.
func (s *Server) classify(ctx *fasthttp.RequestCtx) (*completion.Job, *opapi.CompletionRequest, *verdict.Error) {
	if !ctx.IsPost() {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%s takes POST", opapi.PathCompletions)
	}
	team, err := s.authenticate(ctx)
	if err != nil {
		return nil, nil, err
	}
	body, err := parseCompletion(ctx.PostBody())
	if err != nil {
		return nil, nil, err
	}
	svc, err := s.service(team, body.Model)
	if err != nil {
		return nil, nil, err
	}
	job := &completion.Job{
		ID:          s.NewID(),
		Team:        team,
		Service:     svc,
		Prompt:      body.Prompt,
		MaxTokens:   body.MaxTokens,
		Fingerprint: poison.NewFingerprint(team.Name, svc.Name, []byte(body.Prompt)).String(),
	}
	if err := s.applyResumeToken(ctx, job, body); err != nil {
		return nil, nil, err
	}
	return job, body, nil
}

func parseCompletion(data []byte) (*opapi.CompletionRequest, *verdict.Error) {
	body := &opapi.CompletionRequest{MaxTokens: defaultMaxTokens}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(body); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"the body is no JSON completion request: %v (at byte %d)", err, decoder.InputOffset())
	}
	switch {
	case body.Model == "":
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the field model is missing")
	case body.Prompt == "":
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the field prompt is missing or empty")
	case body.MaxTokens < 1 || body.MaxTokens > maxMaxTokens:
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"the field max_tokens is %d, not between 1 and %d", body.MaxTokens, maxMaxTokens)
	}
	return body, nil
}

// applyResumeToken verifies the resume token in the Last-Event-ID header, if there
// is one, and sets the request id and the resume point of the job from it.
func (s *Server) applyResumeToken(ctx *fasthttp.RequestCtx, job *completion.Job, body *opapi.CompletionRequest) *verdict.Error {
	header := string(ctx.Request.Header.Peek(opapi.HeaderLastEventID))
	if header == "" {
		return nil
	}
	token, err := s.Tokens.Verify(header, job.Team.Name, time.Now())
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeForbidden, "the header %s holds no valid resume token: %v", opapi.HeaderLastEventID, err)
	}
	if token.RequestHash != resume.HashRequest(job.Prompt, job.MaxTokens) || token.Service != job.Service.Name {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "the resume token belongs to another request body")
	}
	if body.Delivered != "" && token.TextHash != resume.HashText(body.Delivered) {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "the field delivered is not the text that the resume token stands for")
	}
	job.ID = id.Request(token.Request)
	job.Resume = &completion.ResumePoint{
		Attempt:     token.Attempt,
		Endpoint:    token.Endpoint,
		Incarnation: token.Incarnation,
		Delivered:   token.Seq,
		Text:        body.Delivered,
		HasText:     body.Delivered != "",
	}
	return nil
}

// serveWhole answers with one JSON body that contains the whole answer.
func (s *Server) serveWhole(ctx *fasthttp.RequestCtx, callerCtx context.Context, run *run) {
	defer run.end()
	go run.serve(callerCtx)
	text := strings.Builder{}
	if run.job.Resume != nil {
		text.WriteString(run.job.Resume.Text)
	}
	var last completion.Event
	for item := range run.items {
		if item.err != nil {
			run.failed(item.err)
			writeError(ctx, item.err, run.job.ID)
			return
		}
		run.observe(item.event)
		text.WriteString(item.event.Text)
		last = item.event
	}
	run.answered()
	httpjson.Write(ctx, fasthttp.StatusOK, run.completion(text.String(), last, true))
}
