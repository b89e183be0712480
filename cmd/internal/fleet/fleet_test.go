package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/standin"
)

// testProfile returns a profile with short prompts, so that requests are answered
// also when the tests run slowly.
func testProfile() load.Profile {
	p := load.Bunker()
	p.MeanPromptTokens = 200
	p.MaxPromptTokens = 400
	p.OutputTokens = 5
	p.PlainShare = 0.5
	return p
}

// send sends 20 requests with enough attempts and time that a slow run of the tests
// answers them all.
func send(t *testing.T, f *Fleet, seed uint64) *load.Result {
	t.Helper()
	res, err := load.Run(context.Background(), load.Spec{
		Entry: f.CallerAddresses(), Rate: 20, Requests: 20, Seed: seed,
		Teams:       []load.Team{{Name: "agents", Key: "k", Profile: testProfile()}},
		MaxAttempts: 1000, Timeout: time.Minute,
		Expect:    func(_, prompt string, n int) string { return standin.Answer(prompt, n) },
		PlainRuns: f.PlainRuns,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %s codes=%v", seed, res.Line(), res.Total.Codes)
	return res
}

// Requests must not end unanswered around the death of a daemon if their callers
// retry as advised.
func TestFleetAnswersAfterDaemonDeath(t *testing.T) {
	is := is.New(t)
	f, err := Start(context.Background(), Config{
		Sites: []standin.PlatformConfig{standin.Bunker()}, Daemons: 3,
		Teams: []Team{{Name: "agents", Key: "k"}},
	})
	is.NoErr(err)
	defer f.Close()
	res := send(t, f, 1)
	is.Equal(res.Total.Answered, 20)
	is.Equal(res.Faults(), 0)

	f.Kill(0)
	is.Equal(len(f.CallerAddresses()), 2)
	is.True(f.Stop(context.Background(), 0) != nil)
	res = send(t, f, 2)
	is.Equal(res.Total.Answered, 20)
	is.Equal(res.Faults(), 0)

	is.NoErr(f.Replace(0))
	is.True(f.Replace(0) != nil)
	is.Equal(len(f.CallerAddresses()), 3)
	is.NoErr(f.AwaitRevision(context.Background(), 1))
	res = send(t, f, 3)
	is.Equal(res.Total.Answered, 20)
	is.Equal(res.Faults(), 0)
}
