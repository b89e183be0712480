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

// TestAWaitingCallTakesTheNextPlace checks calls that wait for the daemon's own: they go in
// their order, not all of them wait, and one that leaves takes no place.
func TestAWaitingCallTakesTheNextPlace(t *testing.T) {
	is := is.New(t)
	g := NewGate()
	is.True(g.Begin("s", 1))
	first, ok := g.Wait("s", 1)
	is.True(ok)
	second, ok := g.Wait("s", 1)
	is.True(ok)
	_, ok = g.Wait("s", 1)
	is.True(!ok)
	is.True(g.Leave("s", first))
	g.End("s")
	select {
	case <-second:
	default:
		t.Fatal("the second call does not go")
	}
	is.True(!g.Leave("s", second)) // it has the place
	is.Equal(g.InFlight(), 1)
	is.True(!g.Begin("s", 1))
	g.End("s")
	is.Equal(g.InFlight(), 0)
	is.Equal(len(g.waiting), 0)
}
