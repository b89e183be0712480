package app

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// Guards against permanent refusals by a daemon without a configuration. A daemon
// that had just started looked valid keys up in an empty index and refused them
// with status 401, without a retry delay and without a log line. It must refuse
// with a retry delay, and log:
//
//	event=rejected path=/v1/completions code=unavailable revision=0 newest=false
func TestDaemonWithoutAConfigurationRefusesKeysTemporarily(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	f.daemons[0].Kill()
	down, up := true, false
	is.NoErr(f.platform.Inject(wire.Fault{Target: "table", Down: &down}))
	f.daemons[0] = f.start(0)

	prompt := strings.Repeat("barge slot check. ", 40)
	completion := func() *http.Request {
		return f.completionRequest(context.Background(), f.daemons[0], teamKey,
			opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 4})
	}
	call := completion()
	call.URL.Path = opapi.PathServices + "order-desk/slots"
	for _, req := range []*http.Request{completion(), call} {
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		var body opapi.ErrorBody
		is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
		is.NoErr(resp.Body.Close())
		is.Equal(body.Error.Code, verdict.CodeUnavailable)
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.Equal(body.Error.Verdict, verdict.NotRun.String())
		is.True(body.Error.RetryAfterMS > 0)
	}

	is.NoErr(f.platform.Inject(wire.Fault{Target: "table", Down: &up}))
	f.waitFor("the daemon serves the request", func() bool {
		status, _ := f.do(completion())
		return status == http.StatusOK
	})
	wrong := f.completionRequest(context.Background(), f.daemons[0], "no-such-key",
		opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 4})
	status, _ := f.do(wrong)
	is.Equal(status, http.StatusUnauthorized)
}
