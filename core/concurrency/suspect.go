package concurrency

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Suspect returns the endpoints to leave out, those that lose most first: at most half,
// and no more than the others can do without. A suspect is tried again after a while.
func (l *Losses) Suspect(now time.Duration) []id.Endpoint {
	var suspects []*losing
	for _, e := range l.order {
		e.readmit(now)
		if e.suspect {
			suspects = append(suspects, e)
		}
	}
	slices.SortStableFunc(suspects, func(a, b *losing) int { return cmp.Compare(b.rate(), a.rate()) })
	most := len(l.order) / 2
	if l.spare >= 0 {
		most = min(most, l.spare)
	}
	var names []id.Endpoint
	for _, e := range suspects[:min(most, len(suspects))] {
		names = append(names, e.name)
	}
	return names
}

// readmit ends an absence. Of the old evidence only as much stays as one loss needs to
// bring the next absence.
func (e *losing) readmit(now time.Duration) {
	if !e.suspect || now < e.absentUntil {
		return
	}
	e.suspect = false
	if e.total > probationSamples {
		e.lost *= probationSamples / e.total
		e.total = probationSamples
	}
	e.at = now
}

// Probing tells whether an endpoint that was left out is being tried again: it should get
// one request at a time.
func (l *Losses) Probing(now time.Duration, name id.Endpoint) bool {
	e := l.endpoints[name]
	if e == nil {
		return false
	}
	e.readmit(now)
	return !e.suspect && e.probation > 0
}
