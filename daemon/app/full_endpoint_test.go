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

// One caller in 420 runs of a fleet ended with "overloaded", which the pool's
// owner never says without an advice when to come back: an endpoint did, whose
// slots were taken by work that the owner did not know of yet. Brought about here
// by calls from elsewhere and reports that lag:
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
	is.True(strings.Contains(got.body, "no free slot")) // the endpoint's own word
	is.True(got.retryAfter != "")
}
