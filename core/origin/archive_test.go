package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// read returns the records of a row that count at a time by the store's clock.
func read(r *Row, now time.Duration) map[Key]id.Software {
	out := map[Key]id.Software{}
	r.Each(now.Milliseconds(), func(key Key, software id.Software, _ int64) { out[key] = software })
	return out
}

func all(id.Service) bool  { return true }
func none(id.Service) bool { return false }

func keyOf(request string) Key { return KeyOf(record(request, "", 0).Stream) }

func TestARowHasTheStreamsThatMayBeTakenUp(t *testing.T) {
	is := is.New(t)
	const offset = time.Hour
	a := NewArchive()
	a.Add(0, record("a", "v1", 10*time.Second))
	a.Add(0, record("b", "v2", 20*time.Second))
	a.Add(0, record("b", "v3", 5*time.Second)) // the first version stays, and the longest time
	is.True(a.Unstored(all))
	is.True(!a.Unstored(none)) // its service has one version
	row, stored := a.Row(time.Second, offset, all)
	is.Equal(read(row, offset+time.Second), map[Key]id.Software{keyOf("a"): "v1", keyOf("b"): "v2"})
	is.Equal(read(row, offset+10*time.Second), map[Key]id.Software{keyOf("b"): "v2"})
	is.Equal(stored(), 2)
	is.True(!a.Unstored(all))
	row, stored = a.Row(time.Second, offset, none) // the store has them: they stay
	is.Equal(len(row.Records), 2)
	is.Equal(stored(), 0)
	a.Forget()
	is.True(a.Unstored(all))
	row, _ = a.Row(10*time.Second, offset, all)
	is.Equal(len(row.Records), 1)
}

// TestAnAnsweredStreamLeavesTheRow checks that the row holds the streams under way, and that
// the last bytes of an answer may be lost.
func TestAnAnsweredStreamLeavesTheRow(t *testing.T) {
	is := is.New(t)
	a := NewArchive()
	a.Add(0, record("a", "v1", time.Minute))
	a.End(time.Second, record("a", "", 0).Stream)
	row, _ := a.Row(time.Second+endedMemory, 0, all)
	is.Equal(len(row.Records), 1)
	row, _ = a.Row(time.Second+endedMemory+1, 0, all)
	is.Equal(len(row.Records), 0)
	is.Equal(len(a.byKey), 0)
}

func TestTheFormerProcessRecordsStayInTheRow(t *testing.T) {
	is := is.New(t)
	a := NewArchive()
	a.Inherit(0, keyOf("a"), "v1", 10*time.Second)
	is.True(!a.Unstored(all))
	a.Add(0, record("b", "v2", 10*time.Second))
	row, stored := a.Row(time.Second, 0, all)
	is.Equal(read(row, time.Second), map[Key]id.Software{keyOf("a"): "v1", keyOf("b"): "v2"})
	is.Equal(stored(), 1)
}

// TestARowFitsIntoTheStore guards against rows that the store refuses for their size.
func TestARowFitsIntoTheStore(t *testing.T) {
	is := is.New(t)
	const rowBytes = 65536
	a := NewArchive()
	for i := range maxKept + 10 {
		a.Add(0, record(fmt.Sprint(i), "v1", time.Minute))
	}
	row, _ := a.Row(0, 480_000*time.Hour, all)
	is.Equal(len(row.Records), maxKept)
	_, oldest := read(row, 0)[keyOf("0")]
	is.True(!oldest)
	value, err := cbor.Marshal(row)
	is.NoErr(err)
	is.True(len(value) <= rowBytes*3/4)
	var again Row
	is.NoErr(cbor.Unmarshal(value, &again))
	is.Equal(again, *row)
}

// TestARecordWithoutItsVersionIsLeftOut covers rows of another writer.
func TestARecordWithoutItsVersionIsLeftOut(t *testing.T) {
	is := is.New(t)
	r := &Row{Versions: []id.Software{"v1"}, Records: []Kept{{Key: 1, Version: 1, UntilMS: 10}, {Key: 2, Version: -1, UntilMS: 10}, {Key: 3, UntilMS: 10}}}
	is.Equal(read(r, 0), map[Key]id.Software{3: "v1"})
}

// TestStreamsOfOthersHaveOtherKeys checks that a key tells teams and services apart.
func TestStreamsOfOthersHaveOtherKeys(t *testing.T) {
	is := is.New(t)
	keys := map[Key]bool{}
	for _, s := range []Stream{
		{Request: "r", Service: "s"}, {Request: "r", Service: "s", Team: "t"}, {Request: "r", Service: "st"}, {Request: "tr", Service: "s"},
	} {
		keys[KeyOf(s)] = true
	}
	is.Equal(len(keys), 4)
}
