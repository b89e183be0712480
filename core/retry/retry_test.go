package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

func failure(v verdict.Verdict, idempotent bool) Failure {
	return Failure{
		Team: "t", Err: verdict.New(v, verdict.CodeEndpointFailed, "failed"), Attempt: 1,
		Remaining: time.Second, Cost: 100 * time.Millisecond, Idempotent: idempotent,
	}
}

func newRetrier(cfg Config) *Retrier { return New(0, cfg, rand.New(rand.NewPCG(1, 2))) }

func TestDecide(t *testing.T) {
	overloaded := failure(verdict.NotRun, true)
	overloaded.Err.Code = verdict.CodeOverloaded
	late := failure(verdict.NotRun, true)
	late.Cost = time.Second
	asked := failure(verdict.NotRun, true)
	asked.Err.RetryAfter = time.Second
	last := failure(verdict.NotRun, true)
	last.Attempt = DefaultMaxAttempts
	cases := []struct {
		name    string
		failure Failure
		want    Reason
	}{
		{"not run", failure(verdict.NotRun, false), ReasonAllowed},
		{"idempotent", failure(verdict.MayHaveRun, true), ReasonAllowed},
		{"may have run", failure(verdict.MayHaveRun, false), ReasonMayHaveRun},
		{"no verdict", failure(0, false), ReasonMayHaveRun},
		{"ran", failure(verdict.Ran, true), ReasonNotRetryable},
		{"overload", overloaded, ReasonNotRetryable},
		{"too late", late, ReasonTime},
		{"retry after", asked, ReasonTime},
		{"attempts", last, ReasonAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newRetrier(Config{}).Decide(0, c.failure)
			is.Equal(d.Reason, c.want)
			is.Equal(d.Retry, c.want == ReasonAllowed)
		})
	}
}

// TestOutageDoesNotMultiplyLoad checks that the retries stay within the floor when
// all requests fail for a minute at 100 requests per second.
func TestOutageDoesNotMultiplyLoad(t *testing.T) {
	is := is.New(t)
	r := newRetrier(Config{})
	retries := 0
	for i := range 6000 {
		if r.Decide(time.Duration(i)*10*time.Millisecond, failure(verdict.NotRun, true)).Retry {
			retries++
		}
	}
	limit := int(DefaultTeamFloor * (initialSeconds + 60))
	is.True(retries > limit*9/10)
	is.True(retries <= limit)
}

// TestAProcessThatStartsAgainDoesNotMultiplyRetries guards against a process that begins
// with a full budget each time it starts: one that starts every 2 s in an outage of a
// minute may send one and a half times the floor.
func TestAProcessThatStartsAgainDoesNotMultiplyRetries(t *testing.T) {
	is := is.New(t)
	const outage, life = time.Minute, 2 * time.Second
	retries := 0
	for start := time.Duration(0); start < outage; start += life {
		r := New(start, Config{}, rand.New(rand.NewPCG(1, 2)))
		for at := start; at < start+life; at += 10 * time.Millisecond {
			if r.Decide(at, failure(verdict.NotRun, true)).Retry {
				retries++
			}
		}
	}
	t.Logf("%d retries", retries)
	is.True(float64(retries) <= 1.5*DefaultTeamFloor*outage.Seconds())
}

func TestTeamsDoNotShareABudget(t *testing.T) {
	is := is.New(t)
	r := newRetrier(Config{})
	r.SetTeamFloor(0, "small", 0.1)
	small := failure(verdict.NotRun, true)
	small.Team = "small"
	is.True(r.Decide(0, small).Retry)
	is.Equal(r.Decide(0, small).Reason, ReasonTeamBudget)
	is.True(r.Decide(0, failure(verdict.NotRun, true)).Retry)
	for range 10 {
		r.Success(0, "small")
	}
	own, _ := r.Remaining(0, "small")
	is.True(own > 0.99 && own < 1.01)
}

func TestGlobalBudget(t *testing.T) {
	is := is.New(t)
	r := newRetrier(Config{GlobalFloor: 0.2})
	reasons := map[Reason]int{}
	const saved = time.Duration(DefaultBurst) * time.Second // as much as the budget holds
	for _, team := range []id.Team{"a", "b", "c"} {
		f := failure(verdict.NotRun, true)
		f.Team = team
		reasons[r.Decide(saved, f).Reason]++
	}
	is.Equal(reasons, map[Reason]int{ReasonAllowed: 2, ReasonGlobalBudget: 1})
}

func TestJitterSpreadsAndGrows(t *testing.T) {
	is := is.New(t)
	r := newRetrier(Config{GlobalFloor: 1e6, TeamFloor: 1e6, MaxAttempts: 9})
	var sum [4]time.Duration
	for attempt := 1; attempt <= 3; attempt++ {
		f := failure(verdict.NotRun, true)
		f.Attempt = attempt
		for range 1000 {
			d := r.Decide(0, f)
			is.True(d.After < DefaultBackoffBase<<(attempt-1))
			sum[attempt] += d.After
		}
	}
	is.True(sum[2] > sum[1]*3/2)
	is.True(sum[3] > sum[2]*3/2)
}
