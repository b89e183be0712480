package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// versionMemory is how long a version counts after its last endpoint was listed. By then
// the callers of the streams that it began have given up.
const versionMemory = time.Minute

// History remembers which software versions of each service have been listed of late. It is
// not safe for concurrent use.
type History struct {
	startedAt time.Duration
	// listed holds the versions of the last observation, gone when the others were last
	// listed.
	listed map[id.Service]map[id.Software]bool
	gone   map[id.Service]map[id.Software]time.Duration
}

// NewHistory returns a History that begins now.
func NewHistory(now time.Duration) *History {
	return &History{
		startedAt: now,
		listed:    map[id.Service]map[id.Software]bool{},
		gone:      map[id.Service]map[id.Software]time.Duration{},
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

// Versions returns the versions of a service that may have begun a stream, sorted.
func (h *History) Versions(now time.Duration, service id.Service) []id.Software {
	gone := h.gone[service]
	maps.DeleteFunc(gone, func(_ id.Software, at time.Duration) bool { return now-at > versionMemory })
	out := slices.Collect(maps.Keys(h.listed[service]))
	for v := range gone {
		if !h.listed[service][v] {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// Complete reports whether the History has lasted long enough to hold all versions that may
// have begun a stream.
func (h *History) Complete(now time.Duration) bool { return h.Lasts(now) > versionMemory }

// Lasts returns for how long the History has lasted.
func (h *History) Lasts(now time.Duration) time.Duration { return now - h.startedAt }
