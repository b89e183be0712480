package forward

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// backingOff returns endpoints that serve all calls, but for those that refuse them and name
// a backoff.
func backingOff(backoffs map[id.Endpoint]time.Duration) *fakeEndpoints {
	return &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		if d := backoffs[a.Endpoint.Name]; d > 0 {
			a.OnBackoff(EndpointBackoff{For: d})
			return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "it refused")
		}
		a.OnLimit(EndpointLimit{})
		return &Reply{Status: 200}, nil
	}}
}

// stepClock makes the time of a Forwarder the value that it returns.
func stepClock(f *Forwarder) *time.Duration {
	now := f.Now()
	f.Now = func() time.Duration { return now }
	return &now
}

// TestABackoffIsShown checks that an operator sees when an endpoint wants no requests, by
// whose refusal, until when, and when it takes requests again.
func TestABackoffIsShown(t *testing.T) {
	is := is.New(t)
	backoffs := map[id.Endpoint]time.Duration{"a": 3 * time.Second, "b": 3 * time.Second, "c": 3 * time.Second, "d": 3 * time.Second}
	f, r := newTest(t, backingOff(backoffs))
	now := stepClock(f)
	kept := &keptLog{}
	f.Log = kept
	r.Path, r.CallerTimeout = "/once/x", time.Second
	_, err := f.Run(context.Background(), r)
	is.True(err != nil)
	began := kept.with("event=endpoint_backoff ")
	is.True(len(began) > 0)
	until := f.RateLimits.WallClock().Add(3 * time.Second).UTC().Format(time.RFC3339Nano)
	for _, line := range began {
		is.True(strings.Contains(line, "request=r step=call asked=3s until="+until+" began=true"))
	}
	is.Equal(f.backoffs(), float64(len(began)))
	is.Equal(f.stats.backoffs.Value(), int64(len(began)))

	*now += 3 * time.Second
	is.Equal(f.backoffs(), 0.0)
	clear(backoffs)
	const calls = 200 // so many that each endpoint gets some
	for range calls {
		r.Arrived = *now
		_, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
		*now += time.Minute // what the balancer knows of them is forgotten
	}
	is.Equal(len(kept.with("event=endpoint_backoff_ended ")), len(began))
	for _, line := range kept.with("event=endpoint_backoff_ended ") {
		is.True(strings.Contains(line, "refusals=1"))
	}
}

// TestAnUnusableBackoffIsShownAndChangesNothing checks a backoff that can't be used.
func TestAnUnusableBackoffIsShownAndChangesNothing(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		a.OnBackoff(EndpointBackoff{Invalid: "soon"})
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "it refused")
	}}
	f, r := newTest(t, s)
	kept := &keptLog{}
	f.Log = kept
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeOverloaded)
	is.Equal(f.backoffs(), 0.0)
	is.Equal(f.stats.invalidBackoffs.Value(), int64(len(s.sent)))
	is.Equal(len(kept.with("event=endpoint_backoff_invalid endpoint=")), len(s.sent))
}
