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

// TestAFirstStartProvesNothingAfterAStandstill guards against a daemon of a fleet's first start
// that stood still, and records versions behind a return of the store as if it had seen all.
func TestAFirstStartProvesNothingAfterAStandstill(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.sleep(time.Second)
	f.list("v1")
	copied := maps.Clone(f.rows)
	f.hang("d1") // it stands still
	f.listAt("d2", "v1", "v2")
	f.listAt("d2", "v1")
	f.kill("d2")
	f.sleep(stallLimit + time.Second)
	f.set(func() { f.hung["d1"] = false })
	f.returnFrom(copied)
	f.check("d1")
	f.sleep(time.Second)
	_, ok := f.find("d1")
	is.True(!ok)
}
