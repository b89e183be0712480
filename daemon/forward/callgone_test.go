package forward

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestACallerThatLeavesWhileItsCallWaitsForThePartIsNotRefused checks a caller that goes while
// the daemon's part is in use: nothing is sent for it, and it counts as gone.
func TestACallerThatLeavesWhileItsCallWaitsForThePartIsNotRefused(t *testing.T) {
	is := is.New(t)
	s := &fakeEndpoints{answer: answerWith(200)}
	f, r := newQueueTest(t, s, &queueOwner{err: undecidedError})
	for range 4 * 6 / 2 {
		is.True(f.fallbacks.Begin("s", 4*6/2))
	}
	ctx, leave := context.WithCancel(context.Background())
	leave()
	_, err := f.Run(ctx, r)
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.Code, verdict.CodeCallerGone)
	is.Equal(f.stats.callFallbacks.Value("s/refused"), int64(0))
	is.Equal(len(s.sent), 0)
}
