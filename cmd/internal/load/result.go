package load

import (
	"fmt"
	"strings"
	"time"
)

// Counts counts requests by outcome and fault, and sums their attempts and tokens.
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
	// Lost, Doubled and Wrong count faults, including those of the warm-up.
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

// completionsSent returns the number of requests that were completions.
func (c Counts) completionsSent() int { return c.Requests - c.Plain }

// Quantiles holds the quantiles of a duration in milliseconds, and the number of
// samples.
type Quantiles struct {
	Count int64   `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// Summary holds the measurements of a run or of one team.
type Summary struct {
	Counts
	// GoodputPerSecond is the number of completions that met both targets, per
	// second of the measured time.
	GoodputPerSecond float64 `json:"goodput_per_second"`
	// GoodShare is the share of the sent completions that met both targets, 0 to 1.
	GoodShare float64 `json:"good_share"`
	// TTFT is the time to first token.
	TTFT Quantiles `json:"ttft"`
	// Pace is the time between consecutive outputs.
	Pace Quantiles `json:"pace"`
	// Plain is the latency of answered plain calls.
	Plain Quantiles `json:"plain_time"`
	// Codes counts the requests without an answer by error code.
	Codes map[string]int `json:"codes,omitempty"`
}

// TeamResult holds the measurements of one team.
type TeamResult struct {
	Team      string    `json:"team"`
	Behaviour Behaviour `json:"behaviour"`
	Profile   string    `json:"profile"`
	Summary
}

// Result is the result of a run.
type Result struct {
	Seed uint64  `json:"seed"`
	Rate float64 `json:"rate"`
	// Elapsed is the duration of the whole run, Measured that of the part after the
	// warm-up.
	Elapsed  time.Duration `json:"elapsed_ns"`
	Measured time.Duration `json:"measured_ns"`
	// Lag is how late the arrivals were sent. If it is not far below the measured
	// latencies, the host was too busy for a valid measurement.
	Lag   Quantiles    `json:"lag"`
	Total Summary      `json:"total"`
	Teams []TeamResult `json:"teams"`
	// Endings are the final error responses of the first few requests without an
	// answer.
	Endings []Ending `json:"endings,omitempty"`
}

// Unanswered returns the number of requests that were neither answered nor
// cancelled by the caller.
func (r *Result) Unanswered() int {
	c := r.Total.Counts
	return c.Requests - c.Answered - c.Cancelled
}

// Faults returns the number of answers that were lost, doubled or wrong.
func (r *Result) Faults() int {
	return r.Total.Lost + r.Total.Doubled + r.Total.Wrong
}

// Line formats the result as one line of key=value pairs, including the final
// error responses.
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
