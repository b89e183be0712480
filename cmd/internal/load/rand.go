package load

import (
	"math/rand/v2"
	"sync"
	"time"
)

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(rng *rand.Rand) *lockedRand { return &lockedRand{rng: rng} }

// fork returns a new source that is seeded from this one and is not locked.
func (l *lockedRand) fork() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rand.New(rand.NewPCG(l.rng.Uint64(), l.rng.Uint64()))
}

// jitter draws a duration below a bound; 0 if the bound is not positive.
func (l *lockedRand) jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.Int64N(int64(bound)))
}
