package callsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	// maxPriority is the highest priority.
	maxPriority = 9
	// maxTeams is the number of teams above which those without calls are forgotten.
	maxTeams = 1024
	// forgetAfter is how long a forgotten team has sent nothing.
	forgetAfter = 10 * loadSpan
)

// team is what the ledger knows of a team.
type team struct {
	name id.Team
	// loads is the admitted load of each priority.
	loads  [maxPriority + 1]load
	seenAt time.Duration
	// queued and granted count calls, for the status.
	queued, granted int
	answered        Answered
	// nextTag is scratch for a forecast: the start tag of the team's next call.
	nextTag float64
}

// teams holds the teams that send calls.
type teams struct {
	byName map[id.Team]*team
	// list is in the order of the first calls, so that sums don't depend on map order.
	list []*team
}

func newTeams() teams { return teams{byName: map[id.Team]*team{}} }

// get returns a team, which has just sent a call.
func (t *teams) get(now time.Duration, name id.Team) *team {
	known := t.byName[name]
	if known == nil {
		known = &team{name: name}
		t.byName[name] = known
		t.list = append(t.list, known)
	}
	known.seenAt = now
	if len(t.list) > maxTeams {
		t.forget(now)
	}
	return known
}

// forget removes the teams without calls.
func (t *teams) forget(now time.Duration) {
	t.list = slices.DeleteFunc(t.list, func(x *team) bool {
		idle := x.queued == 0 && x.granted == 0 && now-x.seenAt > forgetAfter
		if idle {
			delete(t.byName, x.name)
		}
		return idle
	})
}

// load returns the admitted load of all teams with at least the given priority.
func (t *teams) load(now time.Duration, priority int) float64 {
	sum := 0.0
	for _, x := range t.list {
		for p := priority; p <= maxPriority; p++ {
			sum += x.loads[p].at(now)
		}
	}
	return sum
}

// snapshot returns the teams that have calls.
func (t *teams) snapshot() []sched.TeamSnapshot {
	var out []sched.TeamSnapshot
	for _, x := range t.list {
		if x.queued > 0 || x.granted > 0 {
			out = append(out, sched.TeamSnapshot{Team: x.name, Queued: x.queued, Running: x.granted})
		}
	}
	slices.SortFunc(out, func(a, b sched.TeamSnapshot) int { return cmp.Compare(a.Team, b.Team) })
	return out
}
