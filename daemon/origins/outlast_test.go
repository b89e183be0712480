package origins

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// restartAll starts all daemons again, without what they knew, with a list of versions.
func (f *fleet) restartAll(listed ...id.Software) {
	for _, name := range f.names {
		f.start(name)
	}
	f.list(listed...)
}

// TestTheOneListedVersionIsNotTakenForTheOnlyOneAfterAllDaemonsDied guards against daemons
// which conclude from their own short history, or from a reply of one as young, that the
// version which they list began a stream.
func TestTheOneListedVersionIsNotTakenForTheOnlyOneAfterAllDaemonsDied(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2", "d3")
	f.list("v1")
	f.begin("d1", "v1")
	f.list("v1", "v2")
	f.list("v2")
	f.sleep(2 * time.Second)
	f.restartAll("v2")
	for _, name := range f.names {
		_, ok := f.find(name)
		is.True(!ok)
	}
	for range 61 { // v1 began none that is still taken up
		f.sleep(time.Second)
		f.check("d2")
	}
	got, ok := f.find("d2")
	is.True(ok)
	is.Equal(got, id.Software("v2"))
}

// TestRecordsOutlastAllDaemons guards against streams that are refused after all daemons
// died, though their versions serve.
func TestRecordsOutlastAllDaemons(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2", "d3")
	f.list("v1")
	f.begin("d1", "v1") // before there is a second version
	f.list("v1", "v2")
	f.write("d1")
	for _, listed := range [][]id.Software{{"v1", "v2"}, {"v2"}, {"v1"}, {"v2", "v3"}} {
		f.restartAll(listed...)
		for _, name := range f.names {
			got, ok := f.find(name)
			is.True(ok)
			is.Equal(got, id.Software("v1"))
		}
	}
	other := stream
	other.Request = "other"
	_, ok := f.daemons["d1"].Find(context.Background(), other)
	is.True(!ok)
}

// TestTheNextProcessKeepsTheRecordsOfTheFormerOne guards against a row that a daemon's next
// process replaces, and a kill of all daemons behind it.
func TestTheNextProcessKeepsTheRecordsOfTheFormerOne(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1", "v2")
	f.begin("d1", "v1")
	f.write("d1")
	f.restartAll("v1", "v2")
	later := origin.Record{Stream: stream, Software: "v2", Left: 20 * time.Second}
	later.Stream.Request = "later"
	f.daemons["d1"].Began(later)
	f.write("d1")
	f.restartAll("v1", "v2")
	got, ok := f.find("d2")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestAStoreThatCameBackOlderGetsTheRecordsAgain covers a return of the store before a kill
// of all daemons.
func TestAStoreThatCameBackOlderGetsTheRecordsAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1", "v2")
	f.begin("d1", "v1")
	f.write("d1")
	f.set(func() {
		f.version = table.VersionIn(1, 1)
		f.rows = map[string]table.Row{}
	})
	for _, name := range f.names {
		f.readRecorded(name)
	}
	f.check("d2")
	f.daemons["d1"].Restored()
	f.write("d1")
	f.restartAll("v2")
	got, ok := f.find("d2")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestANewVersionBeginsNoStreamBeforeItIsRecorded guards against a version of which nothing
// is left when it leaves the list while all daemons are dead.
func TestANewVersionBeginsNoStreamBeforeItIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	f.daemons["d1"].Observe(map[id.Service]map[id.Software]bool{"s": versionSet("v1", "v2")})
	began := make(chan struct{})
	go func() {
		f.begin("d1", "v2")
		close(began)
	}()
	f.check("d1")
	<-began
	is.Equal(f.daemons["d1"].waitLeft("s", "v2"), time.Duration(0))
	f.restartAll("v1")
	_, ok := f.find("d1")
	is.True(!ok)
}

func versionSet(versions ...id.Software) map[id.Software]bool {
	all := map[id.Software]bool{}
	for _, v := range versions {
		all[v] = true
	}
	return all
}

// TestAStoreThatRefusesWritesDelaysTheFirstStreamsOnly checks that streams of a version wait
// for its record for a bounded time in all.
func TestAStoreThatRefusesWritesDelaysTheFirstStreamsOnly(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	f.list("v1")
	o := f.daemons["d1"]
	o.Observe(map[id.Service]map[id.Software]bool{"s": versionSet("v1", "v2")})
	is.Equal(o.waitLeft("s", "v2"), recordWait)
	f.sleep(recordWait / 4)
	is.Equal(o.waitLeft("s", "v2"), 3*recordWait/4)
	f.sleep(recordWait)
	is.True(o.waitLeft("s", "v2") <= 0)
	is.Equal(o.waitLeft("s", "v1"), time.Duration(0)) // it is recorded
}

// TestVersionsThatCameAndWentUnseenCount covers a host that stood still while a version came,
// began a stream and left, and whose own list shows nothing of it.
func TestVersionsThatCameAndWentUnseenCount(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	f.sleep(2 * time.Minute)
	f.check("d1")
	f.listAt("d2", "v1", "v2")
	f.listAt("d2", "v1")
	f.kill("d2")
	f.sleep(stallLimit + time.Second)
	f.check("d1")
	_, ok := f.find("d1")
	is.True(!ok)
}

// TestADaemonThatWasCutOffAsksWhatItMissed covers a list that was behind and is up to date
// again.
func TestADaemonThatWasCutOffAsksWhatItMissed(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.list("v1")
	for range 130 {
		f.sleep(time.Second)
		f.check("d1")
	}
	f.cut("d1")
	f.check("d1")
	f.listAt("d2", "v1", "v2")
	f.listAt("d2", "v1")
	f.kill("d2")
	f.set(func() { f.stale["d1"] = false })
	f.check("d1")
	_, ok := f.find("d1")
	is.True(!ok)
}

// TestAFleetWithoutItsStoreKeepsOneVersion checks that streams of a service with one version
// go on while the store answers nobody: no version comes that all have missed.
func TestAFleetWithoutItsStoreKeepsOneVersion(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2", "d3")
	f.list("v1")
	f.sleep(2 * time.Minute)
	for _, name := range f.names {
		f.cut(name)
	}
	got, ok := f.find("d1")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
	f.kill("d3")
	_, ok = f.find("d1") // it may have seen another one
	is.True(!ok)
}

// TestRecordsThatContradictEachOtherSayNothing covers rows of another writer.
func TestRecordsThatContradictEachOtherSayNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	f.list("v1", "v2")
	untilMS := (storeAhead + time.Minute).Milliseconds()
	for i, software := range []id.Software{"v1", "v2"} {
		var r origin.Row
		r.Add(origin.KeyOf(stream), software, untilMS)
		value, err := cbor.Marshal(&r)
		is.NoErr(err)
		f.rows[fmt.Sprint(tableStreams, "/x", i)] = table.Row{Value: value, Version: 1}
	}
	_, ok := f.find("d1")
	is.True(!ok)
	f.sleep(time.Second) // until the next read
	f.rows[tableStreams+"/x1"] = table.Row{Value: []byte("no row"), Version: 2}
	got, ok := f.find("d1")
	is.True(ok)
	is.Equal(got, id.Software("v1"))
	is.True(strings.Contains(f.logged.String(), "stored_record"))
}

// TestOneOfTheDaemonsRecordsAChange checks that the others write only if it doesn't.
func TestOneOfTheDaemonsRecordsAChange(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1", "d2")
	f.sleep(time.Second)
	f.daemons["d2"].Observe(map[id.Service]map[id.Software]bool{"s": versionSet("v1")})
	second := Duty{Records: true, Rank: 1}
	is.Equal(len(f.daemons["d2"].dueRows(Duty{})), 0)
	is.Equal(len(f.daemons["d2"].dueRows(second)), 0)
	f.sleep(rankDelay)
	is.Equal(len(f.daemons["d2"].dueRows(second)), 1)
	f.listAt("d1", "v1") // the first one has recorded it
	f.start("d2")
	f.listAt("d2", "v1")
	f.sleep(rankDelay)
	is.Equal(len(f.daemons["d2"].dueRows(second)), 0)
}

// TestAllDaemonsTogetherLeaveTheStoreItsWrites checks the bound on writes for several sizes
// of the fleet.
func TestAllDaemonsTogetherLeaveTheStoreItsWrites(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct {
		daemons int
		writes  float64
	}{{9, 200}, {90, 200}, {420, 200}, {420, 0}} {
		o := &Origins{cfg: Config{Daemons: func() int { return size.daemons }, WritesPerS: size.writes}}
		perSecond := float64(size.daemons) / o.writeInterval().Seconds()
		allowed := size.writes
		if allowed == 0 {
			allowed = defaultWritesPerS
		}
		is.True(perSecond <= allowed/2)
	}
}

// TestTheFirstRecordOfAFleetThatHasServedCoversNothingBefore covers the first daemons of a
// release that records versions.
func TestTheFirstRecordOfAFleetThatHasServedCoversNothingBefore(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.names = []id.Daemon{"d1", "d2"}
	f.start("d1")
	f.start("d2")
	f.list("v1")
	_, ok := f.find("d1")
	is.True(!ok)
	f.sleep(time.Minute + time.Second)
	f.start("d1")
	f.listAt("d1", "v1")
	f.kill("d2")
	got, ok := f.find("d1") // by the store alone
	is.True(ok)
	is.Equal(got, id.Software("v1"))
}

// TestAStreamOfAVersionThatJustLeftBeginsAtOnce guards against a first event that waits for a
// record which says already that its version counts.
func TestAStreamOfAVersionThatJustLeftBeginsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	f.list("v1", "v2")
	f.list("v2")
	is.Equal(f.daemons["d1"].waitLeft("s", "v1"), time.Duration(0))
}
