package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// TestOneAttemptAtATimeToCatchUp: 89 others tell of the same change within
// milliseconds.
func TestOneAttemptAtATimeToCatchUp(t *testing.T) {
	is := is.New(t)
	var p catchUpTarget
	is.True(p.observe("a", 7))
	is.True(!p.observe("b", 7))
	is.True(!p.observe("c", 6)) // knows less than the others
	from, revision, more := p.next(5, 0)
	is.Equal(from, id.Daemon("b"))
	is.Equal(revision, uint64(7))
	is.True(more)

	is.True(!p.observe("d", 9)) // news meanwhile: the attempts go on
	_, revision, more = p.next(7, 1)
	is.Equal(revision, uint64(9))
	is.True(more)
	_, _, more = p.next(9, 2)
	is.True(!more)
	is.True(p.observe("a", 10)) // and begin again with the next change
}

func TestAPursuitEndsThoughNothingIsLearned(t *testing.T) {
	is := is.New(t)
	var p catchUpTarget
	p.observe("a", 7)
	_, _, more := p.next(5, maxCatchUpAttempts)
	is.True(!more)
	is.True(p.observe("a", 7)) // whoever tells of it again begins it again
}
