package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// copyInterval is the interval at which copies of the store are taken, and
	// maxCopies how many are kept: the store comes back some seconds older at most.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 16
	// restoreEvery is one in how many faults of a run with restores is one.
	restoreEvery = 3
)

// keepCopies takes copies of the store until done is closed.
func (s *simulation) keepCopies(done <-chan struct{}) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			s.takeCopy()
		}
	}
}

func (s *simulation) takeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, s.store.Copy())
	s.copies = s.copies[max(0, len(s.copies)-maxCopies):]
}

// restore brings the store back from one of the copies that are kept. The operator and the
// runners write again what they had written.
func (s *simulation) restore(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copies) == 0 {
		return
	}
	s.store.Restore(s.copies[rng.IntN(len(s.copies))])
	s.writeConfig()
	for _, r := range s.runners {
		s.register(r)
	}
}

// restoreFault returns a fault after which the store comes back from an older copy.
func (r *run) restoreFault(rng *rand.Rand) fault {
	draw := rand.New(rand.NewPCG(rng.Uint64(), 0))
	return fault{
		name:   fmt.Sprintf("store away, comes back from one of %d copies", maxCopies),
		inject: func() { r.simulation.store.Refuse("*", 503) },
		revert: func() {
			r.simulation.restore(draw)
			r.simulation.store.Refuse("*", 0)
		},
	}
}
