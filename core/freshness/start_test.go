package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func newStart() Start {
	return NewStart(StartConfig{Wait: 2 * time.Second, HeardFor: 3 * time.Second})
}

func TestAStartWithoutPeersWaitsForALimitedTime(t *testing.T) {
	is := is.New(t)
	s := newStart()
	is.True(!s.MayUse(time.Second, 10))
	is.True(!s.MayUse(2999*time.Millisecond, 10))
	is.True(s.MayUse(3*time.Second, 10))
}

func TestAStartWhosePeersHaveAnsweredWaitsNoLonger(t *testing.T) {
	is := is.New(t)
	s := newStart()
	is.True(!s.MayUse(time.Second, 10))
	s.Heard(time.Second, 10)
	s.Answered()
	is.True(s.MayUse(time.Second, 10))
}

// A configuration that a peer has replaced is not used while that peer lives, whatever else
// is over.
func TestAStartDoesNotUseWhatALivePeerHasReplaced(t *testing.T) {
	is := is.New(t)
	s := newStart()
	s.Answered()
	s.Heard(0, 20)
	s.Heard(time.Second, 15) // another peer is behind
	is.True(!s.MayUse(2*time.Second, 10))
	s.Heard(2500*time.Millisecond, 20)
	is.True(!s.MayUse(5*time.Second, 10))
	is.True(s.MayUse(5*time.Second, 20))
	is.True(s.MayUse(5500*time.Millisecond, 10)) // the peer is gone
}

// TestAnOlderConfigurationIsNotProvenAgain guards against a proof by a store that has lost the
// newer configuration of which this daemon has heard.
func TestAnOlderConfigurationIsNotProvenAgain(t *testing.T) {
	is := is.New(t)
	var x Tracker
	x.Sample(0, 0, 100*time.Second)
	x.InForce(10)
	x.Confirm(time.Second)
	x.Learn(3*time.Second, Proof{Version: 20, At: 102 * time.Second})
	x.Confirm(4 * time.Second)
	x.Learn(5*time.Second, Proof{Version: 20, At: 104500 * time.Millisecond})
	x.Learn(5*time.Second, Proof{Version: 10, At: 104 * time.Second})
	x.Learn(5*time.Second, Proof{Version: 15, At: 104 * time.Second})
	since, _ := x.Since()
	is.Equal(since, time.Second)
	x.InForce(15)
	is.True(x.Outdated())
	since, _ = x.Since()
	is.Equal(since, time.Second)
	x.InForce(20)
	x.Confirm(6 * time.Second)
	since, _ = x.Since()
	is.Equal(since, 6*time.Second)
}
