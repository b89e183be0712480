package retry

import "time"

// slotsPerSpan is the number of slots that a span is divided into.
const slotsPerSpan = 20

// slots holds one number for each slot of a sliding span, and for the one slot before
// it, so that the numbers of any span of that length are all there.
type slots struct {
	length time.Duration
	values [slotsPerSpan + 1]int
	newest int64
}

func newSlots(span time.Duration) slots { return slots{length: span / slotsPerSpan} }

// advance clears the slots that have left the span.
func (s *slots) advance(now time.Duration) {
	slot := int64(now / s.length)
	if slot-s.newest > slotsPerSpan {
		clear(s.values[:])
		s.newest = slot
	}
	for s.newest < slot {
		s.newest++
		*s.current() = 0
	}
}

// current returns the newest slot.
func (s *slots) current() *int { return &s.values[s.newest%int64(len(s.values))] }

// at returns the slot that is the given number of slots older than the newest one; at most
// slotsPerSpan.
func (s *slots) at(age int) *int {
	count := int64(len(s.values))
	slot := (s.newest - int64(age)) % count
	if slot < 0 {
		slot += count
	}
	return &s.values[slot]
}

func (s *slots) sum() int {
	n := 0
	for _, v := range s.values {
		n += v
	}
	return n
}

// raise raises the newest slot to n, if it holds less.
func (s *slots) raise(now time.Duration, n int) {
	s.advance(now)
	current := s.current()
	*current = max(*current, n)
}

func (s *slots) max() int {
	most := 0
	for _, v := range s.values {
		most = max(most, v)
	}
	return most
}

// newestFirst returns the numbers of all slots.
func (s *slots) newestFirst() []int {
	out := make([]int, len(s.values))
	for age := range out {
		out[age] = *s.at(age)
	}
	return out
}

// addAt adds n to the slot of the given age, unless that has left the span.
func (s *slots) addAt(age, n int) {
	if age <= slotsPerSpan {
		*s.at(age) += n
	}
}
