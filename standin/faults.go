package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// faults are the injected faults of one stand-in and the generator for random
// ones.
type faults struct {
	mu      sync.Mutex
	rng     *rand.Rand
	current faultState
	leaving time.Time
	hanging int
	changed chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// faultState is the set of faults that last until they are changed.
type faultState struct {
	down, hang, stall       bool
	delay                   time.Duration
	loseReplies, staleReads float64
	slow                    float64
}

// newFaults returns a state without faults; the seed sets the random generator.
func newFaults(seed uint64) *faults {
	return &faults{
		rng:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		current: faultState{slow: 1},
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

// apply changes the faults that f sets and wakes all waits.
func (s *faults) apply(f wire.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setIfPresent(&s.current.down, f.Down)
	setIfPresent(&s.current.hang, f.Hang)
	setIfPresent(&s.current.stall, f.StallTransfers)
	setIfPresent(&s.current.loseReplies, f.LoseReplies)
	setIfPresent(&s.current.staleReads, f.StaleReads)
	setIfPresent(&s.current.slow, f.Slow)
	if f.DelayMS != nil {
		s.current.delay = time.Duration(*f.DelayMS) * time.Millisecond
	}
	if f.Leaving != nil {
		s.setLeaving(*f.Leaving)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setIfPresent copies a value unless its pointer is nil.
func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// setLeaving records when the endpoint began to leave. The caller holds mu.
func (s *faults) setLeaving(leaving bool) {
	if !leaving {
		s.leaving = time.Time{}
		return
	}
	if s.leaving.IsZero() {
		s.leaving = time.Now()
	}
}

// state returns the current faults.
func (s *faults) state() faultState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// leavingSince returns when the endpoint began to leave; false if it is not
// leaving.
func (s *faults) leavingSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving, !s.leaving.IsZero()
}

// draw returns true with the given probability.
func (s *faults) draw(probability float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return probability > 0 && s.rng.Float64() < probability
}

// intN returns a random integer from 0 to n-1.
func (s *faults) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// waitHang blocks a call while the Hang fault is set; false if stop was closed or
// the stand-in was closed first.
func (s *faults) waitHang(stop <-chan struct{}) bool {
	s.addHanging(1)
	defer s.addHanging(-1)
	return s.waitWhile(stop, func(f faultState) bool { return f.hang })
}

// addHanging adds n to the number of calls that are held back.
func (s *faults) addHanging(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging += n
}

// hangingCalls returns the number of calls that are held back now.
func (s *faults) hangingCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging
}

// close ends all current and later waits.
func (s *faults) close() { s.once.Do(func() { close(s.closed) }) }

// waitWhile blocks while active returns true for the current faults; false if
// stop was closed or the stand-in was closed first.
func (s *faults) waitWhile(stop <-chan struct{}, active func(faultState) bool) bool {
	for {
		s.mu.Lock()
		current, changed := s.current, s.changed
		s.mu.Unlock()
		if !active(current) {
			return true
		}
		select {
		case <-changed:
		case <-stop:
			return false
		case <-s.closed:
			return false
		}
	}
}

// sleep waits for d; false if stop was closed first.
func sleep(stop <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}
