package completion

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// fakes implements all dependencies of a Runner. Its engine sends a number of tokens
// and then breaks or ends the stream.
type fakes struct {
	// pairErr is the error of Pair.
	pairErr *verdict.Error
	// prefillErr is the error of the prefill engine.
	prefillErr *verdict.Error
	// noEndpoints removes the granted endpoints from the configuration.
	noEndpoints bool
	wants       []sched.Want
	now         time.Duration
	// tokenTime is the time per token.
	tokenTime time.Duration
	// maxRetries bounds the retries of a failed attempt.
	maxRetries int
	// tokens is the number of tokens that each stream sends.
	tokens int
	// finish makes a stream end normally after its tokens; otherwise it breaks.
	finish   bool
	progress []sched.Progress
}

func (f *fakes) Pair(_ context.Context, w sched.Want, _ time.Duration) (sched.Grant, *verdict.Error) {
	f.wants = append(f.wants, w)
	if f.pairErr != nil {
		return sched.Grant{}, f.pairErr
	}
	return sched.Grant{Prefill: "p", Decode: "d"}, nil
}

func (f *fakes) Bind(context.Context, sched.Grant) id.Endpoint { return "d" }
func (f *fakes) Resume(sched.Want, sched.Grant)                {}
func (f *fakes) Progress(p sched.Progress)                     { f.progress = append(f.progress, p) }

func (f *fakes) Prefill(context.Context, *live.Endpoint, *wire.PrefillRequest) (*wire.PrefillResponse, error) {
	if f.prefillErr != nil {
		return nil, f.prefillErr
	}
	return &wire.PrefillResponse{KV: "kv"}, nil
}

func (f *fakes) Decode(_ context.Context, _ *live.Endpoint, r *wire.DecodeRequest) (TokenStream, error) {
	return &fakeStream{fakes: f, request: r.Request, at: r.Continue}, nil
}

// fakeEngines is a separate type, since Engines and Pairer both have a method Resume.
type fakeEngines struct{ *fakes }

func (f fakeEngines) Resume(_ context.Context, _ *live.Endpoint, attempt id.Request, after int, _ id.Process) (TokenStream, error) {
	return &fakeStream{fakes: f.fakes, request: string(attempt), at: after}, nil
}

func (f *fakes) Cancel(_ *live.Endpoint, _ id.Request, done func()) {
	if done != nil {
		done()
	}
}
func (f *fakes) ReleaseKV(*live.Endpoint, id.Request, string) {}

func (f *fakes) Decide(_ *live.Team, _ *verdict.Error, n int, _ time.Duration) Retry {
	return Retry{Allowed: n <= f.maxRetries}
}
func (f *fakes) Success(*live.Team)                      {}
func (f *fakes) Decision(string, string, string, ...any) {}
func (f *fakes) Endpoint(name id.Endpoint) (*live.Endpoint, bool) {
	return &live.Endpoint{Name: name}, !f.noEndpoints
}

func (f *fakes) Deliver(context.Context, Event) error { return nil }

type fakeStream struct {
	*fakes
	request string
	at      int
	sent    int
}

func (s *fakeStream) Next() (wire.TokenEvent, error) {
	s.at++
	s.sent++
	s.now += s.tokenTime
	if s.sent <= s.tokens {
		return wire.TokenEvent{Request: s.request, Seq: s.at, Text: "t "}, nil
	}
	if s.finish {
		return wire.TokenEvent{Request: s.request, Seq: s.at, Finish: "length"}, nil
	}
	return wire.TokenEvent{}, io.ErrUnexpectedEOF
}

func (s *fakeStream) Close() error                { return nil }
func (s *fakeStream) Incarnation() id.Incarnation { return 7 }

// deps returns the dependencies of a Runner with the given engines.
func (f *fakes) deps(engines Engines) Deps {
	return Deps{
		Pairer: f, Engines: engines, Cancels: f, Retries: f, Recorder: f, Catalog: f,
		Now: func() time.Duration { return f.now }, NewID: func() id.Request { return "attempt" },
	}
}

func testJob(resume *ResumePoint) *Job {
	return &Job{ID: "job", Team: &live.Team{}, Service: &live.Service{PatienceMS: 1000, TimeoutMS: 10000}, Prompt: "p", MaxTokens: 8, Resume: resume}
}

func (f *fakes) run(resume *ResumePoint) *verdict.Error {
	return New(f.deps(fakeEngines{f})).Run(context.Background(), testJob(resume), f)
}

// TestBrokenAnswerAdvisesToResume breaks an answer off after its start, and refuses
// the continuation of another one. Both errors must have a retry delay.
func TestBrokenAnswerAdvisesToResume(t *testing.T) {
	is := is.New(t)
	err := (&fakes{tokens: 3}).run(nil)
	is.Equal(err.Verdict, verdict.Ran)
	is.True(err.RetryAfter > 0)

	refused := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
	gone := &ResumePoint{Attempt: "a", Endpoint: "d", Incarnation: 6, Delivered: 3, Text: "t t t ", HasText: true}
	err = (&fakes{pairErr: refused}).run(gone)
	is.Equal(err.Code, verdict.CodeOverloaded)
	is.Equal(err.Verdict, verdict.Ran)
	is.True(err.RetryAfter > 0)
}

// TestUnstartedAnswerAddsNoRetryAfter: without delivered output, the runner must not
// add a retry delay to a refusal of the owner that has none.
func TestUnstartedAnswerAddsNoRetryAfter(t *testing.T) {
	is := is.New(t)
	err := (&fakes{pairErr: verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "none")}).run(nil)
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.RetryAfter, time.Duration(0))
}

// TestTransientErrorsCarryRetryAfter: on overloaded hosts, KV caches expire before
// they are transferred, in all attempts. The request has not run, so the error must
// have a retry delay.
func TestTransientErrorsCarryRetryAfter(t *testing.T) {
	for _, code := range []verdict.Code{verdict.CodeKVGone, verdict.CodeDeadline, verdict.CodeUnavailable} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			err := (&fakes{pairErr: verdict.New(verdict.NotRun, code, "passes")}).run(nil)
			is.Equal(err.Verdict, verdict.NotRun)
			is.Equal(err.RetryAfter, verdict.TransientRetryAfter)
		})
	}
}

// TestEngineRefusalsCarryRetryAfter: refusals of the pool's owner have a retry delay.
// Those of an engine, whose slots or queue are taken by work that the owner does not
// know of, and those of the daemon without a free connection, have none. Without
// advice from the runner, callers failed with "overloaded" (one in 420 runs). The
// same holds for the other transient codes.
func TestEngineRefusalsCarryRetryAfter(t *testing.T) {
	for _, code := range []verdict.Code{
		verdict.CodeOverloaded, verdict.CodeLeaving, verdict.CodeTeamLimit,
		verdict.CodeClaimUnavailable, verdict.CodeEndpointFailed, verdict.CodeSuperseded,
	} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			f := &fakes{prefillErr: verdict.New(verdict.NotRun, code, "not now")}
			err := f.run(nil)
			is.Equal(err.Code, code)
			is.Equal(err.Verdict, verdict.NotRun)
			is.True(err.RetryAfter > 0)
		})
	}
}

// TestUnknownEndpointCarriesRetryAfter: the pool's owner grants an endpoint that is
// missing in this daemon's configuration, since one of them has not received a change
// yet. The error must have a retry delay.
func TestUnknownEndpointCarriesRetryAfter(t *testing.T) {
	is := is.New(t)
	err := (&fakes{noEndpoints: true}).run(nil)
	is.Equal(err.Code, verdict.CodeUnavailable)
	is.Equal(err.Verdict, verdict.NotRun)
	is.True(err.RetryAfter > 0)
}

// TestContinuationHasPriorityOverNewRequests compares the priorities of a new request
// and of a continuation.
func TestContinuationHasPriorityOverNewRequests(t *testing.T) {
	is := is.New(t)
	fresh := &fakes{finish: true}
	is.True(fresh.run(nil) == nil)
	is.Equal(fresh.wants[0].Priority, 0)
	rest := &fakes{finish: true}
	is.True(rest.run(&ResumePoint{Attempt: "a", Endpoint: "d", Incarnation: 6, Delivered: 3, Text: "t t t ", HasText: true}) == nil)
	is.Equal(rest.wants[0].Priority, live.MaxPriority)
}

// TestBrokenAnswerRestartsTheWait breaks an answer off long after its first-token
// target. The request for the rest must not count that time as its age, or the owner
// refuses it as too late.
func TestBrokenAnswerRestartsTheWait(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 3, tokenTime: time.Second, maxRetries: 1}
	is.True(f.run(nil) != nil)
	is.Equal(len(f.wants), 2)
	is.Equal(f.wants[1].Age, time.Duration(0))

	// An answer without delivered output keeps its age.
	f = &fakes{tokens: 0, tokenTime: time.Second / 2, maxRetries: 1}
	is.True(f.run(nil) != nil)
	is.Equal(f.wants[1].Age, time.Second/2)
}

// TestOutputTokensCountOnlyThisAttempt resumes an answer after five tokens. The owner
// must not count them as the engine's output since the resume.
func TestOutputTokensCountOnlyThisAttempt(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 2, finish: true}
	err := f.run(&ResumePoint{Attempt: "a", Endpoint: "d", Incarnation: 7, Delivered: 5, Text: "t t t t t ", HasText: true})
	is.True(err == nil)
	last := f.progress[len(f.progress)-1]
	is.Equal(last.Phase, sched.PhaseDone)
	is.Equal(last.OutputTokens, 2)
}
