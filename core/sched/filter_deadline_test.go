package sched

import (
	"testing"

	"github.com/matryer/is"
)

func TestDeadlineFilterKeepsTimelyPairs(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	p := testPair(c) // 100 ms of prefill and 20 ms for the first token
	c.waited = 870 * ms
	is.True(deadlineFilter{}.keepPair(c, p))
	c.waited = 890 * ms
	is.True(!deadlineFilter{}.keepPair(c, p))
	c.waited = 870 * ms
	p.transfer = 20 * ms
	is.True(!deadlineFilter{}.keepPair(c, p))
}
