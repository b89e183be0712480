package registry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// TestALeavingIsNewOnce checks that an endpoint that says in each answer that it leaves is
// reported as new once, and that memory for such endpoints is bounded.
func TestALeavingIsNewOnce(t *testing.T) {
	is := is.New(t)
	l := New()
	is.True(l.MarkLeaving("a"))
	is.True(!l.MarkLeaving("a"))
	for n := range 2 * maxSaidLeaving {
		is.True(l.MarkLeaving(id.Endpoint(fmt.Sprint(n))))
	}
	is.Equal(l.saidLeaving.Len(), maxSaidLeaving)
}
