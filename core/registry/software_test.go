package registry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// TestTheSoftwareOfARestartedEndpointIsNotKnown guards against taking the version of a
// former process for that of its successor.
func TestTheSoftwareOfARestartedEndpointIsNotKnown(t *testing.T) {
	is := is.New(t)
	l := New()
	entry := Endpoint{Name: Incarnation("i-1", 1), Instance: "i-1", StartedUnixMS: 1, Service: "s", Address: "a:1", Role: live.RoleDecode, Software: "v1"}
	l.Set(0, 1, []Endpoint{entry})
	is.True(l.Restarted("i-1", 2, live.RoleDecode))
	is.Equal(l.All()[0].Name, Incarnation("i-1", 2))
	is.Equal(l.All()[0].Software, id.Software(""))

	entry.Name, entry.StartedUnixMS, entry.Software = Incarnation("i-1", 2), 2, "v2"
	l.Set(0, 2, []Endpoint{entry})
	is.Equal(l.All()[0].Software, id.Software("v2"))
}
