package kvsched

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// shares orders the requests of one priority so that each team gets memory by its
// weight, whatever the others send: start-time fair queueing over the tokens that
// were granted. It answers the load in which one team sends many times as much as
// the others and would fill the queue before them. Teams that leave their part
// unused give it to the rest.
type fairQueue struct {
	weights map[id.Team]float64
	// used is what each team was granted, by weight; those that have less than
	// floor, the place of the last one granted, count as much as that: what was
	// left unused earlier is not made up for.
	finishTags  map[id.Team]float64
	virtualTime float64
}

func newFairQueue() fairQueue {
	return fairQueue{weights: map[id.Team]float64{}, finishTags: map[id.Team]float64{}}
}

// configure takes the teams' weights.
func (s *fairQueue) configure(doc *live.Document) {
	clear(s.weights)
	for _, t := range doc.Teams {
		s.weights[t.Name] = t.Weight
	}
}

// any says whether there are teams.
func (s *fairQueue) hasTeams() bool { return len(s.weights) > 0 }

// place gives each of the requests its place among those of its rank. They must
// come by rank, then by age.
func (s *fairQueue) assignStartTags(queue []*waiting) {
	next := make(map[id.Team]float64, len(s.finishTags))
	for _, w := range queue {
		team := w.want.Team
		at, seen := next[team]
		if !seen {
			at = max(s.finishTags[team], s.virtualTime)
		}
		w.startTag = at
		next[team] = at + s.cost(w)
	}
}

// granted notes that a request was granted.
func (s *fairQueue) granted(w *waiting) {
	team := w.want.Team
	at := max(s.finishTags[team], s.virtualTime)
	s.finishTags[team] = at + s.cost(w)
	s.virtualTime = max(s.virtualTime, min(w.startTag, at))
	if len(s.finishTags) > maxFinishTags {
		// Those at or below the floor count the same when they come again.
		for name, used := range s.finishTags {
			if used <= s.virtualTime {
				delete(s.finishTags, name)
			}
		}
	}
}

// mostShares is how many teams are remembered until those that have used nothing
// lately are forgotten.
const maxFinishTags = 1024

// cost is what a request takes of its team's share.
func (s *fairQueue) cost(w *waiting) float64 {
	weight := s.weights[w.want.Team]
	if weight <= 0 {
		weight = 1
	}
	return float64(w.tokens) / weight
}
