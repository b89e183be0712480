package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// VersionMemory is how long a version counts after its last endpoint was listed. By then
// the callers of the streams that it began have given up.
const VersionMemory = time.Minute

// UnknownVersion stands for the version of an endpoint that has started again, until it is
// known which one it runs. It counts as a further version of its service.
const UnknownVersion id.Software = ""

// History remembers which software versions of each service have been listed of late: those
// that this daemon has seen, and those that the store has recorded. It is not safe for
// concurrent use.
type History struct {
	// since is from when on this daemon has seen all versions.
	since time.Duration
	// listed holds the versions of the last observation, gone when the others were last
	// listed.
	listed map[id.Service]map[id.Software]bool
	gone   map[id.Service]map[id.Software]time.Duration
	// recorded is what the store has, offset the store's clock minus the daemon's, and
	// recordedAt as of when it was read; recordedAt counts if read is set.
	recorded   map[id.Service]Recorded
	offset     time.Duration
	recordedAt time.Duration
	read       bool
	// covered holds the services of which the History has been complete since then.
	covered map[id.Service]bool
	// unused is set if a service of which nothing is recorded has begun no stream before.
	unused bool
}

// NewHistory returns a History that begins now.
func NewHistory(now time.Duration) *History {
	return &History{
		since:  now,
		listed: map[id.Service]map[id.Software]bool{},
		gone:   map[id.Service]map[id.Software]time.Duration{},

		covered: map[id.Service]bool{},
	}
}

// Observe replaces the versions that are listed now. It reports whether a service has a
// version that did not count before.
func (h *History) Observe(now time.Duration, listed map[id.Service]map[id.Software]bool) (added bool) {
	for service, versions := range listed {
		known := h.Versions(now, service)
		for v := range versions {
			added = added || !slices.Contains(known, v)
		}
	}
	for service, versions := range h.listed {
		for v := range versions {
			if !listed[service][v] {
				h.recordGone(now, service, v)
			}
		}
	}
	h.listed = listed
	return added
}

func (h *History) recordGone(now time.Duration, service id.Service, v id.Software) {
	if h.gone[service] == nil {
		h.gone[service] = map[id.Software]time.Duration{}
	}
	h.gone[service][v] = now
}

// SetUnused tells that a service of which the store has recorded nothing has begun no
// stream before this daemon started.
func (h *History) SetUnused() { h.unused = true }

// Unused reports whether SetUnused was called and no version can have come unseen since.
func (h *History) Unused() bool { return h.unused }

// KeepLost remembers the recorded versions that count and that the store is about to lack:
// it came back from an older copy.
func (h *History) KeepLost(now time.Duration, recorded map[id.Service]Recorded) {
	for service, had := range h.recorded {
		for _, v := range had.counting(storeMS(now, h.offset)) {
			if _, known := recorded[service].GoneMS[v]; !known {
				h.recordGone(now, service, v)
			}
		}
	}
}

// SetRecorded replaces what the store has recorded. offset is the store's clock minus the
// daemon's. What this daemon knows by the former records it goes on to know.
func (h *History) SetRecorded(now time.Duration, recorded map[id.Service]Recorded, offset time.Duration) {
	for _, service := range h.Services() {
		if h.Complete(now, service) {
			h.covered[service] = true
		}
	}
	h.recorded, h.offset = recorded, offset
}

// Confirm tells that the recorded versions are those that the store had at a time.
func (h *History) Confirm(at time.Duration) {
	h.recordedAt = max(h.recordedAt, at)
	h.read = true
}

// Interrupt tells that versions may have come and gone unseen until now.
func (h *History) Interrupt(now time.Duration) {
	h.since = now
	h.unused = false
	clear(h.covered)
}

// Listed returns the versions of a service that are listed, and Gone those that have left
// the list within the memory, in milliseconds by the store's clock. The caller must not
// change them.
func (h *History) Listed(service id.Service) map[id.Software]bool { return h.listed[service] }

// Gone is described with Listed.
func (h *History) Gone(now time.Duration, service id.Service) map[id.Software]int64 {
	out := map[id.Software]int64{}
	for v, at := range h.gone[service] {
		if now-at <= VersionMemory && !h.listed[service][v] {
			out[v] = storeMS(at, h.offset)
		}
	}
	return out
}

// Services returns the services that have or had endpoints, sorted.
func (h *History) Services() []id.Service {
	all := slices.Collect(maps.Keys(h.listed))
	all = slices.AppendSeq(all, maps.Keys(h.recorded))
	slices.Sort(all)
	return slices.Compact(all)
}

// Versions returns the versions of a service that may have begun a stream, sorted.
func (h *History) Versions(now time.Duration, service id.Service) []id.Software {
	gone := h.gone[service]
	maps.DeleteFunc(gone, func(_ id.Software, at time.Duration) bool { return now-at > VersionMemory })
	out := slices.Collect(maps.Keys(h.listed[service]))
	out = slices.AppendSeq(out, maps.Keys(gone))
	out = append(out, h.recorded[service].counting(storeMS(now, h.offset))...)
	slices.Sort(out)
	return slices.Compact(out)
}

// Complete reports whether the History holds all versions of a service that may have begun
// a stream: it has lasted long enough, or what the store has recorded reaches back.
func (h *History) Complete(now time.Duration, service id.Service) bool {
	if h.covered[service] || h.Lasts(now) > VersionMemory {
		return true
	}
	return h.coveredSince(now, h.since, service)
}

// RecordedAt returns as of when the recorded versions are those of the store; 0 if they were
// never read.
func (h *History) RecordedAt() time.Duration {
	if !h.read {
		return 0
	}
	return h.recordedAt
}

// Proven reports whether the store has shown that the History holds all versions of a service
// that may have begun a stream before a time. Complete may rest on the list of endpoints, which
// may lag unnoticed. A row that names no version shows nothing.
func (h *History) Proven(now, before time.Duration, service id.Service) bool {
	recorded, ok := h.recorded[service]
	if ok && len(recorded.counting(storeMS(now, h.offset))) == 0 {
		return false
	}
	return h.coveredSince(now, before, service)
}

// coveredSince reports whether the records of a service were read at a time or later, and reach
// back to all versions that may have begun a stream.
func (h *History) coveredSince(now, at time.Duration, service id.Service) bool {
	if !h.read || h.recordedAt < at {
		return false
	}
	recorded, ok := h.recorded[service]
	if !ok {
		return h.unused || h.allCover(now)
	}
	return recorded.covers(storeMS(now, h.offset))
}

// allCover reports whether the versions of all services are recorded, so that one without a
// record has begun no stream.
func (h *History) allCover(now time.Duration) bool {
	for _, r := range h.recorded {
		if !r.covers(storeMS(now, h.offset)) {
			return false
		}
	}
	return len(h.recorded) > 0
}

// Lasts returns for how long this daemon has seen all versions.
func (h *History) Lasts(now time.Duration) time.Duration { return now - h.since }
