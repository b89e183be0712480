package forward

import (
	"errors"
	"time"

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
	share := f.shareOf(service)
	if !c.beginFallback(share) {
		if err := ended(c.ctx, "this daemon's part of the service"); err != nil {
			return chosen{}, err
		}
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

// shareOf returns how many calls of a service this daemon may choose endpoints for at a time.
func (f *Forwarder) shareOf(service id.Service) int {
	slots := 0
	for _, e := range f.View().Endpoints {
		if e.Service == service && !e.Leaving {
			slots += max(1, e.Slots)
		}
	}
	return fallback.Share(slots, f.Daemons())
}

// beginFallback counts a call for which this daemon chooses itself. If its share is in use,
// the call waits as long as for a rate limit: it can still be answered in time then.
func (c *callAttempts) beginFallback(share int) bool {
	f, service := c.f, c.service.Name
	turn, mayWait := c.queueFallback(share)
	if turn == nil {
		return mayWait
	}
	timer := time.NewTimer(f.limitWait(c.request, c.trace.route))
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
	case <-c.ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.fallbacks.Leave(service, turn)
}

// queueFallback begins a fallback at once, or returns the turn to wait for. It returns false
// without a turn if too many calls wait.
func (c *callAttempts) queueFallback(share int) (fallback.Waiter, bool) {
	f, service := c.f, c.service.Name
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fallbacks.Begin(service, share) {
		return nil, true
	}
	return f.fallbacks.Wait(service, share)
}

func (f *Forwarder) endFallback(service id.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fallbacks.End(service)
}
