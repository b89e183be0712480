package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/registry"
)

// TestRestartedEndpointStartsWithNewState checks that a restarted endpoint doesn't
// inherit the calls in flight, latency, failures and ejection of its previous
// incarnation.
func TestRestartedEndpointStartsWithNewState(t *testing.T) {
	is := is.New(t)
	b := New("d", rand.New(rand.NewPCG(1, 2)))
	start := func(startedUnixMS int64) {
		b.Configure([]registry.Endpoint{{
			Name: registry.Incarnation("a", startedUnixMS), Instance: "a", StartedUnixMS: startedUnixMS, Service: "s", Domain: "d", Slots: 4,
		}})
	}
	start(100)
	former := registry.Incarnation("a", 100)
	for range ejectAfter + 2 {
		_, ok := b.Pick(0, "s", nil)
		is.True(ok)
	}
	for range ejectAfter {
		b.Done(0, former, time.Second, Failed)
	}
	is.Equal(b.Available(0, "s"), 0)
	start(200)
	is.Equal(b.Available(0, "s"), 1)
	present := b.endpoints[registry.Incarnation("a", 200)]
	is.Equal(present.inFlight, 0)
	is.Equal(present.latency, initialLatency)
	b.Done(0, former, time.Second, Unreachable)
	is.Equal(b.Available(0, "s"), 1)
}
