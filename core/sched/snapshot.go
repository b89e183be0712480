package sched

import (
	"cmp"
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
)

// Snapshot is the state of a pool for status pages.
type Snapshot struct {
	Pool id.Pool `json:"pool"`
	// Queued counts the requests without a grant, Running those with one.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Slots counts the slots of endpoints that may get work, Held those in use by
	// the ledger's reservations, Foreign those in use by work that is not in the
	// ledger.
	Slots   int `json:"slots"`
	Held    int `json:"held"`
	Foreign int `json:"foreign"`
	// Settling is true during the settling period of a new owner.
	Settling bool           `json:"settling"`
	Teams    []TeamSnapshot `json:"teams"`
	// Ejected lists the endpoints ejected by the health view, Leaving those that a
	// label, a report or a refusal marks as leaving.
	Ejected []id.Endpoint `json:"ejected,omitempty"`
	Leaving []id.Endpoint `json:"leaving,omitempty"`
}

// TeamSnapshot is the state of a team that has requests in the pool.
type TeamSnapshot struct {
	Team    id.Team `json:"team"`
	Queued  int     `json:"queued"`
	Running int     `json:"running"`
}

// Snapshotter is a scheduler that reports its state.
type Snapshotter interface {
	Snapshot() Snapshot
}

// Snapshot returns the ledger's state; its lists are sorted by name.
func (l *Ledger) Snapshot() Snapshot {
	s := Snapshot{
		Pool:     l.options.Pool,
		Queued:   l.queue.queued,
		Running:  len(l.granted),
		Settling: l.settling(),
	}
	for _, slots := range l.fleet.slots {
		s.Slots += slots
	}
	for _, e := range l.endpoints {
		s.addEndpoint(e, l.options.Health)
	}
	for _, t := range l.teams {
		if t.inFlight() > 0 {
			s.Teams = append(s.Teams, TeamSnapshot{Team: t.name, Queued: t.queued, Running: t.granted})
		}
	}
	slices.Sort(s.Ejected)
	slices.Sort(s.Leaving)
	slices.SortFunc(s.Teams, func(a, b TeamSnapshot) int { return cmp.Compare(a.Team, b.Team) })
	return s
}

// addEndpoint adds one endpoint to the snapshot.
func (s *Snapshot) addEndpoint(e *endpoint, health HealthView) {
	s.Held += len(e.held)
	s.Foreign += e.foreign
	if e.leaving() {
		s.Leaving = append(s.Leaving, e.name)
	}
	if health != nil && !health.Allowed(e.name) {
		s.Ejected = append(s.Ejected, e.name)
	}
}
