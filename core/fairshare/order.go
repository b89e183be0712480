package fairshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Rank is what decides the place of a waiting request beside its team's share.
type Rank struct {
	// Begun requests go first: work was done for them that would be wasted.
	Begun bool
	// Late requests would miss their target even if granted now; they go last.
	Late bool
	// Priority is from 0 (lowest) to 9.
	Priority int
	// Overdue requests were promised their turn and would miss their target now; they go
	// before the others of their priority.
	Overdue bool
	// Target is the time within which an answer is due; the shortest goes first. 0 for all
	// requests of a queue in which it doesn't count.
	Target time.Duration
	// Arrived is when the request arrived.
	Arrived time.Duration
	// StartTag is the request's place among the teams' shares, set by AssignTags.
	StartTag float64
}

// Request is a waiting request.
type Request interface {
	Rank() Rank
	Team() id.Team
	// Cost is what the request takes of the resource, in any unit that all requests of
	// the queue share.
	Cost() float64
	SetStartTag(tag float64)
}

// Sort sorts requests into the order in which they are granted. Without
// configured teams, age alone decides among requests of one rank.
func Sort[R Request](queue []R, s *Shares) {
	SortByAge(queue)
	if !s.HasTeams() {
		return
	}
	AssignTags(queue, s)
	slices.SortStableFunc(queue, func(a, b R) int {
		x, y := a.Rank(), b.Rank()
		return cmp.Or(x.compare(y), cmp.Compare(x.StartTag, y.StartTag))
	})
}

// SortByAge sorts requests by rank, then by age.
func SortByAge[R Request](queue []R) {
	slices.SortStableFunc(queue, func(a, b R) int {
		x, y := a.Rank(), b.Rank()
		return cmp.Or(x.compare(y), cmp.Compare(x.Arrived, y.Arrived))
	})
}

// AssignTags sets the start tag of each request. The queue must be sorted by rank, then by
// age: a team's requests follow each other by the cost of those before, whatever service or
// key they came by.
func AssignTags[R Request](queue []R, s *Shares) {
	next := make(map[id.Team]float64, len(s.finishTags))
	for _, r := range queue {
		team := r.Team()
		at, seen := next[team]
		if !seen {
			at = s.Next(team)
		}
		r.SetStartTag(at)
		next[team] = at + s.Scaled(team, r.Cost())
	}
}

// compare compares ranks by the criteria that precede team share and age.
func (r Rank) compare(other Rank) int {
	return cmp.Or(
		trueFirst(r.Begun, other.Begun),
		trueFirst(other.Late, r.Late),
		cmp.Compare(other.Priority, r.Priority),
		trueFirst(r.Overdue, other.Overdue),
		cmp.Compare(r.Target, other.Target),
	)
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
