package kvsched

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// fairQueue orders the requests of one priority so that each team gets memory
// in proportion to its weight, whatever load the other teams send: start-time
// fair queueing over the granted tokens. Without it, one team that sends many
// times as much as the others would fill the queue before them. Teams that do
// not use their share leave it to the rest.
type fairQueue struct {
	weights map[id.Team]float64
	// finishTags is the memory granted to each team, divided by its weight;
	// virtualTime is the start tag of the last granted request. A team whose
	// tag is below virtualTime counts as at virtualTime: an unused share is not
	// carried over.
	finishTags  map[id.Team]float64
	virtualTime float64
}

func newFairQueue() fairQueue {
	return fairQueue{weights: map[id.Team]float64{}, finishTags: map[id.Team]float64{}}
}

// configure applies the teams' weights.
func (s *fairQueue) configure(doc *live.Document) {
	clear(s.weights)
	for _, t := range doc.Teams {
		s.weights[t.Name] = t.Weight
	}
}

// hasTeams reports whether any teams are configured.
func (s *fairQueue) hasTeams() bool { return len(s.weights) > 0 }

// assignStartTags sets the start tag of each request. The queue must be sorted
// by rank, then by age.
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

// granted advances the tags after the grant of a request.
func (s *fairQueue) granted(w *waiting) {
	team := w.want.Team
	at := max(s.finishTags[team], s.virtualTime)
	s.finishTags[team] = at + s.cost(w)
	s.virtualTime = max(s.virtualTime, min(w.startTag, at))
	if len(s.finishTags) > maxFinishTags {
		// Teams at or below virtualTime count the same when they return.
		for name, used := range s.finishTags {
			if used <= s.virtualTime {
				delete(s.finishTags, name)
			}
		}
	}
}

// maxFinishTags is the number of stored finish tags above which those of teams
// without recent use are deleted.
const maxFinishTags = 1024

// cost returns the request's tokens divided by its team's weight.
func (s *fairQueue) cost(w *waiting) float64 {
	weight := s.weights[w.want.Team]
	if weight <= 0 {
		weight = 1
	}
	return float64(w.tokens) / weight
}
