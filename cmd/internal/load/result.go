package load

import (
	"fmt"
	"strings"
	"time"
)

// Counts of requests by how they ended.
type Counts struct {
	Requests      int `json:"requests"`
	Answered      int `json:"answered"`
	Completions   int `json:"completions_answered"`
	PlainAnswered int `json:"plain_answered"`
	Plain         int `json:"plain"`
	Refused       int `json:"refused"`
	Failed        int `json:"failed"`
	Unreachable   int `json:"unreachable"`
	Cancelled     int `json:"cancelled"`
	// Lost, Doubled and Wrong count faults, the warm-up's too.
	Lost    int `json:"lost"`
	Doubled int `json:"doubled"`
	Wrong   int `json:"wrong"`
	// Good counts completions that met both targets.
	Good         int `json:"good"`
	Attempts     int `json:"attempts"`
	Resumes      int `json:"resumes"`
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// completionsSent is the number of requests that were completions.
func (c Counts) completionsSent() int { return c.Requests - c.Plain }

// Quantiles of a time, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Summary gives the figures of a run or of one team.
type Summary struct {
	Counts
	// GoodputPerSecond is answers that met both targets, a second.
	GoodputPerSecond float64 `json:"goodput_per_second"`
	// GoodShare is their share of the completions that were sent, 0 to 1.
	GoodShare float64 `json:"good_share"`
	// TTFT is the time to first token.
	TTFT Quantiles `json:"ttft"`
	// Pace is the time between two tokens.
	Pace Quantiles `json:"pace"`
	// Plain is the whole time of plain calls.
	Plain Quantiles `json:"plain_time"`
	// Codes counts the errors by their code.
	Codes map[string]int `json:"codes,omitempty"`
}

// TeamResult gives the figures of one team.
type TeamResult struct {
	Team      string    `json:"team"`
	Behaviour Behaviour `json:"behaviour"`
	Profile   string    `json:"profile"`
	Summary
}

// Result is the account of a run.
type Result struct {
	Seed uint64  `json:"seed"`
	Rate float64 `json:"rate"`
	// Elapsed is the whole run; Measured is the part after the warm-up.
	Elapsed  time.Duration `json:"elapsed_ns"`
	Measured time.Duration `json:"measured_ns"`
	// Lag is how late the arrivals were sent. Where it is not far below the
	// times that are measured, the host was too busy to measure.
	Lag   Quantiles    `json:"lag"`
	Total Summary      `json:"total"`
	Teams []TeamResult `json:"teams"`
	// Endings are the error answers with which requests ended, the first few.
	Endings []Ending `json:"endings,omitempty"`
}

// Unanswered is the number of requests that ended without an answer and that
// the caller did not give up on purpose.
func (r *Result) Unanswered() int {
	c := r.Total.Counts
	return c.Requests - c.Answered - c.Cancelled
}

// Faults is the number of answers that were lost, doubled or wrong.
func (r *Result) Faults() int {
	return r.Total.Lost + r.Total.Doubled + r.Total.Wrong
}

// Line gives the account as one line of key=value pairs, with the error answers
// that requests ended with.
func (r *Result) Line() string {
	t := r.Total
	var b strings.Builder
	fmt.Fprintf(&b, "requests=%d answered=%d refused=%d failed=%d unreachable=%d cancelled=%d",
		t.Requests, t.Answered, t.Refused, t.Failed, t.Unreachable, t.Cancelled)
	fmt.Fprintf(&b, " lost=%d doubled=%d wrong=%d resumes=%d", t.Lost, t.Doubled, t.Wrong, t.Resumes)
	fmt.Fprintf(&b, " goodput=%.1f/s good=%.1f%%", t.GoodputPerSecond, 100*t.GoodShare)
	fmt.Fprintf(&b, " ttft_p50=%.0fms ttft_p95=%.0fms pace_p95=%.1fms", t.TTFT.P50MS, t.TTFT.P95MS, t.Pace.P95MS)
	fmt.Fprintf(&b, " plain_p95=%.1fms send_lag_p99=%.1fms", t.Plain.P95MS, r.Lag.P99MS)
	for _, e := range r.Endings {
		fmt.Fprintf(&b, " ended=%q", e.String())
	}
	return b.String()
}
