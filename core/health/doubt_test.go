package health

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHalfOfTheEndpointsThatLoseWorkAreDoubted answers a load on 20 endpoints of which half
// lose each second answer: they are told apart after two outcomes each, although they are too
// many to be ejected.
func TestHalfOfTheEndpointsThatLoseWorkAreDoubted(t *testing.T) {
	is := is.New(t)
	f := newFleet(20)
	for round := range 2 {
		f.round(20, func(i int) (OutcomeKind, time.Duration) {
			if i < 10 && (i+round)%2 == 0 {
				return Failed, 0
			}
			return OK, usual
		})
	}
	for i := 10; i < 20; i++ {
		is.Equal(f.Doubt(f.now, name(i)), 0.0)
	}
	doubted := 0
	for i := range 10 {
		if f.Doubt(f.now, name(i)) > 0 {
			doubted++
		}
	}
	is.Equal(doubted, 10)
}

// TestAllAreDoubtedAlikeIfAllLoseAlike answers a common cause, such as a broken link of the host
// that sends: passing over any endpoint would only move the load.
func TestAllAreDoubtedAlikeIfAllLoseAlike(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	for round := range 8 {
		f.round(6, func(int) (OutcomeKind, time.Duration) {
			if round%2 == 0 {
				return Failed, 0
			}
			return OK, usual
		})
	}
	least, most := 1.0, 0.0
	for i := range 6 {
		doubt := f.Doubt(f.now, name(i))
		least, most = min(least, doubt), max(most, doubt)
	}
	is.True(most-least < math.Log(lossyFactor)/maxEvidence) // no more apart than by one loss
}

// TestDoubtPassesWithTime guards against an endpoint that is passed over for good since it
// gets no work with which to prove itself.
func TestDoubtPassesWithTime(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.round(4, onlyFor(0, Failed, 0))
	first := f.Doubt(f.now, name(0))
	is.True(first > 0.1)
	is.True(f.Doubt(f.now+4*evidenceHalfLife, name(0)) < first/4)
	is.Equal(f.Doubt(f.now, "unknown"), 0.0)
}

// TestARestartedEndpointIsNotDoubted guards against an endpoint that is blamed for what its
// former process lost.
func TestARestartedEndpointIsNotDoubted(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.round(2, onlyFor(0, Failed, 0))
	is.True(f.Doubt(f.now, name(0)) > 0)
	f.Configure(f.now, []Member{{Endpoint: "e0-again", Pool: "p"}, {Endpoint: name(1), Pool: "p"}})
	is.Equal(f.Doubt(f.now, "e0-again"), 0.0)
}
