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

// dice is a seeded source that the daemons share.
type sharedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (d *sharedRand) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < p
}

// TestAtMostOnceWithLostCalls has many callers repeat few keys at all daemons,
// over a table that loses replies and calls between daemons that are lost
// before or behind their effect. A key runs at most once, and a replay is the
// answer of that run.
func TestAtMostOnceWithLostCalls(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 6)
	share := 0.3
	r.table.Inject(wire.Fault{Target: "table", LoseReplies: &share, StaleReads: &share})
	d := &sharedRand{rng: rand.New(rand.NewPCG(1, 2))}
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection lost")
	for _, w := range r.writers {
		w.begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
			if d.chance(0.1) {
				return BeginReply{}, lost
			}
			reply, err := w.InProcess.Begin(ctx, to, call)
			if d.chance(0.2) {
				return BeginReply{}, lost
			}
			return reply, err
		}
		w.finish = func(ctx context.Context, to id.Daemon, call *FinishCall) (FinishReply, error) {
			if d.chance(0.1) {
				return FinishReply{}, lost
			}
			reply, err := w.InProcess.Finish(ctx, to, call)
			if d.chance(0.2) {
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
				held, answer, _ := r.attempt((n+try)%len(r.daemons), key, token)
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
					r.daemons[(n+try)%len(r.daemons)].Finish(*held, answerOutcome(string(token)))
				}
			}
		})
	}
	running.Wait()
	is.True(len(runs) > keys/2) // most keys ran
}
