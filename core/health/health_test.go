package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

const usual = 10 * time.Millisecond

// fleet drives n decode endpoints of one pool.
type fleet struct {
	*Detector
	now      time.Duration
	changes  []Change
	requests int
}

func newFleet(n int) *fleet {
	f := &fleet{Detector: New(Config{})}
	var members []Member
	for i := range n {
		members = append(members, Member{Endpoint: name(i), Pool: "p", Role: live.RoleDecode})
	}
	f.Configure(0, members)
	return f
}

func name(i int) id.Endpoint { return id.Endpoint(fmt.Sprint("e", i)) }

// round sends one request to each allowed endpoint and ends it with the outcome
// that how returns; a zero kind leaves it in flight.
func (f *fleet) round(n int, how func(i int) (OutcomeKind, time.Duration)) {
	f.now += 250 * time.Millisecond
	f.changes = append(f.changes, f.Tick(f.now)...)
	for i := range n {
		if !f.Allowed(name(i)) {
			continue
		}
		f.requests++
		r := id.Request(fmt.Sprint(f.requests))
		f.RecordStart(f.now, name(i), r, 100*time.Millisecond)
		kind, latency := how(i)
		if kind != 0 {
			f.changes = append(f.changes, f.Outcome(f.now, name(i), Result{Request: r, Kind: kind, Latency: latency})...)
		}
	}
}

func onlyFor(bad int, kind OutcomeKind, latency time.Duration) func(int) (OutcomeKind, time.Duration) {
	return func(i int) (OutcomeKind, time.Duration) {
		if i == bad {
			return kind, latency
		}
		return OK, usual
	}
}

func TestGreyFailuresAreEjectedAndRecover(t *testing.T) {
	cases := []struct {
		name    string
		kind    OutcomeKind
		latency time.Duration
		reason  Reason
	}{
		{"fails", Failed, 0, ReasonErrors},
		{"times out", TimedOut, 0, ReasonErrors},
		{"crashes", Crashed, 0, ReasonCrashed},
		{"slow", OK, 5 * usual, ReasonSlow},
		{"stuck", 0, 0, ReasonStuck},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(5)
			for f.State(name(2)) == Healthy {
				f.round(5, onlyFor(2, c.kind, c.latency))
			}
			is.True(f.now < 5*time.Second)
			is.Equal(f.changes, []Change{{Endpoint: name(2), State: Ejected, Reason: c.reason, For: DefaultEjectMin}})
			// The endpoint still fails its single probes, so its ejections get longer.
			for len(f.changes) < 5 {
				f.round(5, onlyFor(2, c.kind, c.latency))
			}
			is.Equal(f.changes[2].Reason, ReasonProbe)
			is.Equal(f.changes[4].For, 4*DefaultEjectMin)
			for f.State(name(2)) != Healthy {
				f.round(5, onlyFor(2, OK, usual))
			}
			is.Equal(f.changes[len(f.changes)-1].Reason, ReasonRecovered)
			is.True(f.Allowed(name(2)))
		})
	}
}

func TestMostOfAGroupIsNeverEjected(t *testing.T) {
	for n, limit := range map[int]int{1: 0, 2: 1, 4: 1, 5: 2, 18: 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(n)
			for range 200 {
				f.round(n, func(int) (OutcomeKind, time.Duration) { return Crashed, 0 })
				out := 0
				for i := range n {
					if f.State(name(i)) != Healthy {
						out++
					}
				}
				is.Equal(out, limit)
			}
		})
	}
}

func TestOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.Outcome(0, name(0), Result{Kind: Crashed})
	is.True(!f.Allowed(name(0)))
	f.Tick(DefaultEjectMin)
	is.True(f.Allowed(name(0)))
	f.RecordStart(DefaultEjectMin, name(0), "probe", 0)
	is.True(!f.Allowed(name(0)))
	f.Outcome(DefaultEjectMin, name(0), Result{Request: "probe", Kind: Neutral})
	is.True(f.Allowed(name(0)))
}

func TestLongAnswersAreNotStuck(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.RecordStart(0, name(0), "decode", 0)               // produces tokens for a minute
	f.RecordStart(0, name(1), "prefill", 20*time.Second) // expected to take long
	f.RecordStart(0, name(2), "stuck", 100*time.Millisecond)
	for now := time.Duration(0); now < time.Minute; now += 500 * time.Millisecond {
		f.Progress(now, name(0))
		f.changes = append(f.changes, f.Tick(now)...)
		if now < 55*time.Second && now > DefaultStuckAfter {
			is.Equal(f.changes[0], Change{Endpoint: name(2), State: Ejected, Reason: ReasonStuck, For: DefaultEjectMin})
		}
	}
	is.Equal(f.State(name(0)), Healthy)
}

func TestConfigureKeepsRecords(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.Outcome(0, name(0), Result{Kind: Crashed})
	f.Configure(0, []Member{{Endpoint: name(0), Pool: "p", Role: live.RoleDecode}, {Endpoint: name(1), Pool: "p", Role: live.RoleDecode}})
	is.True(!f.Allowed(name(0)))
	f.Configure(0, []Member{{Endpoint: name(0), Pool: "p", Role: live.RolePrefill}})
	is.True(f.Allowed(name(0))) // another role starts a new record
	is.True(f.Allowed("unknown"))
}
