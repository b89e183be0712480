package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// backoffSpread is the largest random addition to the Retry-After of refusals for backoffs,
// as a fraction of it, so that their callers don't all come back at the same moment.
const backoffSpread = 0.25

// reasonBackoff is why a request that was refused for backoffs was not tried again, as logged.
const reasonBackoff = "the endpoints are in backoff"

// errInBackoff is the cause of refusals since all endpoints of a service that are not at
// their rate limits are in backoff.
var errInBackoff = errors.New("endpoints are in backoff")

func refusedForBackoff(err *verdict.Error) bool { return errors.Is(err.Cause, errInBackoff) }

// backoffRefusal returns the refusal of a request for a service that takes one again after
// next.
func backoffRefusal(service id.Service, next time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no endpoint of service %s takes requests now", service).
		WithRetryAfter(spread(next)).WithCause(errInBackoff)
}

// spread adds a random part of at most backoffSpread.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(backoffSpread*rand.Float64()*float64(d))
}

// inBackoff reports whether an endpoint wants no request of this daemon now.
func (f *Forwarder) inBackoff(e id.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limiter.InBackoff(f.Now(), e)
}

// maySend returns the function that an attempt at e asks right before it is sent: a backoff
// may have begun since e was chosen.
func (f *Forwarder) maySend(e registry.Endpoint) func() bool {
	return func() bool {
		if f.inBackoff(e.Name) {
			f.stats.backoffAvoided.Inc()
			return false
		}
		return true
	}
}

// anyInBackoff reports whether backoffs hold up requests to any of the given endpoints. The
// lock must be held.
func (f *Forwarder) anyInBackoff(names []id.Endpoint) bool {
	return slices.ContainsFunc(names, func(name id.Endpoint) bool { return f.limiter.BackoffWait(f.Now(), name) > 0 })
}

// countBackoffAvoided counts a request that leaves out blocked endpoints if one of its
// service is in backoff. The lock must be held.
func (f *Forwarder) countBackoffAvoided(service id.Service, blocked []id.Endpoint) {
	if len(blocked) == 0 {
		return
	}
	view := f.View()
	for _, name := range blocked {
		if view.Endpoints[name].Service == service && f.limiter.BackoffWait(f.Now(), name) > 0 {
			f.stats.backoffAvoided.Inc()
			return
		}
	}
}

// blockedEngines returns the engines that leave this daemon no request now, and how long the
// stream must wait since these are all that could decode; 0 if it need not. Both are of one
// moment: another stream may take the last free engine.
func (g *generation) blockedEngines() (blocked []id.Endpoint, wait time.Duration) {
	f, unusable := g.f, g.unusableEngines()
	f.mu.Lock()
	defer f.mu.Unlock()
	if wait := f.backoffWait(g.service.Name, unusable); wait > 0 {
		return nil, wait
	}
	blocked = f.blocked()
	f.countBackoffAvoided(g.service.Name, blocked)
	return blocked, 0
}

// serviceBackoff returns how long a request for a service must wait at least since all its
// endpoints but those to avoid are in backoff; 0 if it need not. Prefill engines don't
// count: a decode engine can prefill the prompt itself, and can't be done without.
func (f *Forwarder) serviceBackoff(service id.Service, avoid []id.Endpoint) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backoffWait(service, avoid)
}

// backoffWait is serviceBackoff with the lock held.
func (f *Forwarder) backoffWait(service id.Service, avoid []id.Endpoint) time.Duration {
	now := f.Now()
	if f.limiter.Idle(now) {
		return 0
	}
	next := time.Duration(0)
	for name, e := range f.View().Endpoints {
		if e.Service != service || e.Leaving || e.Role == live.RolePrefill {
			continue
		}
		wait := f.limiter.BackoffWait(now, name)
		if wait == 0 && !slices.Contains(avoid, name) {
			return 0
		}
		if wait > 0 && (next == 0 || wait < next) {
			next = wait
		}
	}
	return next
}

// awaitBackoff waits for the first backoff to end if all engines that could decode are in
// one: the pool's owner, which doesn't know of them, would hold the request until it is too
// late. If that takes too long for the request it is refused at once. It returns the engines
// that leave this daemon no request when the wait ends.
func (g *generation) awaitBackoff(ctx context.Context, maxWait time.Duration) ([]id.Endpoint, *verdict.Error) {
	waited := time.Duration(0)
	for {
		blocked, next := g.blockedEngines()
		if next == 0 {
			return blocked, nil
		}
		if waited+next > maxWait {
			g.f.stats.backoffRefusals.Inc()
			return nil, backoffRefusal(g.service.Name, next)
		}
		if err := sleep(ctx, next); err != nil {
			return nil, err
		}
		waited += next
	}
}

// adviseBackoff returns the error of a request that has not run with the time after which
// its service takes requests again, if all endpoints are in backoff: the refusals of the
// endpoints themselves, which ended the request, know of no other endpoint.
func (f *Forwarder) adviseBackoff(t *trace, err *verdict.Error) *verdict.Error {
	refused := err != nil && err.Verdict == verdict.NotRun && !refusedForBackoff(err) &&
		slices.Contains([]verdict.Code{verdict.CodeOverloaded, verdict.CodeNoEndpoint, verdict.CodeUnavailable}, err.Code)
	if !refused || t.service == "" {
		return err
	}
	next := f.serviceBackoff(t.service, nil)
	if next <= err.RetryAfter {
		return err
	}
	return err.WithRetryAfter(spread(next))
}
