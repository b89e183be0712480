package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLinkFilterKeepsTransfersInsideTheKVLife(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	p := testPair(c)
	is.True(linkFilter{}.keepPair(c, p)) // no limit
	p.link = &link{rate: 1e6, at: c.now}
	c.kvBytes = 500_000
	is.True(linkFilter{}.keepPair(c, p)) // 0.5 s alone
	is.True(near(p.transfer, 500*ms))
	c.memo = nil
	p.link.add(c.now, transfer{owner: 1, start: p.prefillEnd(), remaining: 500_000, deadline: p.prefillEnd() + 800*ms})
	is.True(!linkFilter{}.keepPair(c, p)) // 1 s side by side
	c.memo = nil
	c.kvBytes = 200_000
	is.True(linkFilter{}.keepPair(c, p)) // 0.4 s, and the other 0.7 s
	is.True(near(p.transfer, 400*ms))
}

func TestLinkPrefersNotToMakeOthersLate(t *testing.T) {
	is := is.New(t)
	l := &link{rate: 1e6}
	l.add(0, transfer{owner: 1, start: 0, remaining: 700_000, deadline: 800 * ms})
	_, fits := l.fits(0, 0, 200_000, 800*ms)
	is.True(!fits) // the first would end at 0.9 s
	_, fits = l.fits(0, 600*ms, 90_000, 800*ms)
	is.True(fits) // 0.1 s of the first are left, both end in time
	_, fits = l.fits(700*ms, 700*ms, 700_000, 800*ms)
	is.True(fits) // the first has ended by now
	l.remove(700*ms, 1)
	is.Equal(len(l.transfers), 0)
}

// near is true within a tenth of a millisecond.
func near(a, b time.Duration) bool { return (a - b).Abs() < ms/10 }
