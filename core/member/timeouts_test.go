package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// boundedMesh returns a mesh of n daemons that each send at most rate heartbeats per
// second.
func boundedMesh(n int, rate float64) *fleet {
	f := newFleetWith(func(c *Config) {
		c.Period = 400 * time.Millisecond
		c.SuspectAfter = 1300 * time.Millisecond
		c.WatchedPeriod = 120 * time.Millisecond
		c.WatchedSuspect = 390 * time.Millisecond
		c.WatchedDead = 1500 * time.Millisecond
		c.MaxHeartbeatsPerSecond, c.MaxWatchedHeartbeatsPerSecond = rate, 10*rate
	}, Mesh, n, 5, 1)
	f.run(5 * time.Second)
	return f
}

// sentPerDaemon returns the mean number of messages per daemon and second.
func (f *fleet) sentPerDaemon(d time.Duration) float64 {
	f.count, f.messages = true, 0
	f.run(d)
	f.count = false
	return float64(f.messages) / d.Seconds() / float64(len(f.names))
}

// within asserts that a condition holds within a time limit.
func (f *fleet) within(t *testing.T, bound time.Duration, what string, holds func() bool) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	took, ok := f.until(20*time.Second, holds)
	is.True(ok)
	t.Logf("%s after %v", what, took)
	is.True(took <= bound)
}

// TestHeartbeatRateBound checks that the number of heartbeats per daemon does not
// grow with the fleet: small hosts need their capacity for requests.
func TestHeartbeatRateBound(t *testing.T) {
	is := is.New(t)
	without := boundedMesh(90, 0).sentPerDaemon(10 * time.Second)
	with := boundedMesh(90, 60).sentPerDaemon(10 * time.Second)
	nine := boundedMesh(9, 60).sentPerDaemon(10 * time.Second)
	t.Logf("messages per daemon and second: 90 daemons %.0f, without a bound %.0f; 9 daemons %.0f", with, without, nine)
	is.True(with <= 63)
	is.True(nine >= 19) // every 400 ms, as without a bound
}

func TestStretchedPeriodDetection(t *testing.T) {
	is := is.New(t)
	f := boundedMesh(90, 60)
	f.loss = 0.02
	f.run(20 * time.Second)
	for _, name := range f.names {
		is.Equal(f.deaths(name), 0)
	}
	f.loss = 0
	f.stopped["host-003"] = true
	f.within(t, 12*time.Second, "dead", func() bool { return f.allSeeOne("host-003", Dead) })
}

// TestWatchedDaemonInLargeMesh checks that a watched daemon, which callers wait for,
// is detected sooner in a large mesh as well.
func TestWatchedDaemonInLargeMesh(t *testing.T) {
	f := boundedMesh(90, 60)
	f.members["host-003"].SetLocalStatus(LocalStatus{Watched: true})
	f.run(3 * time.Second)
	f.stopped["host-003"] = true
	f.within(t, 800*time.Millisecond, "suspected by all", func() bool {
		for _, name := range f.names {
			if e, _ := f.members[name].Get("host-003"); name != "host-003" && e.State == Alive {
				return false
			}
		}
		return true
	})
}

// TestNewDaemonGetsImmediateHeartbeats checks that a new daemon learns of all others
// without waiting for their next regular heartbeats.
func TestNewDaemonGetsImmediateHeartbeats(t *testing.T) {
	f := boundedMesh(90, 60)
	f.stopped["host-003"] = true
	f.run(20 * time.Second)
	f.start("host-003", 2)
	f.within(t, 100*time.Millisecond, "new daemon sees all alive", func() bool { return len(f.members["host-003"].Live()) == 90 })
}

// TestPeriodFactorIsBounded checks that the effect of a reported period on the
// timeouts is bounded.
func TestPeriodFactorIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig(Mesh)
	is.Equal(cfg.suspectAfter(&Entry{Period: time.Hour}), maxPeriodFactor*cfg.SuspectAfter)
	is.Equal(cfg.suspectAfter(&Entry{Period: -time.Hour}), cfg.SuspectAfter)
}
