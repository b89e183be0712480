package experiment

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
)

const (
	// backShare of the goodput before the fault counts as back to normal.
	backShare = 0.95
	// backWindow and backStep bound the time over which goodput is taken.
	backWindow = time.Second
	backStep   = 100 * time.Millisecond
	// orphanGrace is how long after the load engines may still hold work.
	orphanGrace = 6 * time.Second
	orphanPause = 100 * time.Millisecond
	// notBack is the time of a goodput that did not come back.
	notBack = -1
)

// window is a time of a run, since its start.
type window struct{ from, to time.Duration }

// goodput is the completions that arrived in a window and met both targets,
// and all that arrived, without those whose callers hung up.
func (x *driver) goodput(w window) (good, all int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.records {
		if r.Plain || r.HungUp || r.At < w.from || r.At >= w.to {
			continue
		}
		all++
		if r.good(x.spec) {
			good++
		}
	}
	return good, all
}

// perSecond is the goodput of a window, in completions a second.
func (x *driver) perSecond(w window) float64 {
	good, _ := x.goodput(w)
	return float64(good) / (w.to - w.from).Seconds()
}

// share is the part of the completions of a window that met both targets.
func (x *driver) share(w window) float64 {
	good, all := x.goodput(w)
	if all == 0 {
		return 0
	}
	return float64(good) / float64(all)
}

// backAfter finds how long after a time the share of good completions is at
// least a bound: in the second that follows, and in all the rest of the run.
// It is notBack if that doesn't come.
func (x *driver) backAfter(from, end time.Duration, bound float64) int64 {
	for t := from; t+backWindow <= end; t += backStep {
		if x.share(window{t, t + backWindow}) >= bound && x.share(window{t, end}) >= bound {
			return (t - from).Milliseconds()
		}
	}
	return notBack
}

// series is the goodput over the run, for a figure.
func (x *driver) series(name string) Series {
	s := Series{Name: name}
	for t := time.Duration(0); t+backWindow/2 <= x.spec.Duration; t += backWindow / 2 {
		s.X = append(s.X, t.Seconds())
		s.Y = append(s.Y, x.perSecond(window{t, t + backWindow/2}))
	}
	return s
}

// Wrongs are the things that must not happen.
type Wrongs struct {
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	RanTwice     int `json:"ran_twice"`
	Orphans      int `json:"orphans"`
	NotRunButRan int `json:"not_run_but_ran"`
	Wrong        int `json:"wrong"`
	// Violations are invariants that the daemons saw broken.
	Violations uint64 `json:"violations"`
}

// any tells whether one of them happened.
func (w Wrongs) any() bool { return w != Wrongs{} }

// wrongs counts what must not have happened in a run. It waits until the
// engines hold nothing, at most orphanGrace.
func (x *driver) wrongs(ctx context.Context, attempts *attemptLog) Wrongs {
	w := Wrongs{Orphans: orphansLeft(ctx, x.fleet), Violations: x.fleet.Violations()}
	runs := x.fleet.PlainRuns()
	for _, n := range runs {
		if n > 1 {
			w.RanTwice++
		}
	}
	for _, key := range x.tap.refusedKeys() {
		if runs[key] > 0 {
			w.NotRunButRan++
		}
	}
	decoded := x.fleet.Decoded()
	for _, request := range x.tap.refusedRequests() {
		if anyOf(attempts.of(request), decoded) {
			w.NotRunButRan++
		}
	}
	x.countAnswers(&w, runs)
	return w
}

// countAnswers counts the answers that were lost, doubled or wrong.
func (x *driver) countAnswers(w *Wrongs, runs map[string]int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, r := range x.records {
		switch {
		case r.Fault == load.FaultDoubled:
			w.Doubled++
		case r.Fault == load.FaultWrong:
			w.Wrong++
		case r.lost(runs):
			w.Lost++
		}
	}
}

// lost tells whether an answer that was begun never came whole, or a keyed
// call was answered that never ran. A caller whose patience ended while the
// answer was still coming has given it up.
func (d done) lost(runs map[string]int) bool {
	switch {
	case d.HungUp:
		return false
	case d.Plain:
		return d.Key != "" && d.Outcome == load.OutcomeAnswered && runs[d.Key] == 0
	case d.Whole:
		return d.Fault == load.FaultLost
	default:
		begun := d.OutputTokens > 0 && d.Outcome != load.OutcomeAnswered && d.Outcome != load.OutcomeCancelled
		return begun || d.Fault == load.FaultLost
	}
}

// anyOf tells whether one of the attempts was run.
func anyOf(attempts []string, decoded map[string]int) bool {
	for _, a := range attempts {
		if decoded[a] > 0 {
			return true
		}
	}
	return false
}

// orphansLeft waits until the engines hold nothing and returns what they
// hold after the grace. Answers that are kept for a resume don't count.
func orphansLeft(ctx context.Context, f *fleet.Fleet) int {
	clients := endpoints.New(nil)
	deadline := time.Now().Add(orphanGrace)
	for {
		held := heldAtEngines(ctx, f, clients)
		if held == 0 || time.Now().After(deadline) || !sleepFor(ctx, orphanPause) {
			return held
		}
	}
}

// stageFinished is the stage of an answer that is kept for a resume.
const stageFinished = "finished"

// heldAtEngines counts the requests that the engines list.
func heldAtEngines(ctx context.Context, f *fleet.Fleet, clients *endpoints.Set) int {
	held := 0
	for _, address := range f.EngineAddresses() {
		list, err := clients.Engine(address).Requests(ctx)
		if err != nil {
			continue
		}
		for _, r := range list.Requests {
			if r.Stage != stageFinished {
				held++
			}
		}
	}
	return held
}

// codes counts how the requests ended, for the data.
func (x *driver) codes() map[string]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]int{}
	for _, r := range x.records {
		name := string(r.Outcome)
		if r.Outcome != load.OutcomeAnswered && r.Code != "" {
			name += " " + string(r.Code)
		}
		out[name]++
	}
	return out
}
