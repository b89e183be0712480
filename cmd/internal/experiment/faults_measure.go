package experiment

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
)

const (
	// recoveredShare is the share of the goodput before a fault that counts as
	// recovered.
	recoveredShare = 0.95
	// recoveryWindow is the length of the window in which goodput is measured;
	// recoveryStep is the step by which it moves.
	recoveryWindow = time.Second
	recoveryStep   = 100 * time.Millisecond
	// orphanGrace is how long engines may hold work after the load has ended.
	orphanGrace = 6 * time.Second
	orphanPause = 100 * time.Millisecond
	// notRecovered stands for a recovery time if there was no recovery.
	notRecovered = -1
)

// window is a period of a run, as offsets from its start.
type window struct{ from, to time.Duration }

// goodput counts the completions that arrived in a window and met both targets,
// and all completions that arrived in it. Both exclude completions whose callers
// hung up.
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

// perSecond returns the goodput of a window, in completions per second.
func (x *driver) perSecond(w window) float64 {
	good, _ := x.goodput(w)
	return float64(good) / (w.to - w.from).Seconds()
}

// share returns the share of the completions of a window that met both targets.
func (x *driver) share(w window) float64 {
	good, all := x.goodput(w)
	if all == 0 {
		return 0
	}
	return float64(good) / float64(all)
}

// recoveryTime returns the time in milliseconds, counted from the offset from, until
// the share of good completions is at least bound, both within the next
// recoveryWindow and over the whole time up to end. It returns notRecovered if there
// is no such time.
func (x *driver) recoveryTime(from, end time.Duration, bound float64) int64 {
	for t := from; t+recoveryWindow <= end; t += recoveryStep {
		if x.share(window{t, t + recoveryWindow}) >= bound && x.share(window{t, end}) >= bound {
			return (t - from).Milliseconds()
		}
	}
	return notRecovered
}

// series returns the goodput over the run, for a figure.
func (x *driver) series(name string) Series {
	s := Series{Name: name}
	for t := time.Duration(0); t+recoveryWindow/2 <= x.spec.Duration; t += recoveryWindow / 2 {
		s.X = append(s.X, t.Seconds())
		s.Y = append(s.Y, x.perSecond(window{t, t + recoveryWindow/2}))
	}
	return s
}

// Anomalies counts events that must not occur.
type Anomalies struct {
	Lost         int `json:"lost"`
	Doubled      int `json:"doubled"`
	RanTwice     int `json:"ran_twice"`
	Orphans      int `json:"orphans"`
	NotRunButRan int `json:"not_run_but_ran"`
	Wrong        int `json:"wrong"`
	// Violations is the number of invariant violations that the daemons detected.
	Violations uint64 `json:"violations"`
}

// any reports whether there was an anomaly.
func (w Anomalies) any() bool { return w != Anomalies{} }

// anomalies counts the anomalies of a run. It first waits until the engines hold no
// work, at most orphanGrace.
func (x *driver) anomalies(ctx context.Context, attempts *attemptLog) Anomalies {
	w := Anomalies{Orphans: orphansLeft(ctx, x.fleet), Violations: x.fleet.Violations()}
	runs := x.fleet.PlainRuns()
	for _, n := range runs {
		if n > 1 {
			w.RanTwice++
		}
	}
	for _, key := range x.observer.refusedKeys() {
		if runs[key] > 0 {
			w.NotRunButRan++
		}
	}
	decoded := x.fleet.DecodeRuns()
	for _, request := range x.observer.refusedRequests() {
		if anyDecoded(attempts.attemptsOf(request), decoded) {
			w.NotRunButRan++
		}
	}
	x.countAnswers(&w, runs)
	return w
}

// countAnswers counts the answers that were lost, doubled or wrong.
func (x *driver) countAnswers(w *Anomalies, runs map[string]int) {
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

// lost reports whether an answer began but was not completed, or whether a call
// with an idempotency key was answered but never ran. An answer is not lost if the
// caller hung up, or if its patience ended while the answer was still arriving.
func (d requestRecord) lost(runs map[string]int) bool {
	switch {
	case d.HungUp:
		return false
	case d.Plain:
		return d.Key != "" && d.Outcome == load.OutcomeAnswered && runs[d.Key] == 0
	case d.NonStreaming:
		return d.Fault == load.FaultLost
	default:
		begun := d.OutputTokens > 0 && d.Outcome != load.OutcomeAnswered && d.Outcome != load.OutcomeCancelled
		return begun || d.Fault == load.FaultLost
	}
}

// anyDecoded reports whether one of the attempts was decoded by an engine.
func anyDecoded(attempts []string, decoded map[string]int) bool {
	for _, a := range attempts {
		if decoded[a] > 0 {
			return true
		}
	}
	return false
}

// orphansLeft waits until the engines hold no requests, at most orphanGrace, and
// returns the number that they still hold. Answers kept for a resume don't count.
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

// heldAtEngines counts the unfinished requests that the engines list.
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

// codes counts the requests by outcome and error code, for the data.
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
