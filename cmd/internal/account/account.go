// Package account summarizes the requests of a span of time from the daemons' log
// lines: outcomes and reasons, how late answers spent their time, how long
// refusals took, which prompts were wasted (their prefill was of no use), and the
// state of the pools.
package account

import (
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// Summary is the summary of the logs of a span of time.
type Summary struct {
	// From and To bound the span; the offsets in seconds below count from From.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Lines counts the lines read, Unreadable is the share of all lines that could
	// not be read, 0 to 1.
	Lines      int     `json:"lines"`
	Unreadable float64 `json:"unreadable_share"`
	// Routes holds the routes that received requests, sorted by name.
	Routes []Route `json:"routes"`
	// Reasons counts the attempts that were not answered, by reason.
	Reasons []Reason `json:"reasons"`
	// Wasted counts the wasted prompts by cause.
	Wasted []WastedPrompts `json:"vain"`
	// Seconds counts the requests by the second of their arrival.
	Seconds []Second `json:"seconds"`
	// Pools holds the states of the pools as their owners logged them.
	Pools []Pool `json:"pools"`
}

// Counts counts requests by outcome; a request and its retries by the caller count
// once.
type Counts struct {
	Requests int `json:"asked"`
	// InTime and Late count answered requests.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused counts requests that did not run, Failed those that may have run.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Disconnected counts requests whose callers disconnected before the answer was due.
	Disconnected int `json:"left"`
	// NoEnd counts streams that were granted engines and whose end is not logged:
	// their daemon was killed, or the line was dropped. Plain calls are not counted
	// here, since nothing is logged before their end.
	NoEnd int `json:"no_end"`
}

// Answered counts the answered requests.
func (c *Counts) Answered() int { return c.InTime + c.Late }

// Route is the summary of one route.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Kind is the route's kind as the daemons log it.
	Kind string `json:"kind"`
	Counts
	// Retried counts the requests that their callers retried after a refusal or a
	// failure, RetriedAnswered those of them that were then answered.
	Retried         int `json:"came_back"`
	RetriedAnswered int `json:"came_back_served"`
	// LateTime is how the late answers spent their time.
	LateTime LateTime `json:"late_time"`
	// Refusals holds the times from arrival to refusal.
	Refusals RefusalTimes `json:"refusals"`
}

// LateTime is the mean time of late answers, in milliseconds.
type LateTime struct {
	// RetryDelay is the time from a request's first arrival to the arrival of the
	// retry that was answered.
	RetryDelay float64 `json:"return_ms"`
	// Queue is the time in the queue for engines, Prefill the prefill time, Retries
	// the time of the daemon's failed attempts at endpoints, Rest the time of the
	// transfer and the first event, or of the plain call.
	Queue   float64 `json:"queue_ms"`
	Prefill float64 `json:"prefill_ms"`
	Retries float64 `json:"retries_ms"`
	Rest    float64 `json:"rest_ms"`
	// Paused counts the answers that were late only because of a pause between two
	// events.
	Paused int `json:"paused"`
}

// RefusalTimes holds the times from arrival to refusal, in milliseconds.
type RefusalTimes struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	Max   float64 `json:"max_ms"`
	// Retried counts the refusals that the caller retried.
	Retried int `json:"back"`
}

// Reason counts the unanswered attempts with one route, outcome and reason.
type Reason struct {
	Route string `json:"route"`
	// Team is the team whose limit refused them; empty for other outcomes.
	Team    string `json:"team,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// WastedPrompts counts the wasted prompts of one cause and their tokens.
type WastedPrompts struct {
	Cause  string `json:"cause"`
	Count  int    `json:"count"`
	Tokens int    `json:"tokens"`
}

// Second counts the requests that first arrived within one second, by outcome.
type Second struct {
	// At is the second, counted from Summary.From.
	At int `json:"at_s"`
	// Kind is the routes' kind.
	Kind string `json:"kind"`
	Counts
	// WastedTokens counts the tokens of prompts that were wasted in this second.
	WastedTokens int `json:"vain_tokens"`
}

// Pool is the state of a pool at one moment.
type Pool struct {
	AtSeconds float64 `json:"at_s"`
	Pool      string  `json:"pool"`
	// Prefills and Decodes count the engines by role, PrefillsWorking the busy
	// prefill engines, DecodesRunning the requests on the decode engines.
	Prefills        int `json:"prefills"`
	PrefillsWorking int `json:"prefills_working"`
	Decodes         int `json:"decodes"`
	DecodesRunning  int `json:"decodes_running"`
	// MemoryHeld is the share of the decode engines' memory that is held, 0 to 1.
	MemoryHeld float64 `json:"memory_held_share"`
	Queued     int     `json:"queued"`
}

// Options select the requests of a summary.
type Options struct {
	// From (inclusive) and To (exclusive) bound the arrivals; the zero time means
	// no bound.
	From, To time.Time
}

// Summarize builds the summary of log lines. It returns ErrNoRequests if they hold
// no end of a request within the bounds.
func Summarize(logs *logstory.Logs, o Options) (*Summary, error) {
	b := newBuilder(o)
	for i := range logs.Lines {
		b.addLine(&logs.Lines[i])
	}
	return b.finish(logs)
}
