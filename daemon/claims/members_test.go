package claims

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func fleet(n int) []id.Daemon {
	out := make([]id.Daemon, n)
	for i := range out {
		out[i] = id.Daemon(fmt.Sprintf("d%03d", i))
	}
	return out
}

// TestWriteBudget: for any size of the fleet, its rate of transactions must stay
// within the two budgets, and the interval between a writer's transactions short.
func TestWriteBudget(t *testing.T) {
	for _, n := range []int{1, 3, 9, 24, 25, 100, 420} {
		is := is.New(t)
		members := fleet(n)
		writers := chooseWriters(members, true)
		is.Equal(len(writers) == 0, n <= maxSelfWriters)
		rate := 0.0
		for _, d := range members {
			rate += 1 / minIntervalOf(d, n, writers).Seconds()
		}
		is.True(rate < writerBudget+nonWriterBudget+1)
		for _, d := range writers {
			is.True(minIntervalOf(d, n, writers) < 20*time.Millisecond)
		}
		is.Equal(len(chooseWriters(members, false)), 0) // no Writers configured
	}
}

func TestSetMembersChoosesWriters(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3)
	c := h.daemons[0]
	c.SetMembers(fleet(100))
	is.Equal(len(*c.writers.Load()), writerCount)
	is.Equal(len(c.writersOf("claim/t/s/x")), writerCount)
	c.SetMembers(fleet(9))
	is.Equal(len(c.writersOf("claim/t/s/x")), 0)
	held, _, err := h.begin(0, "k")
	is.True(err == nil && held != nil)
}
