package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the histograms, in microseconds, and their precision.
const (
	histogramLowest  = 1
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// account books the records of a run.
type collector struct {
	spec Spec

	mu           sync.Mutex
	totals       *stats
	teams        []*stats
	keyedRecords []Record
	// endings are the error answers of the first requests that got no other.
	endings []Ending
	lag     *hdrhistogram.Histogram
}

// tally sums up the records of a run or of one team.
type stats struct {
	counts Counts
	ttft   *hdrhistogram.Histogram
	pace   *hdrhistogram.Histogram
	plain  *hdrhistogram.Histogram
	codes  map[string]int
}

func newStats() *stats {
	return &stats{
		ttft:  newHistogram(),
		pace:  newHistogram(),
		plain: newHistogram(),
		codes: map[string]int{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

func newCollector(spec Spec) *collector {
	a := &collector{spec: spec, totals: newStats(), lag: newHistogram()}
	for range spec.Teams {
		a.teams = append(a.teams, newStats())
	}
	return a
}

// addLag books how late an arrival was sent.
func (a *collector) addLag(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	record(a.lag, d)
}

// add books one record. Faults count at any time; the rest after the warm-up.
func (a *collector) add(rec Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if rec.Key != "" {
		a.keyedRecords = append(a.keyedRecords, rec)
	}
	warm := rec.At >= a.spec.Warmup
	if warm && rec.Outcome != OutcomeAnswered && rec.Ending != nil && len(a.endings) < maxEndings {
		a.endings = append(a.endings, *rec.Ending)
	}
	for _, t := range []*stats{a.totals, a.teams[rec.Team]} {
		t.addFault(rec)
		if warm {
			t.add(rec, a.spec)
		}
	}
}

// checkRuns compares the calls with idempotency keys with how often they ran.
func (a *collector) checkRuns(runs map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, rec := range a.keyedRecords {
		rec.Fault = checkRuns(rec, runs[rec.Key])
		a.totals.addFault(rec)
		a.teams[rec.Team].addFault(rec)
	}
}

// addFault counts what must not happen at all.
func (t *stats) addFault(rec Record) {
	switch rec.Fault {
	case FaultDoubled:
		t.counts.Doubled++
	case FaultWrong:
		t.counts.Wrong++
	case FaultLost:
		t.counts.Lost++
	}
}

// add counts a record and its times.
func (t *stats) add(rec Record, spec Spec) {
	t.counts.Requests++
	t.counts.Attempts += rec.Attempts
	t.counts.Resumes += rec.Resumes
	if rec.Plain {
		t.counts.Plain++
	}
	switch rec.Outcome {
	case OutcomeAnswered:
		t.addAnswered(rec, spec)
	case OutcomeRefused:
		t.counts.Refused++
	case OutcomeFailed:
		t.counts.Failed++
	case OutcomeUnreachable:
		t.counts.Unreachable++
	case OutcomeCancelled:
		t.counts.Cancelled++
	}
	if rec.Code != "" && rec.Outcome != OutcomeAnswered {
		t.codes[string(rec.Code)]++
	}
}

func (t *stats) addAnswered(rec Record, spec Spec) {
	t.counts.Answered++
	if rec.Plain {
		record(t.plain, rec.Total)
		t.counts.PlainAnswered++
		return
	}
	t.counts.Completions++
	t.counts.PromptTokens += rec.PromptTokens
	t.counts.OutputTokens += rec.OutputTokens
	record(t.ttft, rec.FirstToken)
	for _, gap := range rec.Gaps {
		record(t.pace, gap)
	}
	if rec.good(spec) {
		t.counts.Good++
	}
}

// good tells whether an answer met both targets: its first output came in
// time and the mean time between the outputs that followed was short enough.
func (r Record) good(spec Spec) bool {
	return r.Fault == FaultNone && r.FirstToken <= spec.FirstTokenTarget && r.Pace <= spec.PaceTarget
}

// record books a time; a time out of range is booked as the bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), histogramLowest), histogramHighest)
	if err := h.RecordValue(us); err != nil {
		panic("load: a value within the histogram's bounds was refused: " + err.Error())
	}
}

// result sums up the account.
func (a *collector) result(elapsed time.Duration) *Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	measured := elapsed - a.spec.Warmup
	if a.spec.Requests <= 0 {
		measured = a.spec.Duration - a.spec.Warmup
	}
	res := &Result{Seed: a.spec.Seed, Rate: a.spec.Rate, Elapsed: elapsed, Measured: measured, Lag: quantiles(a.lag), Endings: a.endings}
	res.Total = a.totals.summary(measured)
	for i, t := range a.teams {
		team := a.spec.Teams[i]
		res.Teams = append(res.Teams, TeamResult{
			Team: team.Name, Behaviour: team.Behaviour, Profile: team.Profile.Name, Summary: t.summary(measured),
		})
	}
	return res
}

// summary turns a tally into figures.
func (t *stats) summary(measured time.Duration) Summary {
	s := Summary{
		Counts: t.counts,
		TTFT:   quantiles(t.ttft),
		Pace:   quantiles(t.pace),
		Plain:  quantiles(t.plain),
		Codes:  t.codes,
	}
	if measured > 0 {
		s.GoodputPerSecond = float64(t.counts.Good) / measured.Seconds()
	}
	if t.counts.completionsSent() > 0 {
		s.GoodShare = float64(t.counts.Good) / float64(t.counts.completionsSent())
	}
	return s
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50MS: ms(50), P95MS: ms(95), P99MS: ms(99), MaxMS: float64(h.Max()) / 1000}
}
