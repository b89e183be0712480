package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

func failWith(v verdict.Verdict, code verdict.Code) func(*Attempt) (*Reply, *verdict.Error) {
	return func(*Attempt) (*Reply, *verdict.Error) { return nil, verdict.New(v, code, "it failed") }
}

// TestRetriesStayWithinTheServiceLimit checks the retry limit of a service whose
// slack two daemons share. Attempts that endpoints refuse count too.
func TestRetriesStayWithinTheServiceLimit(t *testing.T) {
	for name, code := range map[string]verdict.Code{"connection broken": verdict.CodeEndpointFailed, "refused": verdict.CodeOverloaded} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := verdict.MayHaveRun
			if code == verdict.CodeOverloaded {
				v = verdict.NotRun
			}
			s := &fakeEndpoints{answer: failWith(v, code)}
			f, r := newTest(t, s)
			const requests = 100
			for n := range requests {
				// A request that crashes endpoints repeatedly would be quarantined.
				r.Target = fmt.Sprintf("/again/%d", n)
				_, err := f.Run(context.Background(), r)
				is.True(err != nil)
				is.Equal(err.Verdict, v)
			}
			repeats := len(s.sent) - requests
			is.True(repeats > 0 && repeats <= 5+requests/5)
		})
	}
}

// TestUnreachableEndpointConsumesNoRetry checks that an attempt that reached no
// endpoint doesn't count against the retry limit.
func TestUnreachableEndpointConsumesNoRetry(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: failWith(verdict.NotRun, verdict.CodeUnavailable)}
	f, r := newTest(t, s)
	for range 100 {
		_, err := f.Run(context.Background(), r)
		is.Equal(err.Verdict, verdict.NotRun)
	}
	is.Equal(len(s.sent), 100*maxRefusals)
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed)}
	f, r := newTest(t, s)
	r.Path = "/once/x"
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.MayHaveRun)
	is.Equal(len(s.sent), 1)
	is.True(s.sent[0].AtMostOnce)
}

// TestWeakestVerdictIsReturned checks that the error of an attempt that may have
// run takes precedence over that of a later one that has certainly not.
func TestWeakestVerdictIsReturned(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{}
	s.answer = func(a *Attempt) (*Reply, *verdict.Error) {
		if len(s.sent) == 1 {
			return failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed)(a)
		}
		return failWith(verdict.NotRun, verdict.CodeOverloaded)(a)
	}
	f, r := newTest(t, s)
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Verdict, verdict.MayHaveRun)
}

func TestRepeatableAttemptLeavesTimeForRetry(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: func(*Attempt) (*Reply, *verdict.Error) { return &Reply{Status: 200}, nil }}
	f, r := newTest(t, s)
	_, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	r.Path = "/once/x"
	_, err = f.Run(context.Background(), r)
	is.Equal(err, nil)
	is.Equal(s.sent[0].Until, time.Hour+400*time.Millisecond)
	is.Equal(s.sent[1].Until, time.Hour+time.Second)
	is.Equal(s.sent[0].Left, time.Second)
}

func TestUnknownRouteIsUnavailableWithoutCurrentConfig(t *testing.T) {
	is := is.New(t)
	f, r := newTest(t, &fakeEndpoints{})
	f.Deps.View = func() *View { return &View{} }
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeUnavailable)
	f, r = newTest(t, &fakeEndpoints{})
	r.Path = "/nowhere/"
	_, err = f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeUnknownService)
	f.Deps.Stale = func() bool { return true }
	_, err = f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeUnavailable) // the route may exist by now
}
