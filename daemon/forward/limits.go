package forward

import (
	"sync"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
)

// limits holds the rate limits that endpoints name in their answers.
type limits struct {
	mu    sync.Mutex
	named map[id.Endpoint]float64
}

// onLimit returns the function that an attempt at e calls with the limit of each
// answer.
func (f *Forwarder) onLimit(e registry.Endpoint) func(EndpointLimit) {
	return func(l EndpointLimit) { f.learnLimit(e.Name, l) }
}

func (f *Forwarder) learnLimit(e id.Endpoint, l EndpointLimit) {
	if l.Invalid != "" {
		f.Log.Event("endpoint_limit_invalid", "endpoint", e, "limit", l.Invalid)
		return
	}
	f.limits.mu.Lock()
	before := f.limits.named[e]
	if l.PerSecond > 0 {
		f.limits.named[e] = l.PerSecond
	} else {
		delete(f.limits.named, e)
	}
	f.limits.mu.Unlock()
	if before != l.PerSecond {
		f.Log.Event("endpoint_limit", "endpoint", e, "per_second", l.PerSecond, "before", before)
	}
}

// limited returns the number of endpoints that name a limit.
func (f *Forwarder) limited() float64 {
	f.limits.mu.Lock()
	defer f.limits.mu.Unlock()
	return float64(len(f.limits.named))
}
