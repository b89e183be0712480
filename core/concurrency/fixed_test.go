package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func newFixed(members ...Member) *Fixed {
	f := NewFixed()
	f.Configure(0, members)
	return f
}

// TestFixedCrowding: the slots are full; one more request waits for a slot, which says
// nothing about how long the work itself takes.
func TestFixedCrowding(t *testing.T) {
	is := is.New(t)
	f := newFixed(Member{Endpoint: "a", Slots: 6}, Member{Endpoint: "b", Slots: 6})
	is.Equal(f.Expected(0, "a", 1), initialServiceTime)
	f.Record(ms, Sample{Endpoint: "a", Took: 120 * ms, InFlight: 12, Outcome: Completed})
	is.Equal(f.Expected(ms, "a", 6), 60*ms)
	is.Equal(f.Expected(ms, "a", 12), 120*ms)
	is.Equal(f.Expected(ms, "b", 1), 60*ms) // unknown: as the others
}

// TestFixedAllowsForMessages: while the messages of an end and of the next grant are under
// way, an endpoint of short calls ends more of them than one of long calls.
func TestFixedAllowsForMessages(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		took  time.Duration
		limit int
	}{{60 * ms, 8}, {30 * ms, 9}, {15 * ms, 10}, {ms, 15}, {20 * time.Second, 7}} {
		f := newFixed(Member{Endpoint: "a", Slots: 6})
		f.Record(ms, Sample{Endpoint: "a", Took: c.took, InFlight: 1, Outcome: Completed})
		is.Equal(f.Limit(ms, "a"), c.limit)
	}
}

// TestFixedIgnoresFailures: an endpoint that fails or refuses at once must not look fast.
func TestFixedIgnoresFailures(t *testing.T) {
	is := is.New(t)
	f := newFixed(Member{Endpoint: "a", Slots: 6})
	f.Record(ms, Sample{Endpoint: "a", Took: 60 * ms, InFlight: 1, Outcome: Completed})
	for _, outcome := range []Outcome{Refused, Failed, Unknown, TimedOut} {
		f.Record(2*ms, Sample{Endpoint: "a", Took: ms, InFlight: 1, Outcome: outcome})
	}
	is.Equal(f.Expected(2*ms, "a", 1), 60*ms)
	f.Record(3*ms, Sample{Endpoint: "a", Took: time.Second, InFlight: 1, Outcome: TimedOut})
	is.True(f.Expected(3*ms, "a", 1) > 60*ms)
}

// TestFixedHandsOver: the owner changes; the next one knows the times in service, but what
// it has measured itself since goes first. A restarted endpoint is another endpoint.
func TestFixedHandsOver(t *testing.T) {
	is := is.New(t)
	f := newFixed(Member{Endpoint: "a", Slots: 6}, Member{Endpoint: "b", Slots: 6})
	f.Record(ms, Sample{Endpoint: "a", Took: 60 * ms, InFlight: 1, Outcome: Completed})
	f.Record(ms, Sample{Endpoint: "b", Took: 30 * ms, InFlight: 1, Outcome: Completed})
	next := newFixed(Member{Endpoint: "a", Slots: 6}, Member{Endpoint: "b", Slots: 6}, Member{Endpoint: "c", Slots: 6})
	next.Record(5*ms, Sample{Endpoint: "b", Took: 40 * ms, InFlight: 1, Outcome: Completed})
	next.Restore(5*ms, f.Snapshot(3*ms))
	is.Equal(next.Expected(5*ms, "a", 1), 60*ms)
	is.Equal(next.Expected(5*ms, "b", 1), 40*ms)
	is.Equal(next.Expected(5*ms, "c", 1), 50*ms)
}
