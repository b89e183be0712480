package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// faults are the faults that one stand-in shows now.
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

// faultState is the set of standing faults.
type faultState struct {
	down, hang, stall       bool
	delay                   time.Duration
	loseReplies, staleReads float64
	slow                    float64
}

// newFaults returns no faults; draws come from the seed.
func newFaults(seed uint64) *faults {
	return &faults{
		rng:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		current: faultState{slow: 1},
		changed: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

// apply changes the faults that are set in f.
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

// set copies a value that is given.
func setIfPresent[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// setLeaving notes when the endpoint began to leave.
func (s *faults) setLeaving(leaving bool) {
	if !leaving {
		s.leaving = time.Time{}
		return
	}
	if s.leaving.IsZero() {
		s.leaving = time.Now()
	}
}

// state returns the standing faults.
func (s *faults) state() faultState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// leavingSince tells whether the endpoint leaves, and since when.
func (s *faults) leavingSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving, !s.leaving.IsZero()
}

// draw tells whether a fault of the given share strikes.
func (s *faults) draw(share float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return share > 0 && s.rng.Float64() < share
}

// intN draws a number below n.
func (s *faults) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// waitHang holds a call back while the stand-in hangs; false if stop or the
// stand-in ended first.
func (s *faults) waitHang(stop <-chan struct{}) bool {
	s.addHanging(1)
	defer s.addHanging(-1)
	return s.waitWhile(stop, func(f faultState) bool { return f.hang })
}

// addHanging counts the calls that are held back.
func (s *faults) addHanging(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging += n
}

// hangingCalls is how many calls are held back now.
func (s *faults) hangingCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging
}

// close ends all waits.
func (s *faults) close() { s.once.Do(func() { close(s.closed) }) }

// waitWhile blocks while the fault stands; false if stop or the stand-in ended first.
func (s *faults) waitWhile(stop <-chan struct{}, stands func(faultState) bool) bool {
	for {
		s.mu.Lock()
		now, changed := s.current, s.changed
		s.mu.Unlock()
		if !stands(now) {
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

// pause waits for d; false if stop closed first.
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
