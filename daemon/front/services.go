package front

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
	"github.com/samphirequay/samphirequay/endpoint/client"
)

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// headerReplayed marks the stored answer of an earlier call with the same key.
	headerReplayed = "Samphirequay-Replayed"
)

// forwardedNames are the request headers that are forwarded to a plain service.
var forwardedNames = []string{
	fasthttp.HeaderContentType,
	fasthttp.HeaderAccept,
	fasthttp.HeaderAcceptLanguage,
	opapi.HeaderIdempotencyKey,
}

// services serves /services/{service}/{path}.
func (s *Server) services(ctx *fasthttp.RequestCtx, path string) {
	arrived := s.Now()
	call, err := s.classifyCall(ctx, path)
	if err != nil {
		s.reject(ctx, err)
		return
	}
	call.Arrived = arrived
	defer s.stats.begin(call.Team.Name)()
	callerCtx, endWatch := s.Watcher.Watch(s.baseCtx, ctx.Conn())
	defer endWatch()
	answer, err := s.PlainCalls.Run(callerCtx, call)
	if err != nil {
		s.stats.fail(call.Team.Name, err.Code)
		writeError(ctx, err, call.ID)
		return
	}
	s.stats.answered.Add(string(call.Team.Name), 1)
	writeAnswer(ctx, call, answer)
}

func writeAnswer(ctx *fasthttp.RequestCtx, call *plaincall.Call, a *plaincall.Answer) {
	ctx.SetStatusCode(a.Status)
	ctx.Response.Header.Set(opapi.HeaderRequest, string(call.ID))
	for _, h := range a.Headers {
		ctx.Response.Header.Set(h.Name, h.Value)
	}
	if a.Replayed {
		ctx.Response.Header.Set(headerReplayed, "true")
	}
	if a.Status >= fasthttp.StatusBadRequest {
		ctx.Response.Header.Set(opapi.HeaderVerdict, errorVerdict(a).String())
	}
	ctx.SetBody(a.Body)
}

// errorVerdict returns the verdict for an error status of the service itself. The
// service did not report that the call did not run, since that would have been a
// *verdict.Error and no answer.
func errorVerdict(a *plaincall.Answer) verdict.Verdict {
	if a.Replayed {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

func (s *Server) classifyCall(ctx *fasthttp.RequestCtx, path string) (*plaincall.Call, *verdict.Error) {
	team, err := s.authenticate(ctx)
	if err != nil {
		return nil, err
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(path, opapi.PathServices), "/")
	svc, err := s.service(team, name)
	if err != nil {
		return nil, err
	}
	if svc.Type != live.ServicePlain {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"%s is a model service: use %s", name, opapi.PathCompletions)
	}
	key, err := idempotencyKey(ctx, svc)
	if err != nil {
		return nil, err
	}
	body := append([]byte(nil), ctx.PostBody()...)
	return &plaincall.Call{
		ID:      s.NewID(),
		Team:    team,
		Service: svc,
		Key:     key,
		Request: client.PlainRequest{
			Method:  string(ctx.Method()),
			Path:    forwardedPath(ctx),
			Headers: forwardedHeaders(ctx),
			Body:    body,
		},
		Fingerprint: poison.NewFingerprint(team.Name, svc.Name, []byte(path), body).String(),
	}, nil
}

// idempotencyKey returns the idempotency key, "" for GET and HEAD. It refuses a
// call without a key to a service that needs one.
func idempotencyKey(ctx *fasthttp.RequestCtx, svc *live.Service) (string, *verdict.Error) {
	key := string(ctx.Request.Header.Peek(opapi.HeaderIdempotencyKey))
	if len(key) > maxKeyBytes {
		return "", verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"the header %s has %d bytes, not at most %d", opapi.HeaderIdempotencyKey, len(key), maxKeyBytes)
	}
	if ctx.IsGet() || ctx.IsHead() {
		return "", nil
	}
	if key == "" && svc.NonIdempotent {
		return "", verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"calls to %s run at most once and need the header %s", svc.Name, opapi.HeaderIdempotencyKey)
	}
	return key, nil
}

// forwardedPath returns the path and query after the service's name, without
// decoding them: a decoded %3F would begin a query and a decoded %2F would add a
// path segment.
func forwardedPath(ctx *fasthttp.RequestCtx) string {
	original := string(ctx.URI().PathOriginal())
	_, rest, _ := strings.Cut(strings.TrimPrefix(original, opapi.PathServices), "/")
	target := "/" + rest
	if query := ctx.URI().QueryString(); len(query) > 0 {
		target += "?" + string(query)
	}
	return target
}

func forwardedHeaders(ctx *fasthttp.RequestCtx) []client.Header {
	var out []client.Header
	for _, name := range forwardedNames {
		value := string(ctx.Request.Header.Peek(name))
		if value != "" {
			out = append(out, client.Header{Name: name, Value: value})
		}
	}
	return out
}
