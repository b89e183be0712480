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

// headless engines take a decode order whose answer's head never comes.
type lostHeaderEngines struct {
	fakeEngines
	// decode is how the order ended.
	decodeErr *verdict.Error
	// resume is how a resume ends; nil for the answer.
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

// runHeadless serves one job.
func runWithLostHeader(h *lostHeaderEngines) *verdict.Error {
	r := New(h.fakes.deps(h))
	return r.Run(context.Background(), testJob(nil), h.fakes)
}

// TestAnAnswerWhoseHeadDidNotComeIsTakenUp: the engine runs the request, and the
// daemon or the engine was held up past the time limit, or the connection broke.
// Given up, the request may have run, so that nobody may send it again.
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

// TestWhatIsNotHeldIsNotTakenUp: one question is asked, and the failure stays
// what it was; what has certainly not run is not asked for.
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

// brokenOnce engines break the first stream of an attempt behind some tokens;
// what they hold can be followed to its end.
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

// breaking is a stream that ends with an error behind some tokens.
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

// TestAnAnswerWhoseConnectionBreaksIsFollowed: the engine writes on behind a
// broken connection. Read again elsewhere, the prompt would have been read in
// vain here.
func TestBrokenConnectionIsResumed(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 5, finish: true}
	b := &breakingEngines{fakeEngines: fakeEngines{f}, breakAfter: 2, err: verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "reset")}
	is.True(New(f.deps(b)).Run(context.Background(), testJob(nil), f) == nil)
	is.Equal(b.resumes, []int{2})
	is.Equal(len(f.wants), 1) // no other pair was asked for
	is.Equal(f.progress[len(f.progress)-1].Phase, sched.PhaseDone)
}

// TestAnEngineThatStallsIsLeft: one that sends nothing for the time between two
// tokens is not waited for once more.
func TestStalledEngineIsNotResumed(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 5}
	b := &breakingEngines{fakeEngines: fakeEngines{f}, breakAfter: 2, err: verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "silent")}
	is.True(New(f.deps(b)).Run(context.Background(), testJob(nil), f) != nil)
	is.Equal(len(b.resumes), 0)
}
