package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// TestOnlyOneCatchUpRunsAtATime guards against an attempt for each daemon that reports
// a newer revision: 89 others may report the same change within milliseconds.
func TestOnlyOneCatchUpRunsAtATime(t *testing.T) {
	is := is.New(t)
	var p catchUpTarget
	is.True(p.observe("a", 7))
	is.True(!p.observe("b", 7))
	is.True(!p.observe("c", 6)) // has an older revision than the others
	from, revision, more := p.next(5, 0)
	is.Equal(from, id.Daemon("b"))
	is.Equal(revision, uint64(7))
	is.True(more)

	is.True(!p.observe("d", 9)) // a newer revision meanwhile: the catch-up continues
	_, revision, more = p.next(7, 1)
	is.Equal(revision, uint64(9))
	is.True(more)
	_, _, more = p.next(9, 2)
	is.True(!more)
	is.True(p.observe("a", 10)) // the next change starts another catch-up
}

func TestCatchUpEndsAfterMaxAttempts(t *testing.T) {
	is := is.New(t)
	var p catchUpTarget
	p.observe("a", 7)
	_, _, more := p.next(5, maxCatchUpAttempts)
	is.True(!more)
	is.True(p.observe("a", 7)) // a further report starts another catch-up
}
