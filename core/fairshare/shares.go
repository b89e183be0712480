// Package fairshare orders the requests that wait for a scarce resource: by rank, then by
// the share that their teams have had of the resource, then by age. Engines and plain
// services use the same order. The package is deterministic.
package fairshare

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// maxFinishTags is the number of stored finish tags above which those of teams
// without recent use are deleted.
const maxFinishTags = 1024

// Shares tracks what each team was granted, so that each gets the resource in proportion to
// its weight, whatever load the other teams send: start-time fair queueing. Without it, one
// team that sends many times as much as the others would fill the queue before them. Teams
// that do not use their share leave it to the rest. It is not safe for concurrent use.
type Shares struct {
	weights map[id.Team]float64
	// finishTags is the cost granted to each team, divided by its weight;
	// virtualTime is the start tag of the last granted request. A team whose
	// tag is below virtualTime counts as at virtualTime: an unused share is not
	// carried over.
	finishTags  map[id.Team]float64
	virtualTime float64
}

// NewShares returns Shares without teams.
func NewShares() *Shares {
	return &Shares{weights: map[id.Team]float64{}, finishTags: map[id.Team]float64{}}
}

// Configure applies the teams' weights.
func (s *Shares) Configure(teams []live.Team) {
	clear(s.weights)
	for _, t := range teams {
		s.weights[t.Name] = t.Weight
	}
}

// HasTeams reports whether any teams are configured.
func (s *Shares) HasTeams() bool { return len(s.weights) > 0 }

// Scaled returns a cost divided by the team's weight, the unit of start tags.
func (s *Shares) Scaled(team id.Team, cost float64) float64 {
	weight := s.weights[team]
	if weight <= 0 {
		weight = live.DefaultWeight
	}
	return cost / weight
}

// Next returns the start tag of the team's next request if none of its requests waits.
func (s *Shares) Next(team id.Team) float64 { return max(s.finishTags[team], s.virtualTime) }

// Granted advances the tags after the grant of a request with the given start tag and cost.
func (s *Shares) Granted(team id.Team, startTag, cost float64) {
	at := s.Next(team)
	s.finishTags[team] = at + s.Scaled(team, cost)
	s.virtualTime = max(s.virtualTime, min(startTag, at))
	if len(s.finishTags) > maxFinishTags {
		s.forgetUnused()
	}
}

// forgetUnused deletes the tags of the teams at or below virtualTime, which count the same
// when they return.
func (s *Shares) forgetUnused() {
	for team, used := range s.finishTags {
		if used <= s.virtualTime {
			delete(s.finishTags, team)
		}
	}
}
