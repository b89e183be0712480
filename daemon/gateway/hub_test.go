package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestADaemonIsAHubOnlyAfterAWhile: while a fleet starts, each daemon may take
// itself for the owner of a pool until it has heard of the others, and must not
// connect to all of them.
func TestADaemonIsAHubOnlyAfterAWhile(t *testing.T) {
	is := is.New(t)
	var h hub
	is.True(!h.update(0, true))
	is.True(!h.update(hubSettle-time.Millisecond, true))
	is.True(h.update(hubSettle, true))
	is.True(!h.update(hubSettle+1, false)) // at once
	is.True(!h.update(hubSettle+2, true))
	is.True(h.update(2*hubSettle+2, true))
}
