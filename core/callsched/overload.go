package callsched

import "time"

const (
	// calmAfter is how long after its last refusal an overload has ended.
	calmAfter = time.Second
	// initialOverload is how long an overload is expected to last before any was seen.
	initialOverload = 4 * time.Second
	// overloadSmoothing is the weight of the newest overload in the expected length.
	overloadSmoothing = 0.3
)

// overload tracks the periods in which calls are refused.
type overload struct {
	began, last time.Duration
	active      bool
	// typical is the average length of the past ones; 0 if there were none.
	typical time.Duration
}

// refused records a refusal and returns how long the overload is expected to last yet: up to
// the usual length, and one that is longer for as long again as it has lasted.
func (o *overload) refused(now time.Duration) time.Duration {
	if o.active && now-o.last > calmAfter {
		o.end()
	}
	if !o.active {
		o.active, o.began = true, now
	}
	o.last = now
	lasted := now - o.began
	return max(lasted, orDefault(o.typical, initialOverload)-lasted)
}

// end takes the length of an overload into the average.
func (o *overload) end() {
	o.active = false
	lasted := o.last - o.began
	if o.typical == 0 {
		o.typical = max(lasted, 1)
		return
	}
	o.typical += time.Duration(overloadSmoothing * float64(lasted-o.typical))
}
