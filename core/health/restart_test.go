package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
)

// A restarted endpoint must not be ejected for failures before its restart.
func TestRestartedEndpointIsNotEjected(t *testing.T) {
	is := is.New(t)
	d := New(Config{})
	members := func(startedUnixMS int64) []Member {
		out := []Member{{Endpoint: registry.Incarnation("a", startedUnixMS), Pool: "p"}}
		for _, name := range []id.Endpoint{"b", "c", "d", "e"} {
			out = append(out, Member{Endpoint: name, Pool: "p"})
		}
		return out
	}
	d.Configure(0, members(100))
	former := registry.Incarnation("a", 100)
	now := time.Duration(0)
	for i := range 50 {
		now += 20 * time.Millisecond
		r := id.Request(rune('a' + i))
		d.RecordStart(now, former, r, time.Second)
		d.Outcome(now, former, Result{Request: r, Kind: Failed})
	}
	is.True(!d.Allowed(former))
	d.Configure(now, members(200))
	is.True(d.Allowed(registry.Incarnation("a", 200)))
	is.Equal(d.State(registry.Incarnation("a", 200)), Healthy)
}
