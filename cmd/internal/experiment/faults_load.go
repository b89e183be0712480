package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// The load of the experiments with faults.
const (
	// faultLoadShare is the rate of completions as a share of the capacity.
	faultLoadShare = 0.7
	// faultPatience is how long a caller keeps trying.
	faultPatience = 12 * time.Second
	// faultAttempts lets the patience alone end a caller's tries.
	faultAttempts = 1 << 20
	// faultMaxPrompt keeps prompts short enough to meet the targets when calm.
	faultMaxPrompt = 3000
	// wholeShare is the share of the completions that are not streamed.
	wholeShare = 0.3
	// keyedShare is the share of the plain calls that carry a key.
	keyedShare = 0.7
	// faultTeams share the load.
	faultTeams = 4
	// callersOfTeam is how many callers, each with an entry answer, a team has.
	callersOfTeam = 4
	// hangUpBound is the longest that a caller waits before it hangs up: from
	// the queue to the end of the answer.
	hangUpBound = 900 * time.Millisecond
)

// done is the account of one request of a driver.
type done struct {
	load.Record
	// Whole says that the answer came in one body.
	Whole bool
	// HungUp says that its caller hung up on purpose.
	HungUp bool
}

// good tells whether a completion met both targets.
func (d done) good(spec load.Spec) bool {
	if d.Plain || d.Outcome != load.OutcomeAnswered || d.Fault != load.FaultNone {
		return false
	}
	if d.Whole {
		return d.Total <= spec.FirstTokenTarget+time.Duration(d.OutputTokens)*spec.PaceTarget
	}
	return d.FirstToken <= spec.FirstTokenTarget && d.Pace <= spec.PaceTarget
}

// driver sends a seeded load and keeps the account of every request.
type driver struct {
	fleet   *fleet.Fleet
	spec    load.Spec
	tap     *tap
	prompts *load.Prompts
	callers []*load.Caller
	whole   []*wholeCaller
	// hangUp tells whether the caller of an arrival hangs up; may be nil.
	hangUp func(load.Arrival) bool

	mu      sync.Mutex
	records []done
}

// faultProfile is the profile of a deployment with both kinds of calls.
func faultProfile(p load.Profile) load.Profile {
	p.MaxPromptTokens = faultMaxPrompt
	p.NonIdempotentShare = keyedShare
	return p
}

// newDriver returns a driver of a load at a share of a deployment's capacity.
func newDriver(env Env, d Deployment, f *fleet.Fleet, teams []load.Team, share float64, duration time.Duration) *driver {
	bound := BoundOf(d.Site, d.Profile, d.FirstToken)
	spec := load.Spec{
		Entry: f.CallerAddresses(), Teams: teams, Seed: env.Seed, Duration: duration,
		Rate:             share * bound.Capacity / (1 - d.Profile.PlainShare),
		FirstTokenTarget: d.FirstToken, PaceTarget: d.Pace,
		MaxAttempts: faultAttempts, Patience: faultPatience, Expect: Expected,
	}
	client := load.NewClient()
	x := &driver{fleet: f, spec: spec, tap: newTap(client.Transport), prompts: load.NewPrompts(env.Seed, teams)}
	client.Transport = x.tap
	for i, team := range teams {
		for n := range callersOfTeam {
			seed := uint64(i*callersOfTeam + n)
			x.callers = append(x.callers, load.NewCaller(spec, team, client, rand.New(rand.NewPCG(env.Seed, seed))))
			x.whole = append(x.whole, &wholeCaller{
				client: client, key: team.Key, model: team.Profile.Model,
				rng: rand.New(rand.NewPCG(env.Seed^1, seed)), known: f.CallerAddresses(),
			})
		}
	}
	return x
}

// callerOf is the caller that sends an arrival.
func callerOf(a load.Arrival) int { return a.Team*callersOfTeam + a.Number%callersOfTeam }

// run sends every arrival at its time and waits for all answers.
func (x *driver) run(ctx context.Context) { x.runUntil(ctx, ctx) }

// runUntil is run that sends nothing more once until has ended.
func (x *driver) runUntil(ctx, until context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	started := time.Now()
	for _, a := range load.Schedule(x.spec) {
		if !sleepFor(until, time.Until(started.Add(a.At))) {
			return
		}
		wg.Go(func() { x.send(ctx, a) })
	}
}

// send sends one request and books it.
func (x *driver) send(ctx context.Context, a load.Arrival) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hangs := x.hangUp != nil && x.hangUp(a)
	if hangs {
		timer := time.AfterFunc(hangUpAfter(a), cancel)
		defer timer.Stop()
	}
	rec := x.sendBy(ctx, a)
	rec.HungUp = hangs && ctx.Err() != nil && rec.Outcome != load.OutcomeAnswered
	rec.Team = a.Team
	rec.At = a.At
	x.mu.Lock()
	defer x.mu.Unlock()
	x.records = append(x.records, rec)
}

// hangUpAfter is how long a caller that hangs up waits.
func hangUpAfter(a load.Arrival) time.Duration {
	rng := rand.New(rand.NewPCG(a.TextSeed, 2))
	return time.Duration(rng.Int64N(int64(hangUpBound)))
}

// sendBy sends a plain call, a streamed completion or one with a whole answer.
func (x *driver) sendBy(ctx context.Context, a load.Arrival) done {
	profile := x.spec.Teams[a.Team].Profile
	if a.Plain {
		text := fmt.Sprintf("call %d of team %d, marker %x", a.Number, a.Team, a.TextSeed)
		return done{Record: x.callers[callerOf(a)].Call(ctx, a.Number, text, a.Key)}
	}
	prompt := x.prompts.Prompt(a)
	rng := rand.New(rand.NewPCG(a.TextSeed, 3))
	if rng.Float64() >= wholeShare {
		return done{Record: x.callers[callerOf(a)].Complete(ctx, prompt, profile.OutputTokens)}
	}
	return x.sendWhole(ctx, a, prompt, profile.OutputTokens)
}

// sendWhole sends a completion that is answered with one body.
func (x *driver) sendWhole(ctx context.Context, a load.Arrival, prompt string, tokens int) done {
	ctx, cancel := context.WithTimeout(ctx, x.spec.Patience)
	defer cancel()
	begun := time.Now()
	reply, err := x.whole[callerOf(a)].complete(ctx, prompt, tokens)
	rec := load.Record{Total: time.Since(begun), OutputTokens: tokens, Code: reply.failed.Code}
	switch {
	case err != nil:
		rec.Outcome = load.OutcomeUnreachable
	case reply.status == http.StatusOK:
		rec.Outcome = load.OutcomeAnswered
		rec.Fault = wholeFault(reply.text, Expected(x.spec.Teams[a.Team].Profile.Model, prompt, tokens))
	case reply.failed.Verdict == verdict.NotRun.String():
		rec.Outcome = load.OutcomeRefused
	default:
		rec.Outcome = load.OutcomeFailed
	}
	return done{Record: rec, Whole: true}
}

// wholeFault names what is wrong with a whole answer.
func wholeFault(text, expected string) load.Fault {
	switch {
	case text == expected:
		return load.FaultNone
	case len(text) > len(expected):
		return load.FaultDoubled
	case len(text) < len(expected):
		return load.FaultLost
	default:
		return load.FaultWrong
	}
}
