package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/feed"
)

// TestReadersWithASilentStoreAreReplacedInTime checks the sum of the timeouts until
// readers whose connections to the store are dead are replaced. Two seconds after an
// endpoint has left, a daemon that could know of it must send it nothing, even if all
// readers lose the store at the same time and no connection reports an error.
func TestReadersWithASilentStoreAreReplacedInTime(t *testing.T) {
	is := is.New(t)
	const bound = 2 * time.Second
	detected := endpointsWait + feed.CallMargin
	reported := detected + memberPeriod
	replaced := reported + readersInterval
	is.True(replaced < bound)
}
