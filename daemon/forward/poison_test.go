package forward

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// deadly breaks the endpoints that get the given target.
func crashingOn(target string) *fakeEndpoints {
	return &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		if a.Request.Target == target {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the connection broke")
		}
		return &Reply{Status: 200}, nil
	}}
}

// TestARequestThatBreaksThreeEndpointsIsRefused under any id; others are not.
func TestARequestThatBreaksThreeEndpointsIsRefused(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/again/x")
	f, r := newTest(t, s)
	for range 5 {
		_, err := f.Run(context.Background(), r)
		is.True(err != nil)
		r.ID += "r"
	}
	is.Equal(len(s.sent), 3)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeQuarantined)
	is.Equal(err.Verdict, verdict.NotRun)
	r.Target = "/again/y"
	_, err = f.Run(context.Background(), r)
	is.Equal(err, nil)
}

// TestARefusalOfWhatMayRunOnceDoesNotPromiseThatItHasNot: an earlier sending has.
func TestQuarantinedNonIdempotentRequestMayHaveRun(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/once/x")
	f, r := newTest(t, s)
	r.Path, r.Target = "/once/x", "/once/x"
	for range 4 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Verdict, verdict.MayHaveRun)
	}
	is.Equal(len(s.sent), 3)
}

// TestARequestThatAnEndpointFinishedIsCleared: endpoints break for other reasons.
func TestARequestThatAnEndpointFinishedIsCleared(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{}
	s.answer = func(a *Attempt) (*Reply, *verdict.Error) {
		if len(s.sent)%2 == 1 {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the connection broke")
		}
		return &Reply{Status: 200}, nil
	}
	f, r := newTest(t, s)
	const calls = 5 // within the service's bound on repeats
	for range calls {
		_, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
	}
	is.Equal(len(s.sent), 2*calls)
}

// TestAnotherCallersOrPromptsRequestIsNotRefused: streams of one target differ
// in no more than that.
func TestFingerprintIncludesCallerAndPrompt(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/again/x")
	f, r := newTest(t, s)
	for _, change := range []func(){
		func() { r.Caller = "10.0.0.1" },
		func() { r.Caller = "10.0.0.2" },
		func() { r.Prompt = "aa:20,bb:80" },
		func() { r.Prompt = "aa:20,cc:80" },
	} {
		change()
		before := len(s.sent)
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Code, verdict.CodeEndpointFailed)
		is.True(len(s.sent) > before)
	}
}
