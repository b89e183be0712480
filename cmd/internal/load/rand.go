package load

import (
	"math/rand/v2"
	"sync"
	"time"
)

// lockedRand is a random source that goroutines share.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newLockedRand(rng *rand.Rand) *lockedRand { return &lockedRand{rng: rng} }

// fork returns a source of its own, seeded by this one.
func (l *lockedRand) fork() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rand.New(rand.NewPCG(l.rng.Uint64(), l.rng.Uint64()))
}

// jitter draws a time below a bound.
func (l *lockedRand) jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.Int64N(int64(bound)))
}
