package forward

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/ratelimit"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// RateLimits connects the Forwarder to what the daemons know of the rate limits that
// endpoints name.
type RateLimits struct {
	// Fleet returns the daemons that share a limit, this one included.
	Fleet func() []id.Daemon
	// WallClock returns the time of the clock that the daemons share.
	WallClock func() time.Time
	// Broadcast sends a limit to the other daemons. It doesn't block.
	Broadcast func(n ratelimit.Named)
}

// onLimit returns the function that an attempt at e calls with the limit of each
// answer.
func (f *Forwarder) onLimit(e registry.Endpoint) func(EndpointLimit) {
	return func(l EndpointLimit) {
		f.observeLimit(e.Name, l)
		f.endBackoff(e)
	}
}

func (f *Forwarder) observeLimit(e id.Endpoint, l EndpointLimit) {
	if l.Invalid != "" {
		f.stats.invalidLimits.Inc()
		f.Log.Routine("endpoint_limit_invalid", "endpoint", e, "limit", l.Invalid)
		return
	}
	named := ratelimit.Named{Endpoint: e, PerSecond: l.PerSecond, AtUnixMS: f.RateLimits.WallClock().UnixMilli()}
	f.mu.Lock()
	changed, tell := f.limiter.Observe(f.Now(), named)
	f.mu.Unlock()
	if !changed && !tell {
		return
	}
	line := f.Log.Routine // for a limit that changes with each answer
	if tell {
		f.RateLimits.Broadcast(named)
		line = f.Log.Event
	}
	line("endpoint_limit", "endpoint", e, "per_second", l.PerSecond, "origin", "answer")
}

// LearnLimit records a limit that another daemon was named. It reports whether it was
// not known yet.
func (f *Forwarder) LearnLimit(n ratelimit.Named) (isNew bool) {
	if _, known := f.View().Endpoints[n.Endpoint]; !known {
		return false
	}
	f.mu.Lock()
	changed, isNew := f.limiter.Merge(f.Now(), n)
	f.mu.Unlock()
	if changed {
		f.Log.Event("endpoint_limit", "endpoint", n.Endpoint, "per_second", n.PerSecond, "origin", "peer")
	}
	return isNew
}

// limited returns the number of endpoints that name a limit.
func (f *Forwarder) limited() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.limiter.Limited(f.Now()))
}

// blocked returns the endpoints to which this daemon may not send a request now. The
// lock must be held.
func (f *Forwarder) blocked() []id.Endpoint {
	now := f.Now()
	if f.limiter.Idle(now) {
		return nil
	}
	f.limiter.SetDaemons(now, f.RateLimits.Fleet())
	return f.limiter.Blocked(now)
}

// blockedEngines returns the engines that a request is to avoid since their limits or
// backoffs leave this daemon no request now.
func (f *Forwarder) blockedEngines() []id.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked()
}

// takeLimit counts a request to an endpoint against the endpoint's limit. It returns why
// the endpoint leaves this daemon none now; nothing if it does.
func (f *Forwarder) takeLimit(e id.Endpoint) (why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	wait, ok := f.limiter.Wait(now, e)
	switch {
	case f.limiter.BackoffWait(now, e) > 0:
		f.stats.backoffAvoided.Inc()
		return "is in backoff"
	case wait > 0 || !ok:
		f.stats.limitAvoided.Inc()
		return "has reached its rate limit"
	}
	f.limiter.Take(now, e)
	return ""
}

// choose chooses an endpoint for a call and waits for its rate limit or backoff if that is
// the only way. The request's key and the crash evidence are checked again last, and so is
// the endpoint after a wait: it may have begun to leave, or another backoff.
func (f *Forwarder) choose(ctx context.Context, r *Request, t *trace, service id.Service, avoid []id.Endpoint) (registry.Endpoint, *verdict.Error) {
	for {
		if err := f.recheck(r, t); err != nil {
			return registry.Endpoint{}, err
		}
		e, wait, err := f.pickWithin(service, avoid, f.limitWait(r, t.route))
		if err != nil && refusedForBackoff(err) {
			t.reason = reasonBackoff
		}
		if err != nil || wait == 0 {
			return e, err
		}
		if err := sleep(ctx, wait); err != nil {
			f.done(e, f.Now(), balance.Neutral)
			return e, err
		}
		if now, known := f.View().Endpoints[e.Name]; known && !now.Leaving && !f.inBackoff(e.Name) && f.recheck(r, t) == nil {
			return now, nil
		}
		f.done(e, f.Now(), balance.Neutral)
	}
}

// pickWithin chooses an endpoint whose limit and backoff leave this daemon a request now or,
// if there is none, after at most maxWait; the request is counted against the limit.
func (f *Forwarder) pickWithin(service id.Service, avoid []id.Endpoint, maxWait time.Duration) (registry.Endpoint, time.Duration, *verdict.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	blocked := f.blocked()
	f.countBackoffAvoided(service, blocked)
	e, err := f.pick(service, slices.Concat(avoid, blocked))
	if err == nil {
		f.limiter.Take(f.Now(), e.Name)
		return e, 0, nil
	}
	blocked = slices.DeleteFunc(blocked, func(name id.Endpoint) bool {
		e, known := f.View().Endpoints[name]
		return !known || e.Service != service || e.Leaving || slices.Contains(avoid, name)
	})
	if len(blocked) == 0 {
		return e, 0, err
	}
	next, wait, ok := f.soonest(blocked)
	if !f.anyInBackoff(blocked) {
		f.stats.limitAvoided.Inc()
	}
	if !ok || wait > maxWait {
		return e, 0, f.limitReached(service, blocked)
	}
	others := slices.DeleteFunc(slices.Clone(blocked), func(name id.Endpoint) bool { return name == next })
	if e, err = f.pick(service, slices.Concat(avoid, others)); err == nil {
		f.limiter.Take(f.Now(), e.Name)
	}
	return e, wait, err
}

// soonest returns the endpoint among blocked ones to which this daemon may send a
// request first, and after what time; false if it must leave all of them to others.
func (f *Forwarder) soonest(blocked []id.Endpoint) (next id.Endpoint, wait time.Duration, ok bool) {
	for _, name := range blocked {
		if w, sends := f.limiter.Wait(f.Now(), name); sends && (!ok || w < wait) {
			next, wait, ok = name, w, true
		}
	}
	return next, wait, ok
}

// limitReached returns the refusal of a request since all endpoints of its service have
// reached their limits or are in backoff. Its Retry-After is when the first of them takes
// another one. The lock must be held.
func (f *Forwarder) limitReached(service id.Service, blocked []id.Endpoint) *verdict.Error {
	next := time.Duration(0)
	for i, name := range blocked {
		if free := f.limiter.NextFree(f.Now(), name); i == 0 || free < next {
			next = free
		}
	}
	next = max(next, callRetryAfter)
	if f.anyInBackoff(blocked) {
		f.stats.backoffRefusals.Inc()
		return backoffRefusal(service, next)
	}
	f.stats.limitRefusals.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the endpoints of service %s have reached their rate limits", service).
		WithRetryAfter(next)
}

// limitWait is how long a request may wait for an endpoint's limit or backoff: as long as it can
// still be answered within its target latency, or else in half of the time left.
func (f *Forwarder) limitWait(r *Request, rt *route.Route) time.Duration {
	if rt.TargetLatency > 0 {
		return min(f.timeLeft(r, rt), rt.TargetLatency-(f.Now()-r.Arrived)) / 2
	}
	return f.timeLeft(r, rt) / 2
}

// sleep waits for the given time; it returns an error if ctx ends before.
func sleep(ctx context.Context, d time.Duration) *verdict.Error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ended(ctx, "an endpoint's rate limit or backoff")
	}
}

// ended returns the error of a request that has not run and whose time has ended, or whose
// caller has left, while it waited for something; nil if neither is so.
func ended(ctx context.Context, waitedFor string) *verdict.Error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the request waited for %s", waitedFor)
	default:
		return verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the request waited for %s", waitedFor)
	}
}
