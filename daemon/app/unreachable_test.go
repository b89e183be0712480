package app

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/standin"
)

// twoPerRole returns a small platform of two prefill engines, two decode engines
// and two plain endpoints, so that one of each role remains when the other fails.
func twoPerRole() standin.PlatformConfig {
	cfg := standin.Bunker()
	var engines []standin.EngineConfig
	left := map[string]int{standin.RolePrefill: 2, standin.RoleDecode: 2}
	for _, e := range cfg.Engines {
		if left[e.Role] > 0 {
			left[e.Role]--
			engines = append(engines, e)
		}
	}
	cfg.Engines = engines
	cfg.Plains = cfg.Plains[:2]
	// Leaves enough time for a second attempt on a busy host.
	cfg.PatienceMS = 10_000
	cfg.PlainPatienceMS = 10_000
	return cfg
}

// retried reports whether a daemon has logged that it retries a request.
func (f *testFleet) retried() bool {
	return strings.Contains(f.log.String(), "again=true")
}

// completeOnce sends one completion and does not retry it. It returns the status
// and the answer's text.
func (f *testFleet) completeOnce(prompt string, tokens int) (int, string) {
	f.t.Helper()
	req := f.completionRequest(context.Background(), f.daemons[0], teamKey,
		opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: tokens, Stream: true})
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, ""
	}
	text, _, _ := readSSE(f.t, resp, 0)
	return resp.StatusCode, text
}

// lastGranted returns the engine of the latest grant in a role.
func (f *testFleet) lastGranted(role string) *standin.Engine {
	f.t.Helper()
	is := is.New(f.t)
	granted := regexp.MustCompile(`event=paired .* `+role+`=(\S+)`).FindAllStringSubmatch(f.log.String(), -1)
	is.True(len(granted) > 0)
	name := granted[len(granted)-1][1]
	engines := f.platform.Config().Engines
	at := slices.IndexFunc(engines, func(e standin.EngineConfig) bool { return e.Name == name })
	is.True(at >= 0)
	return f.platform.Engines[at]
}

// TestUnreachableEngineFailsNoRequest: an engine's host loses power or its
// network while its last report is still good, and another engine is free. The
// daemon has to retry there, so that callers who do not retry get their answers.
func TestUnreachableEngineFailsNoRequest(t *testing.T) {
	for _, role := range []string{standin.RolePrefill, standin.RoleDecode} {
		t.Run(role, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(t, 1, twoPerRole(), nil)
			const tokens = 4
			for n := 0; n < 20 && !f.retried(); n++ { // the first requests show which engine is preferred
				prompt := fmt.Sprintf("%s: %d", strings.Repeat("barge, stem, hose. ", 40), n)
				status, text := f.completeOnce(prompt, tokens)
				is.Equal(status, http.StatusOK)
				is.Equal(text, standin.Answer(prompt, tokens))
				if n == 4 {
					is.NoErr(f.lastGranted(role).FillBacklog())
				}
			}
			is.True(f.retried()) // a request was sent to the engine
		})
	}
}

// TestUnreachablePlainEndpointFailsNoCall: the same for plain calls.
func TestUnreachablePlainEndpointFailsNoCall(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, twoPerRole(), nil)
	is.Equal(f.call(f.daemons[0], http.MethodGet, teamKey, "", "").status, http.StatusOK)
	is.NoErr(f.platform.Plains[0].FillBacklog())
	for n := 0; n < 20 && !f.retried(); n++ {
		var calls sync.WaitGroup
		for range 8 { // concurrent, so that new connections have to be opened
			calls.Go(func() {
				got := f.call(f.daemons[0], http.MethodPost, teamKey, "", "300 t")
				if got.status != http.StatusOK {
					t.Errorf("status %d: %s", got.status, got.body)
				}
			})
		}
		calls.Wait()
	}
	is.True(f.retried()) // a call was sent to the endpoint
}
