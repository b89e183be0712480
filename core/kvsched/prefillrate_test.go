package kvsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/sched"
)

// TestPromptsEndingTogetherDoNotInflateRate replays a burst at one prefill engine
// that reads 30,000 tokens a second and whose ends are told in pairs, a
// millisecond apart: no more than the horizon may be given out ahead, or the
// reads take several times as long as they should.
func TestPromptsEndingTogetherDoNotInflateRate(t *testing.T) {
	is := is.New(t)
	const prompt = 1200
	const takes = 40 * time.Millisecond
	l := newLedger(t, document(1, 8, 100000))
	var reading []*sched.Grant
	take := func(actions []sched.Action) {
		for _, g := range grants(actions) {
			if g.Prefill != "" {
				reading = append(reading, g)
			}
		}
	}
	now := start
	for i := range 60 {
		take(l.Want(now, want(fmt.Sprint("w", i), prompt, 50)))
	}
	most := 0
	for range 8 {
		now += 2 * takes
		ended := reading[:min(2, len(reading))]
		reading = reading[len(ended):]
		for i, g := range ended {
			at := now + time.Duration(i)*time.Millisecond
			take(l.Progress(at, done(g, sched.PhaseTransferring)))
			take(l.Progress(at, done(g, sched.PhaseDone)))
		}
		most = max(most, len(reading))
	}
	is.True(most <= 3) // the one that is read, and what fits in the horizon behind it
	rate := l.order[len(l.order)-1].prefillRate.perSecond()
	is.True(rate > 20000 && rate < 45000)
}
