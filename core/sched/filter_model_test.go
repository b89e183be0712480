package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

func TestModelFilterKeepsReadyEndpoints(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	e := testEndpoint("e", live.RoleDecode)
	keeps(is, modelFilter{}, c, e, true)
	e.reported = true
	e.report = Load{Reachable: true, Model: "m"}
	keeps(is, modelFilter{}, c, e, true)
	e.report.Model = "other"
	keeps(is, modelFilter{}, c, e, false)
	c.model = ""
	keeps(is, modelFilter{}, c, e, true)
	e.report.Reachable = false
	keeps(is, modelFilter{}, c, e, false)
}
