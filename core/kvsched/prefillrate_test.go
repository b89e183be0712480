package kvsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/sched"
)

// TestPromptsEndingTogetherDoNotInflateRate: in a burst, a prefill engine of
// 30,000 tokens a second has its ends reported in pairs, a millisecond apart.
// No more than the horizon may be granted ahead, or prefills take several times
// as long as they should.
func TestPromptsEndingTogetherDoNotInflateRate(t *testing.T) {
	is := is.New(t)
	const prompt = 1200
	const prefillTime = 40 * time.Millisecond
	l := newLedger(t, document(1, 8, 100000))
	var running []*sched.Grant
	take := func(actions []sched.Action) {
		for _, g := range grants(actions) {
			if g.Prefill != "" {
				running = append(running, g)
			}
		}
	}
	now := start
	for i := range 60 {
		take(l.Want(now, want(fmt.Sprint("w", i), prompt, 50)))
	}
	maxRunning := 0
	for range 8 {
		now += 2 * prefillTime
		ended := running[:min(2, len(running))]
		running = running[len(ended):]
		for i, g := range ended {
			at := now + time.Duration(i)*time.Millisecond
			take(l.Progress(at, done(g, sched.PhaseTransferring)))
			take(l.Progress(at, done(g, sched.PhaseDone)))
		}
		maxRunning = max(maxRunning, len(running))
	}
	is.True(maxRunning <= 3) // the running prefill and those that fit in the horizon after it
	rate := l.order[len(l.order)-1].prefillRate.perSecond()
	is.True(rate > 20000 && rate < 45000)
}
