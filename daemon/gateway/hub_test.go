package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHubStatusIsDelayed guards against daemons connecting to all others while a fleet
// starts: until a daemon has heard of the others, it may consider itself the owner of
// a pool.
func TestHubStatusIsDelayed(t *testing.T) {
	is := is.New(t)
	var h hub
	is.True(!h.update(0, true))
	is.True(!h.update(hubSettle-time.Millisecond, true))
	is.True(h.update(hubSettle, true))
	is.True(!h.update(hubSettle+1, false)) // immediately
	is.True(!h.update(hubSettle+2, true))
	is.True(h.update(2*hubSettle+2, true))
}
