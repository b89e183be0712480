package ratelimit

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	// maxBackoff bounds a backoff. An endpoint that gets no requests can't say anything
	// else, so a wrong value must not keep it idle for long.
	maxBackoff = 30 * time.Second
	// firstAnswerTime is how long the answer to the first request after a backoff is
	// awaited before others follow. An endpoint refuses at once: one that has not done so
	// by then has taken the request.
	firstAnswerTime = 100 * time.Millisecond
)

// backoff is a time in which an endpoint wants no request of this daemon. After it the
// endpoint gets a single request, and the others once that one is answered or has not been
// refused for firstAnswerTime: all of them at once would bring on the next refusal.
type backoff struct {
	beganAt, until time.Duration
	// refusals counts the answers that named a backoff.
	refusals int
	// openAt is when all requests may be sent again; 0 until the first one after the
	// backoff is assigned to the endpoint.
	openAt time.Duration
}

// Backoff records that an endpoint wants no request of this daemon for d. The backoff ends
// at until: the latest end that was named stands. began is false if it goes on from an
// earlier one.
func (l *Limiter) Backoff(now time.Duration, e id.Endpoint, d time.Duration) (until time.Duration, began bool) {
	b := l.backoffs[e]
	began = b == nil
	if began {
		b = &backoff{beganAt: now}
		l.backoffs[e] = b
	}
	b.refusals++
	if end := now + min(d, maxBackoff); end > b.until {
		b.until, b.openAt = end, 0
	}
	return b.until, began
}

// Answered records that an endpoint has answered a request other than by a refusal. If that
// ends a backoff, it returns how long the backoff has lasted and how many refusals named it.
// An answer that comes before the first request after the backoff says nothing: its request
// was sent earlier.
func (l *Limiter) Answered(now time.Duration, e id.Endpoint) (lasted time.Duration, refusals int, ended bool) {
	b := l.backoffs[e]
	if b == nil || now < b.until || b.openAt == 0 {
		return 0, 0, false
	}
	delete(l.backoffs, e)
	return now - b.beganAt, b.refusals, true
}

// InBackoff reports whether an endpoint wants no request of this daemon now.
func (l *Limiter) InBackoff(now time.Duration, e id.Endpoint) bool {
	b := l.backoffs[e]
	return b != nil && now < b.until
}

// Backoffs returns the number of endpoints that want no request of this daemon now.
func (l *Limiter) Backoffs(now time.Duration) int {
	n := 0
	for e := range l.backoffs {
		if l.InBackoff(now, e) {
			n++
		}
	}
	return n
}

// BackoffWait returns how long this daemon must wait before it may send a request to an
// endpoint, as far as backoffs tell; 0 if it need not.
func (l *Limiter) BackoffWait(now time.Duration, e id.Endpoint) time.Duration {
	b := l.backoffs[e]
	if b == nil {
		return 0
	}
	return max(0, b.until-now, b.openAt-now)
}

// takeFirst records that a request is sent to an endpoint, now or after its backoff.
func (b *backoff) takeFirst(now time.Duration) {
	if b.openAt == 0 {
		b.openAt = max(now, b.until) + firstAnswerTime
	}
}
