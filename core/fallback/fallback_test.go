package fallback

import (
	"testing"

	"github.com/matryer/is"
)

// TestACutOffGroupServesItsPart checks the load of a third of the daemons that lost the
// owner: they serve no more than their part of the slots, not nothing, and not all.
func TestACutOffGroupServesItsPart(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ slots, daemons, cut, most int }{
		{180, 60, 20, 60},
		{180, 7, 2, 52}, // 25 of 25.7 for each
		{18, 3, 1, 6},
	} {
		served := 0
		for range c.cut {
			g := NewGate()
			for g.Begin("s", Share(c.slots, c.daemons)) {
				served++
			}
		}
		is.True(served > 0)
		is.True(served <= c.most)
		is.True(served < c.slots)
	}
}

// TestADaemonServesAtLeastOneCallAtATime checks the load of more daemons than slots, and of
// a daemon that knows neither.
func TestADaemonServesAtLeastOneCallAtATime(t *testing.T) {
	is := is.New(t)
	is.Equal(Share(18, 62), 1)
	is.Equal(Share(0, 0), 1)
	g := NewGate()
	is.True(g.Begin("s", 1))
	is.True(!g.Begin("s", 1))
	is.True(g.Begin("other", 1)) // each service has its own slots
	is.Equal(g.InFlight(), 2)
	g.End("s")
	is.True(g.Begin("s", 1))
}
