package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func versions(names ...id.Software) map[id.Software]bool {
	all := map[id.Software]bool{}
	for _, v := range names {
		all[v] = true
	}
	return all
}

func TestRecordedVersionsFollowTheList(t *testing.T) {
	is := is.New(t)
	var r Recorded
	r, changed := r.Update(1000, versions("v1"), nil)
	is.True(changed)
	is.Equal(r.GoneMS, map[id.Software]int64{"v1": 0})
	_, changed = r.Update(2000, versions("v1"), nil)
	is.True(!changed)
	r, changed = r.Update(3000, versions("v2"), nil)
	is.True(changed)
	is.Equal(r.GoneMS, map[id.Software]int64{"v1": 3000, "v2": 0})
	r, _ = r.Update(4000, versions("v1", "v2"), nil) // it is back
	is.Equal(r.GoneMS, map[id.Software]int64{"v1": 0, "v2": 0})
	is.True(r.Lists("v1"))
	is.True(!r.Lists("v3"))
}

// TestAVersionThatTheStoreHasLostIsRecordedAgain covers a store that came back from an older
// copy: a version that came and left since then is known to daemons only.
func TestAVersionThatTheStoreHasLostIsRecordedAgain(t *testing.T) {
	is := is.New(t)
	r := Recorded{GoneMS: map[id.Software]int64{"v1": 0}}
	r, changed := r.Update(100_000, versions("v1"), map[id.Software]int64{"v2": 99_000, "v0": 10_000})
	is.True(changed)
	is.Equal(r.GoneMS, map[id.Software]int64{"v1": 0, "v2": 99_000}) // v0 counts no more
}

// TestOldVersionsAloneAreNoChange guards against writes that a rest of the list causes for
// ever.
func TestOldVersionsAloneAreNoChange(t *testing.T) {
	is := is.New(t)
	r := Recorded{GoneMS: map[id.Software]int64{"v1": 0, "v0": 10}}
	_, changed := r.Update(1_000_000, versions("v1"), map[id.Software]int64{"v0": 10})
	is.True(!changed)
	r, changed = r.Update(1_000_000, versions("v1", "v2"), nil)
	is.True(changed)
	is.Equal(r.GoneMS, map[id.Software]int64{"v1": 0, "v2": 0})
}

// TestRecordedVersionsAreBounded covers endpoints of ever new versions.
func TestRecordedVersionsAreBounded(t *testing.T) {
	is := is.New(t)
	var r Recorded
	for i := range 10 * maxRecorded {
		r, _ = r.Update(int64(1000+i), versions(id.Software(fmt.Sprint("v", i))), nil)
		is.True(len(r.GoneMS) <= maxRecorded)
		is.True(r.Lists(id.Software(fmt.Sprint("v", i))))
	}
	all := map[id.Software]bool{}
	for i := range 2 * maxRecorded {
		all[id.Software(fmt.Sprint("w", i))] = true
	}
	r, _ = r.Update(10_000, all, nil)
	_, changed := r.Update(11_000, all, nil)
	is.True(!changed) // what does not fit is not written again and again
}

// TestAHistoryIsCompleteByWhatTheStoreHas covers a daemon that has just started.
func TestAHistoryIsCompleteByWhatTheStoreHas(t *testing.T) {
	is := is.New(t)
	const offset = time.Hour
	now := 10 * time.Second
	h := NewHistory(now)
	h.Observe(now, listed("v2"))
	is.True(!h.Complete(now, "s"))
	h.SetRecorded(now, map[id.Service]Recorded{"s": {GoneMS: map[id.Software]int64{
		"v1": (offset + now - time.Minute).Milliseconds(), "v0": (offset + now - time.Minute).Milliseconds() - 1, "v2": 0,
	}}}, offset)
	is.True(!h.Complete(now, "s")) // it may be from before
	h.Confirm(now)
	is.True(h.Complete(now, "s"))
	is.Equal(h.Versions(now, "s"), []id.Software{"v1", "v2"})
	is.Equal(h.Versions(now+time.Millisecond, "s"), []id.Software{"v2"})
	is.True(h.Complete(now, "other")) // it would be recorded if it had begun a stream

	h.Interrupt(now + time.Second)
	is.True(!h.Complete(now+time.Second, "s"))
	h.Confirm(now + 2*time.Second)
	is.True(h.Complete(now+2*time.Second, "s"))
}

// TestARecordThatBeganLateCoversNoEarlierStream covers the first daemon of this release in a
// fleet that has served before.
func TestARecordThatBeganLateCoversNoEarlierStream(t *testing.T) {
	is := is.New(t)
	h := NewHistory(0)
	h.SetRecorded(0, map[id.Service]Recorded{"s": {SinceMS: 1000, GoneMS: map[id.Software]int64{"v1": 0}}}, 0)
	h.Confirm(time.Second)
	is.True(!h.Complete(2*time.Second, "s"))
	is.True(!h.Complete(2*time.Second, "other"))
	h.Interrupt(30 * time.Second)
	h.Confirm(31 * time.Second)
	is.True(!h.Complete(time.Second+VersionMemory, "s"))
	is.True(h.Complete(time.Second+VersionMemory+time.Millisecond, "s"))
}

// TestAnUnrecordedServiceIsCompleteAtTheFirstStartOnly covers a fleet that starts for the
// first time, in which nothing is recorded yet.
func TestAnUnrecordedServiceIsCompleteAtTheFirstStartOnly(t *testing.T) {
	is := is.New(t)
	h := NewHistory(0)
	h.SetUnused()
	is.True(!h.Complete(time.Second, "s")) // the store has not been read
	h.SetRecorded(0, nil, 0)
	h.Confirm(time.Second)
	is.True(h.Complete(time.Second, "s"))
}

// TestTheLastTimeThatAVersionLeftCounts guards against a version that came again and left
// again while the store took no writes, and that counts from the first time on.
func TestTheLastTimeThatAVersionLeftCounts(t *testing.T) {
	is := is.New(t)
	const left = 155_000
	r := Recorded{GoneMS: map[id.Software]int64{"v1": 100_000, "v2": 0}}
	r, changed := r.Update(160_000, versions("v2"), map[id.Software]int64{"v1": left})
	is.True(changed)
	is.Equal(r.counting(left+VersionMemory.Milliseconds()), []id.Software{"v1", "v2"})
	_, changed = r.Update(161_000, versions("v2"), map[id.Software]int64{"v1": left + leaveTolerance.Milliseconds()})
	is.True(!changed) // another daemon noticed it a little later
}

// TestARecordOfAnOlderCopyCoversNothing covers a store that came back: what was recorded
// behind the copy is missing. A daemon that knew it goes on to know it.
func TestARecordOfAnOlderCopyCoversNothing(t *testing.T) {
	is := is.New(t)
	older := map[id.Service]Recorded{"s": {Older: true, GoneMS: map[id.Software]int64{"v1": 0}}}
	h := NewHistory(0)
	h.SetRecorded(0, older, 0)
	h.Confirm(time.Second)
	is.True(!h.Complete(time.Second, "s"))
	is.True(!h.Complete(time.Second, "other"))

	h = NewHistory(0)
	h.Observe(0, listed("v1"))
	h.SetRecorded(0, map[id.Service]Recorded{"s": {GoneMS: map[id.Software]int64{"v1": 0}}}, 0)
	h.Confirm(time.Second)
	h.SetRecorded(2*time.Second, older, 0)
	is.True(h.Complete(2*time.Second, "s"))
	h.Interrupt(3 * time.Second)
	h.Confirm(4 * time.Second)
	is.True(!h.Complete(4*time.Second, "s"))
}
