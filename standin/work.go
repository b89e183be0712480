package standin

import "time"

// simulateWork waits for as long as work of duration d takes under the Slow
// fault; false if stop was closed or the stand-in was closed first. A change of
// the fault applies to the remaining work.
func (s *faults) simulateWork(stop <-chan struct{}, d time.Duration) bool {
	for left := d; left > 0; {
		s.mu.Lock()
		slow, changed := s.current.slow, s.changed
		s.mu.Unlock()
		began := time.Now()
		timer := time.NewTimer(time.Duration(float64(left) * slow))
		select {
		case <-timer.C:
			return true
		case <-changed:
			timer.Stop()
			left -= completedWork(time.Since(began), slow)
		case <-stop:
			timer.Stop()
			return false
		case <-s.closed:
			timer.Stop()
			return false
		}
	}
	return true
}

// completedWork returns the work that is done in a time under a slowdown factor.
func completedWork(spent time.Duration, slow float64) time.Duration {
	if slow <= 0 {
		return spent
	}
	return time.Duration(float64(spent) / slow)
}
