package origins

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// failingRows fails reads of whole tables until it is told not to.
type failingRows struct {
	Store
	fails bool
	reads int
}

// Rows implements Store.
func (s *failingRows) Rows(ctx context.Context, name string) ([]table.Row, error) {
	s.reads++
	if s.fails {
		return nil, errors.New("429")
	}
	return s.Store.Rows(ctx, name)
}

// TestAReadThatFailedIsSoonRepeated guards against streams of a large fleet that are refused
// for seconds since one read was.
func TestAReadThatFailedIsSoonRepeated(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1", "v2")
	f.begin("d1", "v1")
	f.write("d1")
	f.restartAll("v1", "v2")
	o := f.daemons["d2"]
	store := &failingRows{Store: o.cfg.Store, fails: true}
	o.cfg.Store, o.cfg.Daemons = store, func() int { return 420 }
	_, ok := f.find("d2")
	is.True(!ok)
	store.fails = false
	f.sleep(1100 * time.Millisecond) // a little more than the caller is advised to wait
	_, ok = f.find("d2")
	is.True(ok)
}

// TestACallerThatNamesNoAttemptCausesNoRead guards against reads of all daemons' rows for a
// stream that no row can name.
func TestACallerThatNamesNoAttemptCausesNoRead(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	f.list("v1", "v2")
	o := f.daemons["d1"]
	store := &failingRows{Store: o.cfg.Store}
	o.cfg.Store = store
	_, ok := o.Find(context.Background(), origin.Stream{Service: "s"})
	is.True(!ok)
	is.Equal(store.reads, 0)
}
