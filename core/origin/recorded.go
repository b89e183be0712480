package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// maxRecorded bounds the versions of a service that are recorded: anyone may list endpoints
// of any version.
const maxRecorded = 64

// leaveTolerance is by how much the recorded time at which a version left may be too early:
// daemons notice it one after the other.
const leaveTolerance = 5 * time.Second

// Recorded holds the software versions that a service has had of late. It outlasts all
// daemons, so that one that starts knows what may have begun streams before. Times are in
// milliseconds by the clock of the store that keeps it.
type Recorded struct {
	// SinceMS is from when on all versions are recorded; 0 if no stream began before.
	SinceMS int64 `json:"since_ms,omitempty"`
	// Era is that of the store in which this was recorded. Older is set if the store has come
	// back from an older copy since then: what was recorded behind the copy is missing.
	Era   uint64 `json:"era,omitempty"`
	Older bool   `json:"-"`
	// GoneMS says when the last endpoint of a version was no longer listed; 0 while one is.
	GoneMS map[id.Software]int64 `json:"gone_ms"`
}

// Update returns what is to be recorded now: listed are the versions that are listed, gone
// those that this daemon has seen leave the list, and when. changed is false if that is
// recorded already.
func (r Recorded) Update(nowMS int64, listed map[id.Software]bool, gone map[id.Software]int64) (updated Recorded, changed bool) {
	updated = Recorded{SinceMS: r.SinceMS, Era: r.Era, GoneMS: maps.Clone(r.GoneMS)}
	if updated.GoneMS == nil {
		updated.GoneMS = map[id.Software]int64{}
	}
	oldest := nowMS - VersionMemory.Milliseconds()
	for v := range listed {
		at, known := updated.GoneMS[v]
		changed = changed || !known || at != 0
		updated.GoneMS[v] = 0
	}
	for v, at := range gone {
		had, known := updated.GoneMS[v]
		later := !known || had != 0 && at-had > leaveTolerance.Milliseconds()
		if later && at > oldest {
			changed = true
			updated.GoneMS[v] = at
		}
	}
	for v, at := range updated.GoneMS {
		if at == 0 && !listed[v] {
			changed = true
			updated.GoneMS[v] = nowMS
		}
	}
	if !changed {
		return r, false
	}
	maps.DeleteFunc(updated.GoneMS, func(_ id.Software, at int64) bool { return at != 0 && at <= oldest })
	updated.bound()
	return updated, !maps.Equal(updated.GoneMS, r.GoneMS)
}

// bound drops the versions beyond maxRecorded: those that left first, then by name.
func (r Recorded) bound() {
	if len(r.GoneMS) <= maxRecorded {
		return
	}
	versions := slices.SortedFunc(maps.Keys(r.GoneMS), func(a, b id.Software) int {
		return cmp.Or(compareGone(r.GoneMS[a], r.GoneMS[b]), cmp.Compare(a, b))
	})
	for _, v := range versions[maxRecorded:] {
		delete(r.GoneMS, v)
	}
}

// compareGone orders listed versions before others, and those by when they left, the latest
// first.
func compareGone(a, b int64) int {
	switch {
	case a == b:
		return 0
	case a == 0:
		return -1
	case b == 0:
		return 1
	}
	return cmp.Compare(b, a)
}

// Lists reports whether a version is recorded as listed.
func (r Recorded) Lists(v id.Software) bool {
	at, known := r.GoneMS[v]
	return known && at == 0
}

// Counts reports whether a version is recorded as one that may have begun a stream. nowMS is
// the time by the store's clock.
func (r Recorded) Counts(nowMS int64, v id.Software) bool {
	return slices.Contains(r.counting(nowMS), v)
}

// counting returns the recorded versions that may have begun a stream, sorted. nowMS is the
// time by the store's clock.
func (r Recorded) counting(nowMS int64) []id.Software {
	var out []id.Software
	for v, at := range r.GoneMS {
		if at == 0 || nowMS-at <= VersionMemory.Milliseconds() {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// covers reports whether all versions that may have begun a stream are recorded.
func (r Recorded) covers(nowMS int64) bool {
	return !r.Older && (r.SinceMS == 0 || nowMS-r.SinceMS > VersionMemory.Milliseconds())
}

// storeMS returns a time of the daemon's clock by the store's clock, in milliseconds; offset
// is the store's clock minus the daemon's.
func storeMS(at, offset time.Duration) int64 { return (at + offset).Milliseconds() }
