package origins

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAThawedDaemonTrustsNoListOfBefore guards against a host that stood still and answers
// callers before its next check.
func TestAThawedDaemonTrustsNoListOfBefore(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	f.sleep(2 * time.Minute)
	f.check("d1")
	f.cut("d1") // it stands still
	f.listAt("d2", "v1", "v2")
	f.kill("d2")
	f.set(func() { f.stale["d1"] = false })
	f.sleep(stallLimit + time.Second)
	_, ok := f.find("d1")
	is.True(!ok)
}
