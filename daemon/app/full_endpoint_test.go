package app

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/standin"
)

// Guards against a refusal with code "overloaded" but without a retry delay. The
// pool's owner always sends a delay, but an endpoint refuses on its own when its
// slots are taken by work that the owner has no report of yet. One caller in 420
// runs of a fleet got such a refusal. Here, calls that bypass the daemons and
// delayed load reports cause it:
//
//	event=retry again=false attempt=1 why=not_retryable code=overloaded
//	  err="overloaded (not-run): GET /stems/7 at 127.0.0.1:39241: status 429: no free slot"
func TestRefusalByAFullEndpointHasARetryDelay(t *testing.T) {
	is := is.New(t)
	cfg := standin.Bunker()
	for i := range cfg.Plains {
		cfg.Plains[i].Slots = 1
		cfg.Plains[i].WorkTime = time.Minute
		cfg.Plains[i].LoadLag = time.Minute
	}
	f := newTestFleet(t, 1, cfg, nil)
	for _, e := range f.platform.Addresses().Endpoints[len(f.platform.Engines):] {
		go func() {
			if resp, err := http.Get("http://" + e.Address + "/elsewhere"); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	f.waitFor("all slots are taken", func() bool { return f.runs() == int64(len(f.platform.Plains)) })

	got := f.call(f.daemons[0], http.MethodGet, teamKey, "", "")
	is.Equal(got.verdict, verdict.NotRun.String())
	is.True(strings.Contains(got.body, "no free slot")) // the endpoint's own message
	is.True(got.retryAfter != "")
}
