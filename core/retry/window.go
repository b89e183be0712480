package retry

import "time"

// WindowConfig bounds the repeats of a service over all daemons.
type WindowConfig struct {
	// Span is the sliding window.
	Span time.Duration
	// Ratio of repeats to requests that a window allows.
	Ratio float64
	// Slack is allowed on top by all daemons together, in repeats a window.
	Slack float64
	// Safety is the share of the bound that is used: what other daemons do at
	// the window's edge is not seen.
	Safety float64
}

// windowSlots is into how many slots a span is divided.
const windowSlots = 20

// Window bounds one daemon's repeats of a service within a sliding window: a
// ratio of its own requests, and its part of the fleet's slack. Any span that
// the window covers keeps the bound, since the oldest slot counts as whole. It
// is not safe for concurrent use.
type Window struct {
	cfg      WindowConfig
	requests [windowSlots + 1]int
	repeats  [windowSlots + 1]int
	slot     int64
}

// NewWindow returns an empty Window.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg} }

// advance forgets the slots that have left the window.
func (w *Window) advance(now time.Duration) {
	slot := int64(now / (w.cfg.Span / windowSlots))
	if slot-w.slot > windowSlots {
		clear(w.requests[:])
		clear(w.repeats[:])
		w.slot = slot
	}
	for w.slot < slot {
		w.slot++
		i := w.slot % int64(len(w.requests))
		w.requests[i], w.repeats[i] = 0, 0
	}
}

// Request counts a caller's request.
func (w *Window) Request(now time.Duration) {
	w.advance(now)
	w.requests[w.slot%int64(len(w.requests))]++
}

// Repeat pays for one more arrival of a request at an endpoint, if the window
// allows it; daemons is how many share the slack.
func (w *Window) Repeat(now time.Duration, daemons int) bool {
	w.advance(now)
	if float64(w.used()+1) > w.allowed(daemons) {
		return false
	}
	w.repeats[w.slot%int64(len(w.repeats))]++
	return true
}

// Left is how many repeats the window still allows.
func (w *Window) Left(now time.Duration, daemons int) float64 {
	w.advance(now)
	return max(0, w.allowed(daemons)-float64(w.used()))
}

func (w *Window) used() int {
	n := 0
	for _, r := range w.repeats {
		n += r
	}
	return n
}

func (w *Window) allowed(daemons int) float64 {
	n := 0
	for _, r := range w.requests {
		n += r
	}
	return w.cfg.Safety * (w.cfg.Ratio*float64(n) + w.cfg.Slack/float64(max(1, daemons)))
}
