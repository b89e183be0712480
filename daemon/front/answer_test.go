package front

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
)

// TestErrorOfAPlainServiceHasAVerdict: the status of a plain service is passed on
// unchanged, and an error carries the verdict on whether the call may have run.
func TestErrorOfAPlainServiceHasAVerdict(t *testing.T) {
	cases := []struct {
		status   int
		replayed bool
		want     string
	}{
		{fasthttp.StatusOK, false, ""},
		{fasthttp.StatusNotFound, false, verdict.MayHaveRun.String()},
		{fasthttp.StatusInternalServerError, false, verdict.MayHaveRun.String()},
		{fasthttp.StatusInternalServerError, true, verdict.Ran.String()},
	}
	for _, c := range cases {
		is := is.New(t)
		ctx := &fasthttp.RequestCtx{}
		answer := &plaincall.Answer{Replayed: c.replayed}
		answer.Status = c.status
		writeAnswer(ctx, &plaincall.Call{ID: "r"}, answer)
		is.Equal(ctx.Response.StatusCode(), c.status)
		is.Equal(string(ctx.Response.Header.Peek(opapi.HeaderVerdict)), c.want)
	}
}
