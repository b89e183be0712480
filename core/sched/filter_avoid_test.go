package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

func TestAvoidFilterExcludesFailedEndpoints(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	c.want.Avoid = []id.Endpoint{"a", "b"}
	keeps(is, avoidFilter{}, c, testEndpoint("b", live.RoleDecode), false)
	keeps(is, avoidFilter{}, c, testEndpoint("c", live.RoleDecode), true)
}
