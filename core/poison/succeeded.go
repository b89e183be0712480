package poison

import (
	"cmp"
	"time"
)

// A request that several callers send alike runs on many endpoints at any moment. When
// these are lost together, by a power failure for example, it is at each of the crashes
// and caused none. What tells it from a request that crashes endpoints is that it has
// just succeeded.

const (
	// successWindow is how long a success speaks for a request: a crash of an endpoint
	// that ran it within that time afterwards is not put down to it.
	successWindow = 10 * time.Second
	// maxSuccesses bounds the successes that are kept in each of two generations. What
	// is sent often is seen again before it is dropped.
	maxSuccesses = 512
)

// successes holds the latest successes of requests.
type successes = recent[Fingerprint]

// recent holds the latest successes of requests or parts, in two generations, of which
// the older one is dropped as a whole.
type recent[K comparable] struct {
	// bound is the size of a generation; 0 means maxSuccesses.
	bound             int
	current, previous map[K]int64
}

// add records a success at a time in milliseconds since 1970.
func (s *recent[K]) add(key K, at int64) {
	if len(s.current) >= cmp.Or(s.bound, maxSuccesses) {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = map[K]int64{}
	}
	s.current[key] = at
}

// shortlyBefore reports whether a success came within successWindow before a time
// in milliseconds since 1970, or after it.
func (s *recent[K]) shortlyBefore(key K, at int64) bool {
	last := max(s.current[key], s.previous[key])
	return last > 0 && last > at-successWindow.Milliseconds()
}

// Succeeded records that a request was answered with success. It clears the request and
// speaks for it if an endpoint crashes soon afterwards. It returns whether any crash was
// recorded against it.
func (l *Ledger) Succeeded(wall time.Time, f Fingerprint) bool {
	l.mu.Lock()
	l.succeeded.add(f, wall.UnixMilli())
	l.mu.Unlock()
	return l.Finished(wall, f)
}

// clearSucceeded clears the requests that ran at a crash and that this daemon has just
// seen succeed.
func (l *Ledger) clearSucceeded(c Crash) {
	for _, s := range c.Running {
		if l.succeeded.shortlyBefore(s.Fingerprint, c.AtUnixMS) {
			l.mergeCleared(Cleared{Fingerprint: s.Fingerprint, AtUnixMS: c.AtUnixMS})
		}
	}
}
