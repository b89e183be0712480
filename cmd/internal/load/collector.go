package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the histograms in microseconds, and their precision in
// significant digits.
const (
	histogramLowest  = 1
	histogramHighest = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
)

// collector aggregates the records of a run. It is safe for concurrent use.
type collector struct {
	spec Spec

	mu           sync.Mutex
	totals       *stats
	teams        []*stats
	keyedRecords []Record
	// endings are the final error responses of the first maxEndings requests
	// without an answer.
	endings []Ending
	lag     *hdrhistogram.Histogram
}

// stats holds the counts and histograms of a run or of one team.
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
	c := &collector{spec: spec, totals: newStats(), lag: newHistogram()}
	for range spec.Teams {
		c.teams = append(c.teams, newStats())
	}
	return c
}

// addLag records how late an arrival was sent.
func (c *collector) addLag(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record(c.lag, d)
}

// add adds one record. Faults always count; everything else counts only for
// requests that arrive after the warm-up.
func (c *collector) add(rec Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rec.Key != "" {
		c.keyedRecords = append(c.keyedRecords, rec)
	}
	warm := rec.At >= c.spec.Warmup
	if warm && rec.Outcome != OutcomeAnswered && rec.Ending != nil && len(c.endings) < maxEndings {
		c.endings = append(c.endings, *rec.Ending)
	}
	for _, s := range []*stats{c.totals, c.teams[rec.Team]} {
		s.addFault(rec)
		if warm {
			s.add(rec, c.spec)
		}
	}
}

// checkRuns adds the faults of calls with an idempotency key, given how often
// each key ran.
func (c *collector) checkRuns(runs map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rec := range c.keyedRecords {
		rec.Fault = checkRuns(rec, runs[rec.Key])
		c.totals.addFault(rec)
		c.teams[rec.Team].addFault(rec)
	}
}

// addFault counts the fault of a record, if it has one.
func (s *stats) addFault(rec Record) {
	switch rec.Fault {
	case FaultDoubled:
		s.counts.Doubled++
	case FaultWrong:
		s.counts.Wrong++
	case FaultLost:
		s.counts.Lost++
	}
}

// add counts a record and adds its latencies to the histograms.
func (s *stats) add(rec Record, spec Spec) {
	s.counts.Requests++
	s.counts.Attempts += rec.Attempts
	s.counts.Resumes += rec.Resumes
	if rec.Plain {
		s.counts.Plain++
	}
	switch rec.Outcome {
	case OutcomeAnswered:
		s.addAnswered(rec, spec)
	case OutcomeRefused:
		s.counts.Refused++
	case OutcomeFailed:
		s.counts.Failed++
	case OutcomeUnreachable:
		s.counts.Unreachable++
	case OutcomeCancelled:
		s.counts.Cancelled++
	}
	if rec.Code != "" && rec.Outcome != OutcomeAnswered {
		s.codes[string(rec.Code)]++
	}
}

func (s *stats) addAnswered(rec Record, spec Spec) {
	s.counts.Answered++
	if rec.Plain {
		record(s.plain, rec.Total)
		s.counts.PlainAnswered++
		return
	}
	s.counts.Completions++
	s.counts.PromptTokens += rec.PromptTokens
	s.counts.OutputTokens += rec.OutputTokens
	record(s.ttft, rec.FirstToken)
	for _, gap := range rec.Gaps {
		record(s.pace, gap)
	}
	if rec.good(spec) {
		s.counts.Good++
	}
}

// good reports whether a completion without a fault met both targets: the time
// to the first output and the mean time between the following outputs.
func (r Record) good(spec Spec) bool {
	return r.Fault == FaultNone && r.FirstToken <= spec.FirstTokenTarget && r.Pace <= spec.PaceTarget
}

// record adds a duration to a histogram, clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), histogramLowest), histogramHighest)
	if err := h.RecordValue(us); err != nil {
		panic("load: histogram rejected a value within its range: " + err.Error())
	}
}

// result returns the result of the run.
func (c *collector) result(elapsed time.Duration) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	measured := elapsed - c.spec.Warmup
	if c.spec.Requests <= 0 {
		measured = c.spec.Duration - c.spec.Warmup
	}
	res := &Result{Seed: c.spec.Seed, Rate: c.spec.Rate, Elapsed: elapsed, Measured: measured, Lag: quantiles(c.lag), Endings: c.endings}
	res.Total = c.totals.summary(measured)
	for i, s := range c.teams {
		team := c.spec.Teams[i]
		res.Teams = append(res.Teams, TeamResult{
			Team: team.Name, Behaviour: team.Behaviour, Profile: team.Profile.Name, Summary: s.summary(measured),
		})
	}
	return res
}

// summary computes the summary of the requests within the measured time.
func (s *stats) summary(measured time.Duration) Summary {
	sum := Summary{
		Counts: s.counts,
		TTFT:   quantiles(s.ttft),
		Pace:   quantiles(s.pace),
		Plain:  quantiles(s.plain),
		Codes:  s.codes,
	}
	if measured > 0 {
		sum.GoodputPerSecond = float64(s.counts.Good) / measured.Seconds()
	}
	if s.counts.completionsSent() > 0 {
		sum.GoodShare = float64(s.counts.Good) / float64(s.counts.completionsSent())
	}
	return sum
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50MS: ms(50), P95MS: ms(95), P99MS: ms(99), MaxMS: float64(h.Max()) / 1000}
}
