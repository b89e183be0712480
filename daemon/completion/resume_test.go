package completion

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// lostHeaderEngines accept a decode request, but its response header never arrives.
type lostHeaderEngines struct {
	fakeEngines
	// decodeErr is the error of Decode.
	decodeErr *verdict.Error
	// resumeErr is the error of Resume; if it is nil, Resume returns the stream.
	resumeErr *verdict.Error
	resumed   []id.Request
	decodes   int
}

func (h *lostHeaderEngines) Decode(context.Context, *live.Endpoint, *wire.DecodeRequest) (TokenStream, error) {
	h.decodes++
	return nil, h.decodeErr
}

func (h *lostHeaderEngines) Resume(ctx context.Context, e *live.Endpoint, attempt id.Request, after int, owner id.Process) (TokenStream, error) {
	h.resumed = append(h.resumed, attempt)
	if h.resumeErr != nil {
		return nil, h.resumeErr
	}
	return h.fakeEngines.Resume(ctx, e, attempt, after, owner)
}

// runWithLostHeader serves one job.
func runWithLostHeader(h *lostHeaderEngines) *verdict.Error {
	r := New(h.fakes.deps(h))
	return r.Run(context.Background(), testJob(nil), h.fakes)
}

// TestLostResponseHeaderIsRecoveredByResume: the engine runs the request, but the
// daemon or the engine was delayed beyond the timeout, or the connection broke. If the
// daemon failed the request then, it might have run and could not be sent again.
func TestLostResponseHeaderIsRecoveredByResume(t *testing.T) {
	for _, code := range []verdict.Code{verdict.CodeDeadline, verdict.CodeEndpointFailed} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			f := &fakes{tokens: 3, finish: true}
			h := &lostHeaderEngines{fakeEngines: fakeEngines{f}, decodeErr: verdict.New(verdict.MayHaveRun, code, "no head")}
			is.True(runWithLostHeader(h) == nil)
			is.Equal(h.resumed, []id.Request{"attempt"})
			last := f.progress[len(f.progress)-1]
			is.Equal(last.Phase, sched.PhaseDone)
			is.Equal(last.OutputTokens, 3)
		})
	}
}

// TestFailedResumeKeepsTheFirstError: the daemon tries to resume once and returns the
// first error if the engine does not hold the request. It must not try to resume a
// request that certainly has not run.
func TestFailedResumeKeepsTheFirstError(t *testing.T) {
	is := is.New(t)
	unknown := verdict.New(verdict.MayHaveRun, "unknown_request", "the engine holds no such request")
	h := &lostHeaderEngines{
		fakeEngines: fakeEngines{&fakes{}}, resumeErr: unknown,
		decodeErr: verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no head"),
	}
	err := runWithLostHeader(h)
	is.Equal(err.Code, verdict.CodeDeadline)
	is.Equal(err.Verdict, verdict.MayHaveRun)
	is.Equal(len(h.resumed), 1)

	h = &lostHeaderEngines{fakeEngines: fakeEngines{&fakes{}}, decodeErr: verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")}
	is.Equal(runWithLostHeader(h).Verdict, verdict.NotRun)
	is.Equal(len(h.resumed), 0)
}

// breakingEngines break the first stream of an attempt after breakAfter tokens; a
// resumed stream does not break.
type breakingEngines struct {
	fakeEngines
	breakAfter int
	err        *verdict.Error
	resumes    []int
}

func (b *breakingEngines) Decode(_ context.Context, _ *live.Endpoint, r *wire.DecodeRequest) (TokenStream, error) {
	return &breakingStream{fakeStream: fakeStream{fakes: b.fakes, request: r.Request, at: r.Continue}, breakAfter: b.breakAfter, err: b.err}, nil
}

func (b *breakingEngines) Resume(ctx context.Context, e *live.Endpoint, attempt id.Request, after int, owner id.Process) (TokenStream, error) {
	b.resumes = append(b.resumes, after)
	return b.fakeEngines.Resume(ctx, e, attempt, after, owner)
}

// breakingStream is a stream that returns an error after breakAfter tokens.
type breakingStream struct {
	fakeStream
	breakAfter int
	err        *verdict.Error
}

func (s *breakingStream) Next() (wire.TokenEvent, error) {
	if s.sent == s.breakAfter {
		return wire.TokenEvent{}, s.err
	}
	return s.fakeStream.Next()
}

// TestBrokenConnectionIsResumed: the engine continues to generate after its
// connection broke. A new attempt elsewhere would waste the prefill of this one.
func TestBrokenConnectionIsResumed(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 5, finish: true}
	b := &breakingEngines{fakeEngines: fakeEngines{f}, breakAfter: 2, err: verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "reset")}
	is.True(New(f.deps(b)).Run(context.Background(), testJob(nil), f) == nil)
	is.Equal(b.resumes, []int{2})
	is.Equal(len(f.wants), 1) // no other pair was requested
	is.Equal(f.progress[len(f.progress)-1].Phase, sched.PhaseDone)
}

// TestStalledEngineIsNotResumed: the daemon must not wait a second time for an engine
// that sent nothing within the timeout between two tokens.
func TestStalledEngineIsNotResumed(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 5}
	b := &breakingEngines{fakeEngines: fakeEngines{f}, breakAfter: 2, err: verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "silent")}
	is.True(New(f.deps(b)).Run(context.Background(), testJob(nil), f) != nil)
	is.Equal(len(b.resumes), 0)
}
