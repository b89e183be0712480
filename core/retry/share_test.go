package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const testSpan = 10 * time.Second

// TestAProcessThatStartsHasNoShareUntilTheRetriesOfItsFormerOneAreOver checks when a
// process may use its part of the slack, and that it needs to know the fleet for it.
func TestAProcessThatStartsHasNoShareUntilTheRetriesOfItsFormerOneAreOver(t *testing.T) {
	is := is.New(t)
	const start = time.Minute
	s := NewShare(start, testSpan)
	s.Observe(9)
	is.Equal(s.Sharers(start), 0)
	is.Equal(s.Sharers(start+testSpan), 0) // the others may not all know of it yet
	is.Equal(s.Sharers(start+testSpan+joinDelay), 9)
	s.Observe(0)
	is.Equal(s.Sharers(start+testSpan+joinDelay), 0)
	first := NewShare(start, testSpan)
	first.SkipWait()
	is.Equal(first.Sharers(start), 0)
	first.Observe(9)
	is.Equal(first.Sharers(start), 9)
}
