package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/feed"
)

// TestReadersThatTheStoreLeavesSilentAreReplacedInTime: an endpoint that has left
// must get nothing from a daemon that could know it two seconds later, also where
// all readers lose the store at once and no connection says so.
func TestReadersThatTheStoreLeavesSilentAreReplacedInTime(t *testing.T) {
	is := is.New(t)
	const bound = 2 * time.Second
	noticed := endpointsWait + feed.CallSlack
	told := noticed + memberPeriod
	replaced := told + readersInterval
	is.True(replaced < bound)
}
