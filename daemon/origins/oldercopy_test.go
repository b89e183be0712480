package origins

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// returnFrom makes the store come back from an older copy of its rows.
func (f *fleet) returnFrom(copied map[string]table.Row) {
	f.set(func() {
		f.rows = map[string]table.Row{}
		for key, row := range copied {
			row.Version = table.VersionIn(1, row.Version)
			f.rows[key] = row
		}
		f.version = table.VersionIn(1, f.version)
	})
}

// TestAVersionThatOnlyTheStoreKnewIsWrittenAgain guards against a version that left before
// all daemons started, and that the copy of the store lacks.
func TestAVersionThatOnlyTheStoreKnewIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	f.list("v2")
	copied := maps.Clone(f.rows)
	f.sleep(2 * time.Minute)
	f.list("v1", "v2")
	f.begin("d1", "v1")
	f.list("v2")
	f.restartAll("v2")
	f.returnFrom(copied)
	f.readRecorded("d1")
	f.check("d1")
	f.restartAll("v2")
	is.Equal(f.daemons["d1"].history.Versions(f.now, "s"), []id.Software{"v1", "v2"})
	f.sleep(time.Minute + time.Second)
	is.Equal(f.daemons["d1"].history.Versions(f.now, "s"), []id.Software{"v2"})
}
