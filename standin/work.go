package standin

import "time"

// work waits for as long as d of work takes; false if stop closed or the
// stand-in ended first. A change of the slow fault holds for the work that is left.
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

// workDone is the work that a time was enough for.
func completedWork(spent time.Duration, slow float64) time.Duration {
	if slow <= 0 {
		return spent
	}
	return time.Duration(float64(spent) / slow)
}
