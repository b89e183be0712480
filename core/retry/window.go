package retry

import "time"

// WindowConfig bounds the retries of a service over all daemons.
type WindowConfig struct {
	// Span is the length of the sliding window.
	Span time.Duration
	// Ratio is the ratio of retries to requests that a window allows.
	Ratio float64
	// Slack is the number of additional retries per window, for all daemons
	// together.
	Slack float64
	// Safety is the fraction of the limit that is used. The rest covers requests that
	// move between daemons within a window, and retries that an endpoint reads after
	// their attempt has ended.
	Safety float64
}

// Window bounds one daemon's retries of a service within a sliding window. A retry
// is one arrival of a request at an endpoint beyond its first. The limit is a
// ratio of the daemon's own requests plus its share of the slack, which is divided
// equally among a number of daemons, the sharers. The limit holds for every span of the
// window's length, since the oldest slot is counted in full. It is not safe for
// concurrent use.
type Window struct {
	cfg      WindowConfig
	requests slots
	// arrived holds the retries that have arrived, pending counts those that were taken
	// and have not: they may wait for an endpoint for seconds, and count from their
	// arrival on.
	arrived slots
	pending int
}

// NewWindow returns an empty Window.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, requests: newSlots(cfg.Span), arrived: newSlots(cfg.Span)}
}

// advance clears the slots that have left the window.
func (w *Window) advance(now time.Duration) {
	w.requests.advance(now)
	w.arrived.advance(now)
}

// CountRequest counts a request of a caller.
func (w *Window) CountRequest(now time.Duration) {
	w.advance(now)
	*w.requests.current()++
}

// TakeRetries counts n retries that are about to be sent and returns true if the window
// allows all of them; sharers is the number of daemons that share the slack, 0 if this
// daemon may use none of it. Each retry that is taken is later recorded as arrived or
// returned.
func (w *Window) TakeRetries(now time.Duration, n, sharers int) bool {
	w.advance(now)
	if float64(w.used()+n) > w.allowed(sharers) {
		return false
	}
	w.pending += n
	return true
}

// RecordArrivals records that n retries that were taken have arrived.
func (w *Window) RecordArrivals(now time.Duration, n int) {
	w.advance(now)
	w.pending = max(0, w.pending-n)
	*w.arrived.current() += n
}

// ReturnRetries gives back n retries that were taken and not sent.
func (w *Window) ReturnRetries(n int) { w.pending = max(0, w.pending-n) }

// Left returns how many retries the window still allows.
func (w *Window) Left(now time.Duration, sharers int) float64 {
	w.advance(now)
	return max(0, w.allowed(sharers)-float64(w.used()))
}

func (w *Window) used() int { return w.pending + w.arrived.sum() }

func (w *Window) allowed(sharers int) float64 {
	share := 0.0
	if sharers > 0 {
		share = w.cfg.Slack / float64(sharers)
	}
	return w.cfg.Safety * (w.cfg.Ratio*float64(w.requests.sum()) + share)
}

// WindowState is the content of a Window, for another process that goes on with it. Each
// number is that of one slot, a twentieth of the span, the newest first.
type WindowState struct {
	Requests []int `json:"requests,omitempty"`
	// Retries includes, in its newest slot, those that were taken and have not arrived.
	Retries []int `json:"retries,omitempty"`
}

// State returns the content of the window.
func (w *Window) State(now time.Duration) WindowState {
	w.advance(now)
	out := WindowState{Requests: w.requests.newestFirst(), Retries: w.arrived.newestFirst()}
	out.Retries[0] += w.pending
	return out
}

// Restore adds the content of another process's window, which is of the given age. The two
// processes' slots needn't begin at the same time: retries are dated one slot later than
// they may have arrived, and requests two slots earlier, so that the limit still holds.
func (w *Window) Restore(now, age time.Duration, state WindowState) {
	w.advance(now)
	older := int(age / w.arrived.length)
	for slot, n := range state.Retries {
		w.arrived.addAt(max(0, older+slot-1), n)
	}
	for slot, n := range state.Requests {
		w.requests.addAt(older+slot+2, n)
	}
}
