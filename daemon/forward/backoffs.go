package forward

import (
	"time"

	"github.com/samphirequay/samphirequay/core/registry"
)

// onBackoff returns the function that an attempt at e calls with the backoff of a refusal.
// step is the step of the request at which it is sent.
func (f *Forwarder) onBackoff(r *Request, e registry.Endpoint, step string) func(EndpointBackoff) {
	return func(b EndpointBackoff) { f.observeBackoff(r, e, step, b) }
}

func (f *Forwarder) observeBackoff(r *Request, e registry.Endpoint, step string, b EndpointBackoff) {
	if b.Invalid != "" {
		f.stats.invalidBackoffs.Inc()
		f.Log.Routine("endpoint_backoff_invalid", "endpoint", e.Name, "request", r.ID, "step", step, "backoff", b.Invalid)
		return
	}
	f.mu.Lock()
	now := f.Now()
	until, began := f.limiter.Backoff(now, e.Name, b.For)
	f.mu.Unlock()
	f.stats.backoffs.Inc()
	line := f.Log.Routine // for refusals in a backoff that has begun
	if began {
		line = f.Log.Event
	}
	line("endpoint_backoff", "endpoint", e.Name, "request", r.ID, "step", step, "asked", b.For,
		"until", f.RateLimits.WallClock().Add(until-now).UTC().Format(time.RFC3339Nano), "began", began)
}

// endBackoff ends the backoff of an endpoint that takes requests again.
func (f *Forwarder) endBackoff(e registry.Endpoint) {
	f.mu.Lock()
	lasted, refusals, ended := f.limiter.Answered(f.Now(), e.Name)
	f.mu.Unlock()
	if ended {
		f.Log.Event("endpoint_backoff_ended", "endpoint", e.Name, "lasted", lasted, "refusals", refusals)
	}
}

// backoffs returns the number of endpoints that want no request of this daemon now.
func (f *Forwarder) backoffs() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.limiter.Backoffs(f.Now()))
}
