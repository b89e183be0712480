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
	usableAt        = testStart + testSpan + DefaultJoinDelay
)

func newTestShare() *Share {
	return NewShare(ShareConfig{Span: testSpan, PartitionedFor: testPartitioned, JoinDelay: DefaultJoinDelay})
}

// whole returns a fleet of the given size, all of which is reached.
func whole(daemons int) Fleet { return Fleet{Daemons: daemons, Reached: daemons} }

// observing returns a Share that observes a fleet of the given size up to a time.
func observing(sharers int, until time.Duration) *Share {
	s := newTestShare()
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

// TestTheFirstStartOfAFleetWaitsForTheOthersOnly guards against daemons that each use all
// of the slack before they know each other, and against a wait for former processes that
// there were none of.
func TestTheFirstStartOfAFleetWaitsForTheOthersOnly(t *testing.T) {
	is := is.New(t)
	s := newTestShare()
	s.SetFirstStart(testStart + testSpan)
	s.Observe(testStart, whole(1))
	is.Equal(s.Sharers(testStart), 0)
	s.Observe(testStart+DefaultJoinDelay, whole(9))
	is.Equal(s.Sharers(testStart+DefaultJoinDelay), 9)

	late := newTestShare()
	late.SetFirstStart(testStart)
	late.Observe(testStart+time.Second, whole(9))
	is.Equal(late.Sharers(testStart+time.Second+DefaultJoinDelay), 0) // the others already use the slack
}

// TestAShareThatIsHandedOnIsUsableAtOnce checks that a process that knows what its former
// one has used goes on with its share, unless the others may have taken it over.
func TestAShareThatIsHandedOnIsUsableAtOnce(t *testing.T) {
	is := is.New(t)
	s := newTestShare()
	s.Adopt(testStart + testSpan)
	is.Equal(s.Sharers(testStart), 0)
	s.Observe(testStart, whole(9))
	is.Equal(s.Sharers(testStart), 9)

	late := newTestShare()
	late.Adopt(testStart)
	late.Observe(testStart+time.Second, whole(9))
	is.Equal(late.Sharers(testStart+time.Second), 0)
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
	for at := woke; at <= woke+testSpan+DefaultJoinDelay; at += time.Second {
		s.Observe(at, whole(9))
	}
	is.Equal(s.Sharers(woke+testSpan+DefaultJoinDelay), 9)
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
	for at := again; at < again+testSpan+DefaultJoinDelay; at += time.Second {
		s.Observe(at, whole(4))
		is.Equal(s.Sharers(at), 0)
	}
	s.Observe(again+testSpan+DefaultJoinDelay, whole(4))
	is.Equal(s.Sharers(again+testSpan+DefaultJoinDelay), 4)
}
