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

// Parameters of the load in the experiments with faults.
const (
	// faultLoadShare is the rate of completions as a share of the capacity.
	// Plain calls are sent in addition.
	faultLoadShare = 0.7
	// faultPatience is how long a caller retries a request.
	faultPatience = 12 * time.Second
	// faultAttempts is so high that only faultPatience ends the retries.
	faultAttempts = 1 << 20
	// faultMaxPrompt keeps prompts short enough to meet the targets without
	// faults.
	faultMaxPrompt = 3000
	// nonStreamingShare is the share of the completions that are not streamed.
	nonStreamingShare = 0.3
	// keyedShare is the share of the plain calls with an idempotency key.
	keyedShare = 0.7
	// faultTeams is the number of teams that share the load.
	faultTeams = 4
	// callersOfTeam is the number of callers of a team; each has its own entry
	// answer.
	callersOfTeam = 4
	// hangUpBound is the maximum time after which a caller hangs up. Callers hang
	// up at any stage from the queue to the end of the answer.
	hangUpBound = 900 * time.Millisecond
)

// requestRecord is the result of one request of a driver.
type requestRecord struct {
	load.Record
	// NonStreaming is true if the answer was not streamed.
	NonStreaming bool
	// HungUp is true if the caller hung up on purpose.
	HungUp bool
}

// good reports whether a completion met both targets.
func (d requestRecord) good(spec load.Spec) bool {
	if d.Plain || d.Outcome != load.OutcomeAnswered || d.Fault != load.FaultNone {
		return false
	}
	if d.NonStreaming {
		return d.Total <= spec.FirstTokenTarget+time.Duration(d.OutputTokens)*spec.PaceTarget
	}
	return d.FirstToken <= spec.FirstTokenTarget && d.Pace <= spec.PaceTarget
}

// driver sends a seeded load and records the result of every request.
type driver struct {
	fleet        *fleet.Fleet
	spec         load.Spec
	observer     *observer
	prompts      *load.Prompts
	callers      []*load.Caller
	nonStreaming []*nonStreamingCaller
	// hangUp reports whether the caller of an arrival hangs up; may be nil.
	hangUp func(load.Arrival) bool

	mu      sync.Mutex
	records []requestRecord
}

// faultProfile returns a profile with short prompts, and with plain calls both
// with and without idempotency keys.
func faultProfile(p load.Profile) load.Profile {
	p.MaxPromptTokens = faultMaxPrompt
	p.NonIdempotentShare = keyedShare
	return p
}

// newDriver returns a driver whose completions use a share of a deployment's
// capacity.
func newDriver(env Env, d Deployment, f *fleet.Fleet, teams []load.Team, share float64, duration time.Duration) *driver {
	bound := BoundOf(d.Site, d.Profile, d.FirstToken)
	spec := load.Spec{
		Entry: f.CallerAddresses(), Teams: teams, Seed: env.Seed, Duration: duration,
		Rate:             share * bound.Capacity / (1 - d.Profile.PlainShare),
		FirstTokenTarget: d.FirstToken, PaceTarget: d.Pace,
		MaxAttempts: faultAttempts, Timeout: faultPatience, Expect: Expected,
	}
	client := load.NewClient()
	x := &driver{fleet: f, spec: spec, observer: newObserver(client.Transport), prompts: load.NewPrompts(env.Seed, teams)}
	client.Transport = x.observer
	for i, team := range teams {
		for n := range callersOfTeam {
			seed := uint64(i*callersOfTeam + n)
			x.callers = append(x.callers, load.NewCaller(spec, team, client, rand.New(rand.NewPCG(env.Seed, seed))))
			x.nonStreaming = append(x.nonStreaming, &nonStreamingCaller{
				client: client, key: team.Key, model: team.Profile.Model,
				rng: rand.New(rand.NewPCG(env.Seed^1, seed)), addresses: f.CallerAddresses(),
			})
		}
	}
	return x
}

// callerOf returns the index of the caller that sends an arrival.
func callerOf(a load.Arrival) int { return a.Team*callersOfTeam + a.Number%callersOfTeam }

// run sends every arrival at its scheduled time and waits for all answers.
func (x *driver) run(ctx context.Context) { x.runUntil(ctx, ctx) }

// runUntil is run, but sends no more arrivals once until has ended.
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

// send sends one request and records the result.
func (x *driver) send(ctx context.Context, a load.Arrival) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hangs := x.hangUp != nil && x.hangUp(a)
	if hangs {
		timer := time.AfterFunc(hangUpAfter(a), cancel)
		defer timer.Stop()
	}
	rec := x.sendByKind(ctx, a)
	rec.HungUp = hangs && ctx.Err() != nil && rec.Outcome != load.OutcomeAnswered
	rec.Team = a.Team
	rec.At = a.At
	x.mu.Lock()
	defer x.mu.Unlock()
	x.records = append(x.records, rec)
}

// hangUpAfter returns the time after which the caller of an arrival hangs up.
func hangUpAfter(a load.Arrival) time.Duration {
	rng := rand.New(rand.NewPCG(a.TextSeed, 2))
	return time.Duration(rng.Int64N(int64(hangUpBound)))
}

// sendByKind sends a plain call, a streamed completion or a non-streaming one.
func (x *driver) sendByKind(ctx context.Context, a load.Arrival) requestRecord {
	profile := x.spec.Teams[a.Team].Profile
	if a.Plain {
		text := fmt.Sprintf("call %d of team %d, marker %x", a.Number, a.Team, a.TextSeed)
		return requestRecord{Record: x.callers[callerOf(a)].Call(ctx, a.Number, text, a.Key)}
	}
	prompt := x.prompts.Prompt(a)
	rng := rand.New(rand.NewPCG(a.TextSeed, 3))
	if rng.Float64() >= nonStreamingShare {
		return requestRecord{Record: x.callers[callerOf(a)].Complete(ctx, prompt, profile.OutputTokens)}
	}
	return x.sendNonStreaming(ctx, a, prompt, profile.OutputTokens)
}

// sendNonStreaming sends a completion that is answered in one body.
func (x *driver) sendNonStreaming(ctx context.Context, a load.Arrival, prompt string, tokens int) requestRecord {
	ctx, cancel := context.WithTimeout(ctx, x.spec.Timeout)
	defer cancel()
	begun := time.Now()
	reply, err := x.nonStreaming[callerOf(a)].complete(ctx, prompt, tokens)
	rec := load.Record{Total: time.Since(begun), OutputTokens: tokens, Code: reply.failed.Code}
	switch {
	case err != nil:
		rec.Outcome = load.OutcomeUnreachable
	case reply.status == http.StatusOK:
		rec.Outcome = load.OutcomeAnswered
		rec.Fault = answerFault(reply.text, Expected(x.spec.Teams[a.Team].Profile.Model, prompt, tokens))
	case reply.failed.Verdict == verdict.NotRun.String():
		rec.Outcome = load.OutcomeRefused
	default:
		rec.Outcome = load.OutcomeFailed
	}
	return requestRecord{Record: rec, NonStreaming: true}
}

// answerFault classifies the text of a complete answer.
func answerFault(text, expected string) load.Fault {
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
