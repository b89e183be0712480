package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// sharedRand is a seeded random source for concurrent use.
type sharedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// chance returns true with probability p.
func (s *sharedRand) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// TestAtMostOnceWithLostCalls repeats a few keys from many callers at all daemons.
// The table loses replies, and calls between daemons are lost before or after they
// take effect. A key must run at most once, and a replay must return the answer of
// that run.
func TestAtMostOnceWithLostCalls(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 6)
	share := 0.3
	h.table.Inject(wire.Fault{Target: "table", LoseReplies: &share, StaleReads: &share})
	random := &sharedRand{rng: rand.New(rand.NewPCG(1, 2))}
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection lost")
	for _, w := range h.writers {
		w.begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
			if random.chance(0.1) {
				return BeginReply{}, lost
			}
			reply, err := w.InProcess.Begin(ctx, to, call)
			if random.chance(0.2) {
				return BeginReply{}, lost
			}
			return reply, err
		}
		w.finish = func(ctx context.Context, to id.Daemon, call *FinishCall) (FinishReply, error) {
			if random.chance(0.1) {
				return FinishReply{}, lost
			}
			reply, err := w.InProcess.Finish(ctx, to, call)
			if random.chance(0.2) {
				return FinishReply{}, lost
			}
			return reply, err
		}
	}
	const keys, callers, tries = 30, 24, 30
	var mu sync.Mutex
	runs := map[string]string{}
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			for try := range tries {
				key := fmt.Sprint("k", (n+try)%keys)
				token := claim.Token(fmt.Sprint(n, ".", try))
				held, answer, _ := h.attempt((n+try)%len(h.daemons), key, token)
				if held == nil && answer == nil {
					continue
				}
				mu.Lock()
				ran, before := runs[key]
				if held != nil {
					runs[key] = string(token)
				}
				mu.Unlock()
				if held != nil && before {
					t.Errorf("%s runs for %s and %s", key, ran, token)
				}
				if answer != nil && string(answer.Body) != ran {
					t.Errorf("%s replays %q, ran as %q", key, answer.Body, ran)
				}
				if held != nil {
					h.daemons[(n+try)%len(h.daemons)].Finish(*held, answerOutcome(string(token)))
				}
			}
		})
	}
	running.Wait()
	is.True(len(runs) > keys/2) // most keys ran
}
