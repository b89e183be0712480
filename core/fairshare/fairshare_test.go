package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// request is a waiting request of the tests.
type request struct {
	name string
	team id.Team
	cost float64
	rank Rank
}

func (r *request) Rank() Rank              { return r.rank }
func (r *request) Team() id.Team           { return r.team }
func (r *request) Cost() float64           { return r.cost }
func (r *request) SetStartTag(tag float64) { r.rank.StartTag = tag }

func names(queue []*request) []string {
	var out []string
	for _, r := range queue {
		out = append(out, r.name)
	}
	return out
}

// TestOrder: begun work first, then what can be in time, then priority, then age.
func TestOrder(t *testing.T) {
	is := is.New(t)
	queue := []*request{
		{name: "late", rank: Rank{Late: true, Priority: 9}},
		{name: "younger", rank: Rank{Priority: 5, Arrived: 2}},
		{name: "older", rank: Rank{Priority: 5, Arrived: 1}},
		{name: "urgent", rank: Rank{Priority: 9, Arrived: 3}},
		{name: "begun", rank: Rank{Begun: true, Late: true}},
	}
	Sort(queue, NewShares())
	is.Equal(names(queue), []string{"begun", "urgent", "older", "younger", "late"})
}

// grantAll grants n requests of a queue that is refilled by refill, and returns the cost
// granted to each team.
func grantAll(s *Shares, n int, refill func(i int) []*request) map[id.Team]float64 {
	granted := map[id.Team]float64{}
	var queue []*request
	for i := range n {
		for _, r := range refill(i) {
			r.rank.Arrived = time.Duration(i)
			queue = append(queue, r)
		}
		Sort(queue, s)
		first := queue[0]
		queue = queue[1:]
		granted[first.team] += first.cost
		s.Granted(first.team, first.rank.StartTag, first.cost)
	}
	return granted
}

// TestCostIsSharedByWeight: two teams that always have requests waiting, one of three times
// the weight and of twice the cost for each request.
func TestCostIsSharedByWeight(t *testing.T) {
	is := is.New(t)
	s := NewShares()
	s.Configure([]live.Team{{Name: "small", Weight: 1}, {Name: "large", Weight: 3}})
	got := grantAll(s, 600, func(int) []*request {
		return []*request{{team: "small", cost: 1}, {team: "large", cost: 2}}
	})
	ratio := got["large"] / got["small"]
	is.True(ratio > 2.9 && ratio < 3.1)
}

// TestUnusedShareIsNotCarriedOver: a team that returns after a pause gets its share, not
// what it left to the others before.
func TestUnusedShareIsNotCarriedOver(t *testing.T) {
	is := is.New(t)
	s := NewShares()
	s.Configure([]live.Team{{Name: "paused", Weight: 1}, {Name: "busy", Weight: 1}})
	grantAll(s, 100, func(int) []*request { return []*request{{team: "busy", cost: 1}} })
	got := grantAll(s, 100, func(int) []*request {
		return []*request{{team: "busy", cost: 1}, {team: "paused", cost: 1}}
	})
	is.True(got["paused"] <= 51)
	is.True(got["busy"] >= 49)
}

// TestTagsOfUnusedTeamsAreForgotten: many teams that each send one request leave no more
// than the bound of tags behind.
func TestTagsOfUnusedTeamsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := NewShares()
	for i := range 4 * maxFinishTags {
		team := id.Team(fmt.Sprint(i))
		s.Granted(team, s.Next(team), 1)
		s.Granted("steady", s.Next("steady"), 1)
	}
	is.True(len(s.finishTags) <= maxFinishTags+1)
}
