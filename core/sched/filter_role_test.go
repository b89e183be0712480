package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

func TestRoleFilterPrefersReportOverLabel(t *testing.T) {
	is := is.New(t)
	f := roleFilter{role: live.RoleDecode}
	e := testEndpoint("e", live.RoleDecode)
	keeps(is, f, nil, e, true)
	e.reported = true
	e.report.Role = live.RolePrefill
	keeps(is, f, nil, e, false)
	e.report.Role = ""
	keeps(is, f, nil, e, true)
	e.inPool = false
	keeps(is, f, nil, e, false)
}
