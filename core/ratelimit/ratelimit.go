// Package ratelimit keeps the rate limits that endpoints name: the requests per second
// that an endpoint takes from all daemons together. Each daemon keeps its share without
// asking the others. So that shares stay larger than single requests, only some of the
// daemons send to a limited endpoint, chosen by rendezvous hashing; the others leave it
// alone. The package also keeps the backoffs that endpoints ask this daemon for, which
// concern no other daemon. See docs/design/endpoint-limits.md.
package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

const (
	// minShare is the smallest share of a daemon, in requests per second. With smaller
	// ones the first request of each daemon alone would exceed the limit of an endpoint
	// in a large fleet.
	minShare = 0.75
	// burstSeconds and burstRequests make up the burst of all daemons together: the
	// requests of so many seconds, and so many more.
	burstSeconds  = 1.0
	burstRequests = 2.0
	// shrinkDelay is how long a fleet must have been smaller before shares grow: a
	// daemon that has lost contact to the others must not use their shares.
	shrinkDelay = 30 * time.Second
	// limitLife is how long a limit holds that no answer confirms. By then an endpoint
	// that gets no requests is tried again.
	limitLife = 30 * time.Second
	// tellInterval is the interval at which a limit that still holds is sent to the
	// other daemons again, and minTellInterval the shortest one for a limit that changes
	// with each answer.
	tellInterval    = 5 * time.Second
	minTellInterval = 250 * time.Millisecond
)

// Named is a limit as an answer named it.
type Named struct {
	Endpoint id.Endpoint `cbor:"1,keyasint"`
	// PerSecond is in requests per second; 0 if the endpoint names no limit any more.
	PerSecond float64 `cbor:"2,keyasint"`
	// AtUnixMS is when the answer arrived, in milliseconds since 1970 by the clock that
	// the daemons share.
	AtUnixMS int64 `cbor:"3,keyasint"`
}

// Limiter decides when this daemon may send a request to a limited endpoint. It is not
// safe for concurrent use.
type Limiter struct {
	self     id.Daemon
	limits   map[id.Endpoint]*limit
	backoffs map[id.Endpoint]*backoff
	// daemons is the fleet, this daemon included; version counts its changes.
	daemons []id.Daemon
	version uint64
	// size is the size of the fleet by which shares are computed; it follows a smaller
	// fleet after shrinkDelay. sizeAt is when the fleet last had that size.
	size   int
	sizeAt time.Duration
}

// limit is the limit of one endpoint, with this daemon's share of it as a token bucket.
type limit struct {
	Named
	confirmedAt, toldAt time.Duration
	tokens              float64
	refilledAt          time.Duration
	choice              choice
}

// choice is whether this daemon is one of the senders to an endpoint, and what that
// was computed from.
type choice struct {
	version uint64
	senders int
	chosen  bool
}

// New returns a Limiter without limits and backoffs for a daemon.
func New(self id.Daemon) *Limiter {
	return &Limiter{
		self:     self,
		limits:   map[id.Endpoint]*limit{},
		backoffs: map[id.Endpoint]*backoff{},
		daemons:  []id.Daemon{self},
		size:     1,
	}
}

// SetDaemons sets the fleet; this daemon is added if it is missing.
func (l *Limiter) SetDaemons(now time.Duration, daemons []id.Daemon) {
	if !slices.Equal(daemons, l.daemons) {
		l.daemons = append(l.daemons[:0], daemons...)
		if !slices.Contains(l.daemons, l.self) {
			l.daemons = append(l.daemons, l.self)
		}
		l.version++
	}
	if len(l.daemons) >= l.size || now-l.sizeAt > shrinkDelay {
		l.size, l.sizeAt = len(l.daemons), now
	}
}

// Observe records what an answer named to this daemon. changed reports whether the
// limit is another one than before, tell whether the other daemons are to be told.
func (l *Limiter) Observe(now time.Duration, n Named) (changed, tell bool) {
	lim := l.limits[n.Endpoint]
	if lim == nil && n.PerSecond == 0 {
		return false, false
	}
	began := lim == nil || (lim.PerSecond == 0) != (n.PerSecond == 0)
	changed = l.record(now, n)
	lim = l.limits[n.Endpoint]
	switch {
	case began, changed && now-lim.toldAt >= minTellInterval, n.PerSecond > 0 && now-lim.toldAt >= tellInterval:
		lim.toldAt = now
		return changed, true
	default:
		return changed, false
	}
}

// Merge records what another daemon was named. changed reports whether the limit is
// another one than before, isNew whether this was not known yet.
func (l *Limiter) Merge(now time.Duration, n Named) (changed, isNew bool) {
	lim := l.limits[n.Endpoint]
	if !(n.PerSecond >= 0) || (lim != nil && n.AtUnixMS <= lim.AtUnixMS) {
		return false, false
	}
	changed = l.record(now, n)
	l.limits[n.Endpoint].toldAt = now
	return changed, true
}

// record stores a limit and reports whether its rate is another one than before.
func (l *Limiter) record(now time.Duration, n Named) bool {
	lim := l.limits[n.Endpoint]
	if lim == nil {
		lim = &limit{tokens: 1, refilledAt: now}
		l.limits[n.Endpoint] = lim
	}
	changed := lim.PerSecond != n.PerSecond
	l.refill(now, lim)
	lim.Named = n
	lim.confirmedAt = now
	return changed
}

// Retain drops the limits and backoffs of all endpoints but the given ones.
func (l *Limiter) Retain(known func(id.Endpoint) bool) {
	maps.DeleteFunc(l.limits, func(e id.Endpoint, _ *limit) bool { return !known(e) })
	maps.DeleteFunc(l.backoffs, func(e id.Endpoint, _ *backoff) bool { return !known(e) })
}

// Wait returns how long this daemon must wait before it may send a request to an
// endpoint, for its limit and its backoff; 0 if it need not. ok is false if it must leave
// the endpoint to others.
func (l *Limiter) Wait(now time.Duration, e id.Endpoint) (wait time.Duration, ok bool) {
	wait = l.BackoffWait(now, e)
	lim := l.inForce(now, e)
	if lim == nil {
		return wait, true
	}
	if !l.sends(lim) {
		return 0, false
	}
	l.refill(now, lim)
	if missing := 1 - lim.tokens; missing > 0 {
		wait = max(wait, timeFor(missing, l.share(lim)))
	}
	return wait, true
}

// timeFor returns the time in which a rate allows a number of requests. It is at most
// limitLife, after which the limit must have been confirmed anyway.
func timeFor(requests, perSecond float64) time.Duration {
	seconds := min(requests/perSecond, limitLife.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// Take counts a request that this daemon sends to an endpoint, now or after Wait.
func (l *Limiter) Take(now time.Duration, e id.Endpoint) {
	if lim := l.inForce(now, e); lim != nil {
		l.refill(now, lim)
		lim.tokens--
	}
	if b := l.backoffs[e]; b != nil {
		b.takeFirst(now)
	}
}

// Blocked returns the endpoints to which this daemon may not send a request now, in a
// fixed order.
func (l *Limiter) Blocked(now time.Duration) []id.Endpoint {
	var out []id.Endpoint
	for e := range l.limits {
		if wait, ok := l.Wait(now, e); wait > 0 || !ok {
			out = append(out, e)
		}
	}
	for e := range l.backoffs {
		if l.BackoffWait(now, e) > 0 {
			out = append(out, e)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Idle reports whether no endpoint holds requests of this daemon up.
func (l *Limiter) Idle(now time.Duration) bool {
	return len(l.backoffs) == 0 && l.Limited(now) == 0
}

// NextFree returns after what time some daemon may send the endpoint a request: this
// daemon's own wait, or the time in which the endpoint takes one request if others send
// to it.
func (l *Limiter) NextFree(now time.Duration, e id.Endpoint) time.Duration {
	if wait, ok := l.Wait(now, e); ok {
		return wait
	}
	return timeFor(1, l.limits[e].PerSecond)
}

// Limited returns the number of endpoints with a limit.
func (l *Limiter) Limited(now time.Duration) int {
	n := 0
	for e := range l.limits {
		if l.inForce(now, e) != nil {
			n++
		}
	}
	return n
}

// inForce returns the limit of an endpoint; nil if there is none.
func (l *Limiter) inForce(now time.Duration, e id.Endpoint) *limit {
	lim := l.limits[e]
	if lim == nil || lim.PerSecond == 0 || now-lim.confirmedAt > limitLife {
		return nil
	}
	return lim
}

// senders is the number of daemons that send to an endpoint.
func (l *Limiter) senders(lim *limit) int {
	return max(1, int(min(float64(l.size), lim.PerSecond/minShare)))
}

// sends reports whether this daemon is one of them.
func (l *Limiter) sends(lim *limit) bool {
	n := l.senders(lim)
	if n >= len(l.daemons) {
		return true
	}
	if c := lim.choice; c.version != l.version || c.senders != n {
		ranked := rendezvous.Ranked(string(lim.Endpoint), l.daemons)
		lim.choice = choice{version: l.version, senders: n, chosen: slices.Contains(ranked[:n], l.self)}
	}
	return lim.choice.chosen
}

// share is this daemon's share of a limit, in requests per second.
func (l *Limiter) share(lim *limit) float64 { return lim.PerSecond / float64(l.senders(lim)) }

// burst is this daemon's share of the burst, in requests.
func (l *Limiter) burst(lim *limit) float64 {
	return max(1, (lim.PerSecond*burstSeconds+burstRequests)/float64(l.senders(lim)))
}

func (l *Limiter) refill(now time.Duration, lim *limit) {
	if lim.PerSecond > 0 {
		lim.tokens = min(l.burst(lim), lim.tokens+l.share(lim)*(now-lim.refilledAt).Seconds())
	}
	lim.refilledAt = now
}
