package experiment

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/standin"
)

// Parameters of the experiment.
const (
	// poisonLoadShare is the rate of the other completions as a share of the
	// capacity.
	poisonLoadShare   = 0.5
	sequentialPoisons = 3
	concurrentPoisons = 3
	// maxCrashesPerPoison is the maximum number of engines that one poison request
	// may crash.
	maxCrashesPerPoison = 3
	// poisonPause is the delay before a caller sends a poison request again, and
	// poisonSends the maximum number of sends.
	poisonPause = 150 * time.Millisecond
	poisonSends = 60
	// poisonRecoveryPause lets the engines recover between two poison requests.
	poisonRecoveryPause = time.Second
	// poisonHorizon bounds the duration of the other load.
	poisonHorizon = 80 * time.Second
)

// PoisonRun is the result of sending one poison request, or several concurrently,
// until their quarantine.
type PoisonRun struct {
	Poisons int   `json:"poisons"`
	Crashes int64 `json:"crashes"`
	Sends   int   `json:"sends"`
	// QuarantinedMS is the time from the first send until all poison requests were
	// quarantined; -1 if one was never quarantined.
	QuarantinedMS int64 `json:"quarantined_ms"`
}

// PoisonFigures are the results of the experiment.
type PoisonFigures struct {
	Anomalies
	Runs []PoisonRun `json:"runs"`
	// WronglyQuarantined counts quarantined fingerprints of other requests, and
	// other requests that were refused as quarantined.
	WronglyQuarantined int `json:"convicted"`
	// Lifted is true if a request ran again after its quarantine was lifted. LiftMS
	// is the time from the start of the label change until then.
	Lifted bool  `json:"lifted"`
	LiftMS int64 `json:"lift_ms"`
	// OthersGood is the share of the other completions that met both targets.
	OthersGood float64        `json:"innocents_good"`
	Ended      map[string]int `json:"ended"`
	series     Series
}

// poisoner sends requests that crash engines.
type poisoner struct {
	fleet  *fleet.Fleet
	client *http.Client
	key    string
	team   id.Team
	model  string
}

// runPoison sends poison requests among other load.
func runPoison(ctx context.Context, env Env) (*Report, error) {
	d := faultDeployment()
	f, attempts, err := faultFleet(ctx, env, d, nil)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	_, teams := d.Teams(faultTeams)
	x := newDriver(env, d, f, teams, poisonLoadShare, poisonHorizon)
	until, stop := context.WithCancel(ctx)
	defer stop()
	var figures PoisonFigures
	var failed error
	var wg sync.WaitGroup
	wg.Go(func() {
		defer stop()
		failed = poisonAll(ctx, env, x, &figures)
	})
	began := time.Now()
	x.runUntil(ctx, until)
	lasted := time.Since(began)
	wg.Wait()
	if failed != nil {
		return nil, failed
	}
	figures.Anomalies = x.anomalies(ctx, attempts)
	figures.Ended = x.codes()
	figures.WronglyQuarantined += x.refusedWith(verdict.CodeQuarantined)
	figures.OthersGood = x.share(window{env.Warmup, lasted})
	x.spec.Duration = lasted
	figures.series = x.series("innocents")
	return poisonReport(env, figures), ctx.Err()
}

// poisonAll sends poison requests one after the other and then several concurrently,
// and lifts the quarantine of the first.
func poisonAll(ctx context.Context, env Env, x *driver, out *PoisonFigures) error {
	p := &poisoner{
		fleet: x.fleet, client: load.NewClient(), key: x.spec.Teams[0].Key,
		team: id.Team(x.spec.Teams[0].Name), model: x.spec.Teams[0].Profile.Model,
	}
	sleepFor(ctx, env.Warmup)
	for i := range sequentialPoisons {
		out.Runs = append(out.Runs, p.run(ctx, []string{poisonPrompt(env.Seed, i)}))
		env.logf("poison number=%d crashes=%d", i+1, out.Runs[i].Crashes)
		sleepFor(ctx, poisonRecoveryPause)
	}
	var prompts []string
	for i := range concurrentPoisons {
		prompts = append(prompts, poisonPrompt(env.Seed, sequentialPoisons+i))
	}
	out.Runs = append(out.Runs, p.run(ctx, prompts))
	wronglyQuarantined, err := p.countWronglyQuarantined(ctx, env.Seed)
	if err != nil {
		return err
	}
	out.WronglyQuarantined = wronglyQuarantined
	return p.lift(ctx, poisonPrompt(env.Seed, 0), out)
}

// poisonPrompt returns the prompt of the poison request with number n.
func poisonPrompt(seed uint64, n int) string {
	filler := strings.Repeat("certificate of quality. ", 20+n)
	return fmt.Sprintf("Nomination %d of run %d. %s%s", n, seed, filler, standin.CrashMarker)
}

// fingerprint returns the fingerprint that the fleet uses for a prompt of the team.
func (p *poisoner) fingerprint(prompt string) string {
	return poison.NewFingerprint(p.team, id.Service(p.model), []byte(prompt)).String()
}

// crashes counts the crashes of all engines.
func (p *poisoner) crashes() int64 {
	var n int64
	for _, e := range p.fleet.Platform().Engines {
		n += e.Counters().Crashes
	}
	return n
}

// run sends prompts concurrently, each repeatedly, until all are quarantined or
// poisonSends is reached.
func (p *poisoner) run(ctx context.Context, prompts []string) PoisonRun {
	before := p.crashes()
	began := time.Now()
	sends := make([]int, len(prompts))
	quarantined := make([]bool, len(prompts))
	var wg sync.WaitGroup
	for i, prompt := range prompts {
		wg.Go(func() { sends[i], quarantined[i] = p.repeat(ctx, prompt, i) })
	}
	wg.Wait()
	out := PoisonRun{Poisons: len(prompts), Crashes: p.crashes() - before, QuarantinedMS: time.Since(began).Milliseconds()}
	for i := range prompts {
		out.Sends += sends[i]
		if !quarantined[i] {
			out.QuarantinedMS = notRecovered
		}
	}
	return out
}

// repeat sends a prompt as a new request through each daemon in turn until it is
// quarantined. It returns the number of sends and whether there was a quarantine.
func (p *poisoner) repeat(ctx context.Context, prompt string, first int) (int, bool) {
	for n := range poisonSends {
		reply, err := p.send(ctx, prompt, first+n)
		if err == nil && reply.failed.Code == verdict.CodeQuarantined {
			return n + 1, true
		}
		if !sleepFor(ctx, poisonPause) {
			break
		}
	}
	return poisonSends, false
}

// send sends a prompt once through one daemon.
func (p *poisoner) send(ctx context.Context, prompt string, daemon int) (completionReply, error) {
	addresses := p.fleet.CallerAddresses()
	body := opapi.CompletionRequest{Model: p.model, Prompt: prompt, MaxTokens: 4}
	return postCompletion(ctx, p.client, addresses[daemon%len(addresses)], p.key, body)
}

// countWronglyQuarantined counts the quarantined fingerprints that belong to no
// poison request.
func (p *poisoner) countWronglyQuarantined(ctx context.Context, seed uint64) (int, error) {
	known := map[string]bool{}
	for i := range sequentialPoisons + concurrentPoisons {
		known[p.fingerprint(poisonPrompt(seed, i))] = true
	}
	client, err := p.fleet.Operator()
	if err != nil {
		return 0, err
	}
	list, err := client.Quarantine(ctx)
	if err != nil {
		return 0, err
	}
	others := 0
	for _, e := range list.Entries {
		if !known[e.Fingerprint] {
			others++
		}
	}
	return others, nil
}

// lift lifts the quarantine of a poison request by a label and sends the request
// until it runs again. Then it removes the label.
func (p *poisoner) lift(ctx context.Context, prompt string, out *PoisonFigures) error {
	before := p.crashes()
	began := time.Now()
	labels := live.Labels{live.LabelLiftQuarantine: p.fingerprint(prompt)}
	if _, err := p.fleet.Label(ctx, live.KindService, p.model, labels); err != nil {
		return err
	}
	for n := range poisonSends {
		reply, err := p.send(ctx, prompt, n)
		if err == nil && reply.failed.Code != verdict.CodeQuarantined && p.crashes() > before {
			out.Lifted = true
			out.LiftMS = time.Since(began).Milliseconds()
			break
		}
		if !sleepFor(ctx, poisonPause) {
			break
		}
	}
	_, err := p.fleet.Label(ctx, live.KindService, p.model, live.Labels{live.LabelLiftQuarantine: ""})
	return err
}

// refusedWith counts the requests that were not answered and ended with an error
// code.
func (x *driver) refusedWith(code verdict.Code) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, r := range x.records {
		if r.Code == code && r.Outcome != load.OutcomeAnswered {
			n++
		}
	}
	return n
}

// poisonReport returns the report of the figures.
func poisonReport(env Env, f PoisonFigures) *Report {
	r := &Report{Experiment: "poison", Seed: env.Seed, Data: f}
	fig := Figure{Name: "poison-crashes", Title: "Engines crashed by each run of poison requests",
		XLabel: "run", YLabel: "engines crashed", Series: []Series{{Name: "crashes"}}}
	for i, run := range f.Runs {
		r.addLine("run=%d poisons=%d crashes=%d per_poison=%.1f sends=%d quarantined_ms=%d",
			i+1, run.Poisons, run.Crashes, float64(run.Crashes)/float64(run.Poisons), run.Sends, run.QuarantinedMS)
		if run.Crashes > int64(maxCrashesPerPoison*run.Poisons) || run.QuarantinedMS == notRecovered {
			r.addFault("run %d: %d poisons crashed %d engines, quarantined_ms=%d", i+1, run.Poisons, run.Crashes, run.QuarantinedMS)
		}
		fig.Series[0].X = append(fig.Series[0].X, float64(i+1))
		fig.Series[0].Y = append(fig.Series[0].Y, float64(run.Crashes))
	}
	r.addLine("innocents convicted=%d good=%.1f%% lost=%d doubled=%d ran_twice=%d orphans=%d not_run_but_ran=%d wrong=%d violations=%d",
		f.WronglyQuarantined, 100*f.OthersGood, f.Lost, f.Doubled, f.RanTwice, f.Orphans, f.NotRunButRan, f.Wrong, f.Violations)
	r.addLine("lift=label lifted=%t lift_ms=%d", f.Lifted, f.LiftMS)
	if f.WronglyQuarantined > 0 {
		r.addFault("innocents convicted=%d", f.WronglyQuarantined)
	}
	if !f.Lifted {
		r.addFault("the label did not lift the quarantine")
	}
	r.addAnomalies("innocents", f.Anomalies)
	r.Figures = []Figure{fig, {Name: "poison-goodput", Title: "Goodput of the other requests",
		XLabel: "time, seconds", YLabel: "goodput, completions a second", Series: []Series{f.series}}}
	return r
}
