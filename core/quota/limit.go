// Package quota holds teams to their limits over all daemons together. One
// daemon, the keeper, has an account for each team and grants credit on demand;
// the others spend a little ahead of it, so that a small request need not wait
// for the keeper. It has no I/O: requests and a time go in, decisions come out.
package quota

import (
	"fmt"
	"math"
	"time"
)

// Limit is how much a team may have run, over all daemons together. It is
// counted in units: requests, or tokens.
type Limit struct {
	// Rate is in units a second; 0 for no limit.
	Rate float64 `cbor:"1,keyasint,omitempty"`
	// Burst is how many units may come at once beyond the rate.
	Burst float64 `cbor:"2,keyasint,omitempty"`
	// ByTokens counts tokens in place of requests.
	ByTokens bool `cbor:"3,keyasint,omitempty"`
	// PlainTokens is what a request counts that names no size; only by tokens.
	PlainTokens float64 `cbor:"4,keyasint,omitempty"`
}

// Limited says whether there is a limit at all.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Check names the first figure that can't be one of a limit.
func (l Limit) Check() error {
	figures := []struct {
		name  string
		value float64
	}{{"rate", l.Rate}, {"burst", l.Burst}, {"plain tokens", l.PlainTokens}}
	for _, f := range figures {
		if f.value < 0 || math.IsNaN(f.value) || math.IsInf(f.value, 0) {
			return fmt.Errorf("the limit's %s is %v", f.name, f.value)
		}
	}
	return nil
}

// Size is how large a request says that it is, in tokens.
type Size struct {
	// Known is false for a request that names no size.
	Known bool
	// Prompt is the number of its tokens, Output the most of the answer.
	Prompt, Output int
}

// Cost is what a request of a size counts against the limit.
func (l Limit) Cost(s Size) float64 {
	switch {
	case !l.ByTokens:
		return 1
	case !s.Known:
		return l.PlainTokens
	default:
		return float64(s.Prompt) + float64(s.Output)
	}
}

// Tolerance is by how much a limit may be exceeded in any window, over all
// daemons together: by Overshoot, a share of what the limit allows in it, and by
// Slack units.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Of is the tolerance for one limit, in units.
func (t Tolerance) Of(l Limit) float64 {
	return t.Overshoot*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
}

const (
	// burstShare of the tolerance is a longer burst. In the long run a team has no
	// more than its rate; but what it sends at once is counted at other moments
	// here than where it is sent, and must not be refused for that.
	burstShare = 0.5
	// aheadShare of the slack is what all daemons together may spend ahead of the
	// keeper's word. What is left is for accounts that begin anew.
	localShare = 0.25
)

// room is the most that a team's account can hold: without a burst the team may
// still have a unit at a time.
func (t Tolerance) maxBalance(l Limit) float64 { return max(l.Burst, 1) + burstShare*t.Of(l) }

// Ahead is what each of so many daemons may spend ahead of the keeper's word.
func (t Tolerance) Ahead(daemons int) float64 { return localShare * t.Slack / float64(max(1, daemons)) }
