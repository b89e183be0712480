package completion

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestRequestDelayedInItsDaemonStillAsksForAPair: right after the arrival, the daemon
// got no CPU time for longer than the service's patience. It must still ask the pool's
// owner, since engines may be free.
func TestRequestDelayedInItsDaemonStillAsksForAPair(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 3, finish: true, now: 2 * time.Second} // arrived at 0, patience 1 s
	is.True(f.run(nil) == nil)
	is.Equal(len(f.wants), 1)
	is.Equal(f.wants[0].Age, 500*time.Millisecond)
}

// TestRequestPastItsTimeoutIsRefused: after the service's timeout the caller has
// left, so that the daemon must not ask for a pair.
func TestRequestPastItsTimeoutIsRefused(t *testing.T) {
	is := is.New(t)
	f := &fakes{tokens: 3, finish: true, now: 10 * time.Second} // the service's timeout
	err := f.run(nil)
	is.Equal(len(f.wants), 0)
	is.Equal(err.Code, verdict.CodeDeadline)
	is.Equal(err.Verdict, verdict.NotRun)
}
