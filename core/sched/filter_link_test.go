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
	is.True(linkFilter{}.keepPair(c, p)) // 0.5 s if it is the only transfer
	is.True(near(p.transfer, 500*ms))
	c.memo = nil
	p.link.add(c.now, transfer{owner: 1, start: p.prefillEnd(), remaining: 500_000, deadline: p.prefillEnd() + 800*ms})
	is.True(!linkFilter{}.keepPair(c, p)) // 1 s if both share the link
	c.memo = nil
	c.kvBytes = 200_000
	is.True(linkFilter{}.keepPair(c, p)) // 0.4 s, and 0.7 s for the other transfer
	is.True(near(p.transfer, 400*ms))
}

func TestLinkRejectsTransferThatDelaysOthers(t *testing.T) {
	is := is.New(t)
	l := &link{rate: 1e6}
	l.add(0, transfer{owner: 1, start: 0, remaining: 700_000, deadline: 800 * ms})
	_, fits := l.fits(0, 0, 200_000, 800*ms)
	is.True(!fits) // the first would end at 0.9 s
	_, fits = l.fits(0, 600*ms, 90_000, 800*ms)
	is.True(fits) // 0.1 s of the first transfer is left; both end in time
	_, fits = l.fits(700*ms, 700*ms, 700_000, 800*ms)
	is.True(fits) // the first transfer has ended
	l.remove(700*ms, 1)
	is.Equal(len(l.transfers), 0)
}

// near is true if the durations differ by less than 0.1 ms.
func near(a, b time.Duration) bool { return (a - b).Abs() < ms/10 }
