package front

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestNotRunIsNeverAGatewayError: a caller that reads only the status may retry a
// request after 503, but has to assume after 502 or 504 that it may have run.
func TestNotRunIsNeverAGatewayError(t *testing.T) {
	cases := []struct {
		verdict verdict.Verdict
		code    verdict.Code
		want    int
	}{
		{verdict.NotRun, verdict.CodeDeadline, fasthttp.StatusServiceUnavailable},
		{verdict.NotRun, verdict.CodeEndpointFailed, fasthttp.StatusServiceUnavailable},
		{verdict.MayHaveRun, verdict.CodeDeadline, fasthttp.StatusGatewayTimeout},
		{verdict.MayHaveRun, verdict.CodeEndpointFailed, fasthttp.StatusBadGateway},
		{verdict.NotRun, verdict.CodeTeamLimit, fasthttp.StatusTooManyRequests},
		{verdict.NotRun, verdict.CodeInternal, fasthttp.StatusInternalServerError},
	}
	for _, c := range cases {
		is := is.New(t)
		is.Equal(statusOf(verdict.New(c.verdict, c.code, "failed")), c.want)
	}
}
