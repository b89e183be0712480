package origins

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// TestARecordedVersionIsNotReplacedByAnOlderOne guards against a write whose answer comes
// after the news of a later one.
func TestARecordedVersionIsNotReplacedByAnOlderOne(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	o := f.daemons["d1"]
	row := func(version uint64, versions map[id.Software]int64) table.Row {
		value, err := json.Marshal(origin.Recorded{GoneMS: versions})
		is.NoErr(err)
		return table.Row{Key: "s", Version: version, Value: value}
	}
	o.SetRecorded([]table.Row{row(5, map[id.Software]int64{"v1": 0, "v2": 0})})
	o.mu.Lock()
	o.keepRecorded(row(4, map[id.Software]int64{"v1": 0}), 4)
	o.mu.Unlock()
	is.True(o.recorder.rows["s"].Lists("v2"))
}

// TestAnUnknownVersionIsNotTakenForTheOnlyOne covers engines that all have started again.
func TestAnUnknownVersionIsNotTakenForTheOnlyOne(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	f.list(origin.UnknownVersion)
	_, ok := f.find("d1")
	is.True(!ok)
	f.list("v1")
	_, ok = f.find("d1") // it may have begun the stream before its entry told its version
	is.True(!ok)
	f.restartAll("v1")
	_, ok = f.find("d1")
	is.True(!ok)
}

// TestARefusedWriteIsNotRepeatedAtOnce guards against a store that refuses writes and gets
// ten calls a second of each writer.
func TestARefusedWriteIsNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet("d1")
	o := f.daemons["d1"]
	f.sleep(time.Second)
	o.Observe(map[id.Service]map[id.Software]bool{"s": versionSet("v1")})
	f.cut("d1")
	writes := 0
	for range 100 {
		f.sleep(CheckInterval)
		if rows := o.dueRows(Duty{Records: true}); len(rows) > 0 {
			writes++
			o.record(rows)
		}
	}
	is.True(writes <= 40)
}
