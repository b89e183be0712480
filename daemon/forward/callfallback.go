package forward

import (
	"errors"

	"github.com/samphirequay/samphirequay/core/fallback"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// reasonFallbackFull is why a call was refused, as logged.
const reasonFallbackFull = "the owner is silent, and this daemon's part of the service is in use"

// errFallbackFull is the cause of refusals beyond a daemon's part of a service.
var errFallbackFull = errors.New("this daemon's part of the service is in use")

// chooseInstead chooses an endpoint for a call on which no owner has decided, within this
// daemon's part of the service.
func (c *callAttempts) chooseInstead() (chosen, *verdict.Error) {
	f, t, service := c.f, c.trace, c.service.Name
	t.fallbacks++
	share, ok := f.beginFallback(service)
	if !ok {
		f.stats.callFallbacks.Add(string(service)+"/refused", 1)
		f.Log.Event("call_fallback_refused", "request", c.request.ID, "service", service, "share", share)
		t.reason = reasonFallbackFull
		return chosen{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the queue of service %s can't be reached", service).
			WithRetryAfter(spread(callRetryAfter)).WithCause(errFallbackFull)
	}
	e, err := f.choose(c.ctx, c.request, t, service, c.avoid)
	if err != nil {
		f.endFallback(service)
		return chosen{}, err
	}
	f.stats.callFallbacks.Add(string(service)+"/sent", 1)
	f.Log.Routine("call_fallback", "request", c.request.ID, "service", service, "endpoint", e.Name, "share", share)
	return chosen{endpoint: e, fallback: true}, nil
}

// beginFallback counts a call for which this daemon chooses itself, unless its share of the
// service's slots is in use.
func (f *Forwarder) beginFallback(service id.Service) (share int, ok bool) {
	slots := 0
	for _, e := range f.View().Endpoints {
		if e.Service == service && !e.Leaving {
			slots += max(1, e.Slots)
		}
	}
	share = fallback.Share(slots, f.Daemons())
	f.mu.Lock()
	defer f.mu.Unlock()
	return share, f.fallbacks.Begin(service, share)
}

func (f *Forwarder) endFallback(service id.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fallbacks.End(service)
}
