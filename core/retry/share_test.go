package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	testSpan  = 10 * time.Second
	testStart = time.Minute
	// testPartitioned is how long silent daemons count as partitioned.
	testPartitioned = time.Minute
	usableAt        = testStart + testSpan + joinDelay
)

// whole returns a fleet of the given size, all of which is reached.
func whole(daemons int) Fleet { return Fleet{Daemons: daemons, Reached: daemons} }

// observing returns a Share that observes a fleet of the given size up to a time.
func observing(sharers int, until time.Duration) *Share {
	s := NewShare(testSpan, testPartitioned)
	for at := testStart; at <= until; at += time.Second {
		s.Observe(at, whole(sharers))
	}
	return s
}

// TestAProcessThatStartsHasNoShareUntilTheRetriesOfItsFormerOneAreOver checks when a
// process may use its share of the slack, and that it needs to know the fleet for it.
func TestAProcessThatStartsHasNoShareUntilTheRetriesOfItsFormerOneAreOver(t *testing.T) {
	is := is.New(t)
	s := observing(9, testStart+testSpan)
	is.Equal(s.Sharers(testStart), 0)
	is.Equal(s.Sharers(testStart+testSpan), 0) // the others may not all know of it yet
	s.Observe(usableAt, whole(9))
	is.Equal(s.Sharers(usableAt), 9)
	s.Observe(usableAt, whole(0))
	is.Equal(s.Sharers(usableAt), 0)
}

// TestTheFirstStartOfAFleetNeedsNoWait checks that a daemon that can have no former
// process uses its share as soon as it knows the fleet.
func TestTheFirstStartOfAFleetNeedsNoWait(t *testing.T) {
	is := is.New(t)
	s := NewShare(testSpan, testPartitioned)
	s.SkipWait(testStart + testSpan)
	is.Equal(s.Sharers(testStart), 0)
	s.Observe(testStart, whole(9))
	is.Equal(s.Sharers(testStart), 9)

	late := NewShare(testSpan, testPartitioned)
	late.SkipWait(testStart)
	late.Observe(testStart+time.Second, whole(9))
	is.Equal(late.Sharers(testStart+time.Second), 0) // the others may have taken its share over
}

// TestTheSharesOfTheDeadAreTakenOverOneSpanLater guards against survivors that use the
// share of a daemon whose own retries still count. A larger fleet counts at once.
func TestTheSharesOfTheDeadAreTakenOverOneSpanLater(t *testing.T) {
	is := is.New(t)
	s := observing(9, usableAt)
	for at := usableAt + time.Second; at <= usableAt+testSpan; at += time.Second {
		s.Observe(at, whole(5))
		is.Equal(s.Sharers(at), 9)
	}
	s.Observe(usableAt+testSpan+time.Second, whole(5))
	is.Equal(s.Sharers(usableAt+testSpan+time.Second), 5)
	s.Observe(usableAt+testSpan+time.Second, whole(12))
	is.Equal(s.Sharers(usableAt+testSpan+time.Second), 12)
}

// TestAProcessThatWasFrozenForASpanStartsAnew guards against a daemon that wakes up and
// uses a share that the others have taken over.
func TestAProcessThatWasFrozenForASpanStartsAnew(t *testing.T) {
	is := is.New(t)
	s := observing(9, usableAt)
	woke := usableAt + testSpan + time.Second
	is.Equal(s.Sharers(woke), 0)
	s.Observe(woke, whole(9))
	is.Equal(s.Sharers(woke), 0)
	for at := woke; at <= woke+testSpan+joinDelay; at += time.Second {
		s.Observe(at, whole(9))
	}
	is.Equal(s.Sharers(woke+testSpan+joinDelay), 9)
}

// TestAMinorityHasNoShare guards against daemons on both sides of a partition that each
// use all of the slack. Those that don't come back within testPartitioned are lost for good.
func TestAMinorityHasNoShare(t *testing.T) {
	is := is.New(t)
	s := observing(9, usableAt)
	cut := Fleet{Daemons: 9, Reached: 4}
	s.Observe(usableAt+time.Second, cut)
	is.Equal(s.Sharers(usableAt+time.Second), 0)
	s.Observe(usableAt+2*time.Second, whole(9))
	is.Equal(s.Sharers(usableAt+2*time.Second), 9) // nobody has taken its share over yet

	alone := usableAt + 3*time.Second
	for at := alone; at < alone+testPartitioned; at += time.Second {
		s.Observe(at, whole(4))
		is.Equal(s.Sharers(at), 0)
	}
	again := alone + testPartitioned + testPartitioned/slotsPerSpan
	for at := again; at < again+testSpan+joinDelay; at += time.Second {
		s.Observe(at, whole(4))
		is.Equal(s.Sharers(at), 0)
	}
	s.Observe(again+testSpan+joinDelay, whole(4))
	is.Equal(s.Sharers(again+testSpan+joinDelay), 4)
}
