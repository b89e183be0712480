package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// callersPerTeam is the number of callers per team; each caches its own entry
// answer.
const callersPerTeam = 4

// Parameters of the HTTP client, of cancellations and of plain calls.
// callerSeedStream keeps the random streams of callers apart from those of teams.
const (
	dialTimeout      = 2 * time.Second
	idleConnections  = 512
	maxCancelDelay   = 40 * time.Millisecond
	plainCallTokens  = 60
	callerSeedStream = 1 << 32
)

// NewClient returns the HTTP client that the callers of a run share.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}}
}

// runner holds the state that the requests of a run share.
type runner struct {
	spec      Spec
	prompts   *Prompts
	callers   [][]*Caller
	collector *collector
	runCtx    context.Context
}

// Run sends the requests of a spec and returns the result. If ctx is cancelled,
// it ends early and returns the result so far.
func Run(ctx context.Context, spec Spec) (*Result, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	spec = spec.withDefaults()
	arrivals := Schedule(spec)
	client := NewClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &runner{spec: spec, prompts: NewPrompts(spec.Seed, spec.Teams), collector: newCollector(spec), runCtx: ctx}
	r.callers = newCallers(spec, client)
	started := time.Now()
	r.sendAll(ctx, started, arrivals)
	if spec.PlainRuns != nil {
		r.collector.checkRuns(spec.PlainRuns())
	}
	return r.collector.result(time.Since(started)), nil
}

// newCallers returns the callers of each team, indexed by team.
func newCallers(spec Spec, client *http.Client) [][]*Caller {
	all := make([][]*Caller, len(spec.Teams))
	for i, team := range spec.Teams {
		for n := range callersPerTeam {
			rng := rand.New(rand.NewPCG(spec.Seed, callerSeedStream+uint64(i*callersPerTeam+n)))
			all[i] = append(all[i], NewCaller(spec, team, client, rng))
		}
	}
	return all
}

// sendAll sends each request at its arrival time, regardless of outstanding
// requests (open loop), and waits for the answers.
func (r *runner) sendAll(ctx context.Context, started time.Time, arrivals []Arrival) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, a := range arrivals {
		if !sleep(ctx, time.Until(started.Add(a.At))) {
			return
		}
		r.collector.addLag(time.Since(started) - a.At)
		wg.Go(func() { r.send(a) })
	}
}

// send sends one request and adds its record to the collector.
func (r *runner) send(a Arrival) {
	team := r.spec.Teams[a.Team]
	caller := r.callers[a.Team][a.Number%callersPerTeam]
	ctx, cancel := context.WithCancel(r.runCtx)
	defer cancel()
	if team.Behaviour == BehaviourCancel {
		timer := time.AfterFunc(cancelDelay(a), cancel)
		defer timer.Stop()
	}
	rec := r.dispatch(ctx, caller, a, team)
	if ctx.Err() != nil && rec.Outcome != OutcomeAnswered {
		rec = cancelled(rec)
	}
	rec.Team = a.Team
	rec.At = a.At
	r.collector.add(rec)
	if r.spec.OnDone != nil {
		r.spec.OnDone()
	}
}

// dispatch sends a completion or a plain call.
func (r *runner) dispatch(ctx context.Context, caller *Caller, a Arrival, team Team) Record {
	if !a.Plain {
		return caller.Complete(ctx, r.prompts.Prompt(a), team.Profile.OutputTokens)
	}
	rng := rand.New(rand.NewPCG(a.TextSeed, uint64(a.Number)))
	return caller.Call(ctx, a.Number, team.Profile.Text.write(rng, plainCallTokens), a.Key)
}

// cancelDelay draws the delay after which a team with BehaviourCancel cancels a
// request.
func cancelDelay(a Arrival) time.Duration {
	rng := rand.New(rand.NewPCG(a.TextSeed, 1))
	return time.Duration(rng.Int64N(int64(maxCancelDelay)))
}

// cancelled returns the record of a request that its caller cancelled. An
// incomplete answer is then no fault, but a doubled or wrong part still is.
func cancelled(rec Record) Record {
	rec.Outcome = OutcomeCancelled
	if rec.Fault == FaultLost {
		rec.Fault = FaultNone
	}
	return rec
}
