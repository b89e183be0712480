package front

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/resume"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
)

const (
	fuzzKey   = "bunker-key"
	fuzzBound = 1 << 10
	// farFuture is the expiry of the token, in seconds since 1970. A constant keeps
	// the token the same in each run.
	farFuture = 1 << 40
)

// fuzzServer returns a Server that can classify requests, with two teams, and its
// keyring.
func fuzzServer(f *testing.F) (*Server, *resume.Keyring) {
	doc := live.Normalize(&live.Document{
		Teams: []live.Team{
			{Name: "bunker", KeyHashes: []string{live.HashKey(fuzzKey)}, Labels: live.Labels{"desk": "orders"}, MaxBodyBytes: fuzzBound},
			{Name: "xelaju", KeyHashes: []string{live.HashKey("xelaju-key")}},
		},
		Pools: []live.Pool{{Name: "p", EndpointSelector: "pool=p"}},
		Services: []live.Service{
			{Name: "summaries", Type: live.ServiceModel, Pool: "p"},
			{Name: "stems", Type: live.ServicePlain, Pool: "p", NonIdempotent: true},
			{Name: "closed", Type: live.ServicePlain, Pool: "p", TeamSelector: "desk=other"},
		},
	})
	index := live.NewIndex(doc)
	ring, err := resume.NewKeyring(resume.Key{ID: 1, Secret: bytes.Repeat([]byte{9}, resume.MinSecretBytes)})
	if err != nil {
		f.Fatal(err)
	}
	s := &Server{stats: newStats(metrics.New("fuzz"))}
	s.Directory = func() *live.Index { return index }
	s.Newest = func() bool { return true }
	s.Log = func(string, ...any) {}
	s.Tokens = ring
	s.NewID = func() id.Request { return "fresh" }
	s.MaxBodyBytes = 1 << 20
	return s, ring
}

// fuzzToken returns a resume token of team bunker for the prompt "long" with 16
// max_tokens.
func fuzzToken(f *testing.F, ring *resume.Keyring) string {
	token, err := ring.Sign(resume.Token{
		Team: "bunker", Service: "summaries", Request: "first", Attempt: "a", Endpoint: "e", Incarnation: 3, Seq: 2,
		RequestHash: resume.HashRequest("long", 16), TextHash: resume.HashText("one two"),
		ExpiresUnix: farFuture,
	})
	if err != nil {
		f.Fatal(err)
	}
	return token
}

// FuzzCompletion: for any body and headers, the request is refused as not run, or
// results in a job within the limits of the caller's team.
func FuzzCompletion(f *testing.F) {
	s, ring := fuzzServer(f)
	token := fuzzToken(f, ring)
	f.Add([]byte(`{"model":"summaries","prompt":"long"}`), bearer+fuzzKey, "")
	f.Add([]byte(`{"model":"summaries","prompt":"long","delivered":"one two","stream":true}`), bearer+fuzzKey, token)
	f.Add([]byte(`{"model":"summaries","prompt":"long"}`), bearer+"xelaju-key", token)
	f.Add([]byte(`{"model":"stems","prompt":"long","max_tokens":-1}`), bearer+fuzzKey, token[1:])
	f.Add([]byte(`{"model":"\u0000","prompt":[`), "Basic x", "\r\nX: y")
	f.Add(bytes.Repeat([]byte(" "), fuzzBound+1), bearer+fuzzKey, "")
	f.Fuzz(func(t *testing.T, body []byte, authorization, last string) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetRequestURI(opapi.PathCompletions)
		ctx.Request.Header.Set(fasthttp.HeaderAuthorization, authorization)
		ctx.Request.Header.Set(opapi.HeaderLastEventID, last)
		ctx.Request.SetBody(body)
		job, _, err := s.classify(ctx)
		if err != nil {
			checkRefusal(t, ctx, s, err)
			return
		}
		checkJob(t, job, body)
		if job.Resume != nil && (last != token || job.Team.Name != "bunker" || job.ID != "first" || job.Prompt != "long" || job.Resume.Delivered != 2) {
			t.Fatalf("%+v was resumed with the token %q", job, last)
		}
	})
}

func checkJob(t *testing.T, job *completion.Job, body []byte) {
	switch {
	case job.Team == nil || job.Service == nil || job.Prompt == "":
		t.Fatalf("incomplete job: %+v", job)
	case job.Team.Name == "bunker" && len(body) > fuzzBound:
		t.Fatalf("a body of %d bytes was accepted", len(body))
	case job.MaxTokens < 1 || job.MaxTokens > maxMaxTokens:
		t.Fatalf("max_tokens of %d was accepted", job.MaxTokens)
	}
}

// checkRefusal writes the error as callers receive it and checks the response.
func checkRefusal(t *testing.T, ctx *fasthttp.RequestCtx, s *Server, err *verdict.Error) {
	if err.Verdict != verdict.NotRun {
		t.Fatalf("refused with a verdict other than not-run: %v", err)
	}
	s.reject(ctx, err)
	var body opapi.ErrorBody
	if jsonErr := json.Unmarshal(ctx.Response.Body(), &body); jsonErr != nil {
		t.Fatalf("unreadable refusal %q: %v", ctx.Response.Body(), jsonErr)
	}
	status := ctx.Response.StatusCode()
	if status < 400 || body.Error.Code != err.Code || string(ctx.Response.Header.Peek(opapi.HeaderVerdict)) != "not-run" {
		t.Fatalf("status %d and body %+v for the error %v", status, body, err)
	}
}

// FuzzPlainCall: for any bytes as a request to a plain service, the call is refused
// as not run, or is for a service that the team may use and has an idempotency key
// if it must run at most once.
func FuzzPlainCall(f *testing.F) {
	s, _ := fuzzServer(f)
	head := "Host: h\r\nAuthorization: " + bearer + fuzzKey + "\r\n"
	f.Add([]byte("GET /services/stems/a%20b?x=1 HTTP/1.1\r\n" + head + "\r\n"))
	f.Add([]byte("POST /services/stems/hold HTTP/1.1\r\n" + head + "Idempotency-Key: k\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("POST /services/stems/hold HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte("PUT /services/closed/../stems/%0d%0aX:y HTTP/1.1\r\n" + head + "\r\n"))
	f.Add([]byte("DELETE /services/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		ctx := &fasthttp.RequestCtx{}
		if ctx.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader(raw)), 1<<16) != nil {
			return
		}
		call, err := s.classifyCall(ctx, string(ctx.Path()))
		if err != nil {
			checkRefusal(t, ctx, s, err)
			return
		}
		checkCall(t, call)
	})
}

func checkCall(t *testing.T, call *plaincall.Call) {
	m := call.Request.Method
	switch {
	case call.Service.Name != "stems" || call.Team == nil:
		t.Fatalf("a call to service %s by team %v", call.Service.Name, call.Team)
	case m != fasthttp.MethodGet && m != fasthttp.MethodHead && !call.NonIdempotent():
		t.Fatalf("a %s call without an idempotency key", m)
	case len(call.Key) > maxKeyBytes || len(call.Request.Body) > fuzzBound:
		t.Fatalf("a key of %d bytes and a body of %d bytes", len(call.Key), len(call.Request.Body))
	case call.Request.Path[0] != '/':
		t.Fatalf("path %q", call.Request.Path)
	}
	for _, h := range call.Request.Headers {
		if bytes.ContainsAny([]byte(h.Value), "\r\n") {
			t.Fatalf("header %q", h)
		}
	}
}
