// Package account says from the daemons' log lines what became of the requests
// of a span of time: by outcome and reason, where the time of the late ones
// went, what each refusal waited, which prompts were read in vain, and what the
// pools were doing meanwhile.
package account

import (
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// Account is what the logs of a span of time come to.
type Account struct {
	// From and To bound the span; From is the second zero of all times below.
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
	// Lines were read, Unreadable is the share of all lines that could not be.
	Lines      int     `json:"lines"`
	Unreadable float64 `json:"unreadable_share"`
	// Routes holds one account a route that got requests, by name.
	Routes []Route `json:"routes"`
	// Reasons count what ended attempts that were not answered.
	Reasons []Reason `json:"reasons"`
	// Vain lists the causes for which prompts were read in vain.
	Vain []Vain `json:"vain"`
	// Seconds holds what came in each second.
	Seconds []Second `json:"seconds"`
	// Pools holds the state of the pools as their owners logged it.
	Pools []Pool `json:"pools"`
}

// Counts are requests by outcome; one that came back counts once.
type Counts struct {
	Asked int `json:"asked"`
	// InTime and Late were answered.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Refused did not run; Failed may have.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// Left are requests whose callers went before the answer was due.
	Left int `json:"left"`
	// NoEnd are streams that were given engines and whose end is not logged:
	// their daemon was killed, or its line dropped. Of plain calls nothing is
	// logged before their end.
	NoEnd int `json:"no_end"`
}

// Answered counts the answered requests.
func (c *Counts) Answered() int { return c.InTime + c.Late }

// Route is the account of one route.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Kind is the route's kind, as the daemons name it.
	Kind string `json:"kind"`
	Counts
	// CameBack counts the requests that were sent again after a refusal or a
	// failure, Served those of them that were answered then.
	CameBack int `json:"came_back"`
	Served   int `json:"came_back_served"`
	// Late is where the time of the late answers went.
	LateTime LateTime `json:"late_time"`
	// Refusals tells what the refusals waited before they came.
	Refusals Waits `json:"refusals"`
}

// LateTime is the mean time of late answers, in milliseconds.
type LateTime struct {
	// Return is the time between a request's first arrival and that of the
	// attempt that was answered.
	Return float64 `json:"return_ms"`
	// Queue is the wait for engines, Prefill the reading of the prompt, Retries
	// the attempts that failed, Rest the transfer and the first event, or the
	// call itself.
	Queue   float64 `json:"queue_ms"`
	Prefill float64 `json:"prefill_ms"`
	Retries float64 `json:"retries_ms"`
	Rest    float64 `json:"rest_ms"`
	// Paused counts those that were late only by a pause between two events.
	Paused int `json:"paused"`
}

// Waits are times from an arrival to its refusal, in milliseconds.
type Waits struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	Max   float64 `json:"max_ms"`
	// Back counts the refused requests that came back.
	Back int `json:"back"`
}

// Reason counts attempts that ended unanswered in one way.
type Reason struct {
	Route string `json:"route"`
	// Team is whose limit ended them; empty for other outcomes.
	Team    string `json:"team,omitempty"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
}

// Vain counts the prompts that were read in vain for one cause.
type Vain struct {
	Cause  string `json:"cause"`
	Count  int    `json:"count"`
	Tokens int    `json:"tokens"`
}

// Second is what came within one second, by what became of it.
type Second struct {
	// At is the second, from the account's beginning.
	At int `json:"at_s"`
	// Kind is the kind of the routes.
	Kind string `json:"kind"`
	Counts
	// VainTokens were read in vain by prompts given up in this second.
	VainTokens int `json:"vain_tokens"`
}

// Pool is the state of a pool at one moment.
type Pool struct {
	AtSeconds float64 `json:"at_s"`
	Pool      string  `json:"pool"`
	// Prefills and Decodes are engines by role, Working the prefill engines at
	// work, Running the requests at the decode engines.
	Prefills int `json:"prefills"`
	Working  int `json:"prefills_working"`
	Decodes  int `json:"decodes"`
	Running  int `json:"decodes_running"`
	// MemoryHeld is the share of the decode engines' memory that is held.
	MemoryHeld float64 `json:"memory_held_share"`
	Queued     int     `json:"queued"`
}

// Options choose what an account is made of.
type Options struct {
	// From and To bound the arrivals; zero for no bound.
	From, To time.Time
}

// Make makes the account of log lines.
func Make(logs *logstory.Logs, o Options) (*Account, error) {
	b := newBuilder(o)
	for i := range logs.Lines {
		b.addLine(&logs.Lines[i])
	}
	return b.finish(logs)
}
