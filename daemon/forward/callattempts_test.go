package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// silentEndpoints never answer. It is safe for concurrent use.
type silentEndpoints struct {
	Endpoints
	mu sync.Mutex
	// at counts the attempts of each request at each endpoint.
	at map[id.Request]map[id.Endpoint]int
}

// Call implements Endpoints.
func (s *silentEndpoints) Call(ctx context.Context, a *Attempt) (*Reply, *verdict.Error) {
	s.mu.Lock()
	if s.at[a.Request.ID] == nil {
		s.at[a.Request.ID] = map[id.Endpoint]int{}
	}
	s.at[a.Request.ID][a.Endpoint.Name]++
	s.mu.Unlock()
	<-ctx.Done()
	return nil, failure(verdict.MayHaveRun, verdict.CodeDeadline)
}

// Reachable implements Endpoints.
func (s *silentEndpoints) Reachable(context.Context, registry.Endpoint) Reach { return Reached }

// TestCallsAtSilentEndpointsStayWithinTheirLimits checks that endpoints which are asked
// beside silent ones count as retries do: at most as many as the route's attempts, each
// another endpoint, and all of them paid once.
func TestCallsAtSilentEndpointsStayWithinTheirLimits(t *testing.T) {
	is := is.New(t)
	s := &silentEndpoints{at: map[id.Request]map[id.Endpoint]int{}}
	f, r := newTest(t, s)
	const requests = 50
	var wg sync.WaitGroup
	for n := range requests {
		wg.Go(func() {
			own := *r
			own.ID = id.Request(fmt.Sprint("r", n))
			_, err := f.Run(context.Background(), &own)
			if err == nil || err.Verdict != verdict.MayHaveRun || err.Code != verdict.CodeDeadline {
				t.Errorf("request %d: %v", n, err)
			}
		})
	}
	wg.Wait()
	arrived := 0
	for _, at := range s.at {
		is.True(len(at) <= 2) // the route's attempts
		for _, times := range at {
			is.Equal(times, 1)
			arrived += times
		}
	}
	repeats := arrived - requests
	is.True(repeats > 0 && repeats <= 5+requests/5) // half of the slack of 10, and a fifth of the requests
	unused := retry.NewWindow(f.RetryLimit).Left(0, 2)
	is.Equal(f.window("s").Left(f.Now()+time.Hour, 2), unused) // no retry stays taken
}
