package forward

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// crashingOn returns endpoints that crash on requests for the given target.
func crashingOn(target string) *fakeEndpoints {
	return &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		if a.Request.Target == target {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the connection broke")
		}
		return &Reply{Status: 200}, nil
	}}
}

// TestRequestThatCrashesThreeEndpointsIsQuarantined checks that such a request is
// refused under any id, and that other requests are not.
func TestRequestThatCrashesThreeEndpointsIsQuarantined(t *testing.T) {
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

// TestQuarantinedNonIdempotentRequestMayHaveRun checks that the refusal of a
// non-idempotent request has the verdict MayHaveRun: an earlier attempt may have
// run.
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

// TestFinishedRequestIsCleared checks that the evidence against a request is
// cleared when an endpoint finishes it: endpoints also crash for other reasons.
func TestFinishedRequestIsCleared(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{}
	s.answer = func(a *Attempt) (*Reply, *verdict.Error) {
		if len(s.sent)%2 == 1 {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the connection broke")
		}
		return &Reply{Status: 200}, nil
	}
	f, r := newTest(t, s)
	const calls = 5 // within the service's retry limit
	for range calls {
		_, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
	}
	is.Equal(len(s.sent), 2*calls)
}

// TestGenerationsWithoutABodyAreKnownByTheirPrompts checks that streams with another
// prompt are not refused although they come from the same host: without a body, streams
// of one target differ in nothing else.
func TestGenerationsWithoutABodyAreKnownByTheirPrompts(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/again/x")
	f, r := newTest(t, s)
	prompts := []string{"aa:20,bb:80", "aa:20,cc:80", "aa:20,dd:80", "aa:20,ee:80"}
	for _, prompt := range prompts {
		r.Prompt = prompt
		before := len(s.sent)
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Code, verdict.CodeEndpointFailed)
		is.True(len(s.sent) > before)
	}
}

// failFromHosts runs the request once from each of a number of hosts, and returns how often
// it failed.
func failFromHosts(f *Forwarder, r *Request, hosts int) int {
	failed := 0
	for host := range hosts {
		r.Caller = fmt.Sprint("10.0.0.", host)
		if _, err := f.Run(context.Background(), r); err != nil {
			failed++
		}
	}
	return failed
}

// TestAPromptThatCrashesEnginesIsRefusedFromEveryCaller checks the same for a stream
// without a body as for a call without one.
func TestAPromptThatCrashesEnginesIsRefusedFromEveryCaller(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/again/x")
	f, r := newTest(t, s)
	r.Prompt = "aa:20,bb:80"
	is.Equal(failFromHosts(f, r, 3), 3)
	is.Equal(len(s.sent), 3)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeQuarantined)
	r.Prompt = "aa:20,cc:80"
	_, err = f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeEndpointFailed) // not refused
}

// TestACommonCallIsNotRefusedAfterItsEndpointsWereLost guards against a call that all
// callers send alike being refused for an hour because a power failure took the
// endpoints that ran it.
func TestACommonCallIsNotRefusedAfterItsEndpointsWereLost(t *testing.T) {
	is := is.New(t)
	lost := false
	s := &fakeEndpoints{answer: func(*Attempt) (*Reply, *verdict.Error) {
		if lost {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the connection broke")
		}
		return &Reply{Status: 200}, nil
	}}
	f, r := newTest(t, s)
	_, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	lost = true
	for host := range 3 {
		r.Caller = fmt.Sprint("10.0.0.", host)
		_, err = f.Run(context.Background(), r)
		is.Equal(err.Code, verdict.CodeEndpointFailed)
	}
	lost = false
	_, err = f.Run(context.Background(), r)
	is.Equal(err, nil)
}

// TestRequestWithABodyIsKnownByItsContent guards against a request that crashes
// endpoints under ever new fingerprints: it comes again from another host, with the
// parts of its prompt named anew, and the route may have another name and service by
// then.
func TestRequestWithABodyIsKnownByItsContent(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/again/x")
	f, r := newTest(t, s)
	r.Body = []byte("deadly")
	changes := []func(){
		func() { r.Caller = "10.0.0.1" },
		func() { r.Caller = "10.0.0.2" },
		func() { r.Prompt = "aa:20,bb:80" },
		func() { r.Prompt = "aa:20,cc:80" },
		func() { r.ID = "another" },
	}
	for _, change := range changes {
		change()
		_, err := f.Run(context.Background(), r)
		is.True(err != nil)
	}
	is.Equal(len(s.sent), 3)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeQuarantined)
	r.Body = []byte("harmless")
	_, err = f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeEndpointFailed) // not refused
}

// TestACallThatCrashesEndpointsIsRefusedFromEveryCaller guards against a call without a
// body that crashes three endpoints for each host from which it comes again.
func TestACallThatCrashesEndpointsIsRefusedFromEveryCaller(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/again/x")
	f, r := newTest(t, s)
	is.Equal(failFromHosts(f, r, 5), 5)
	is.Equal(len(s.sent), 3)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeQuarantined)
}

// TestBreakOfALivingEndpointIsNoCrash checks that a request whose answers are broken
// off by endpoints that go on is not refused: endpoints spoil answers of any request.
func TestBreakOfALivingEndpointIsNoCrash(t *testing.T) {
	is := is.New(t)
	s := crashingOn("/again/x")
	s.survive = true
	f, r := newTest(t, s)
	for range 5 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Code, verdict.CodeEndpointFailed)
	}
	is.Equal(f.Evidence.Ledger.Len(), 0)
}
