// Package quota enforces the limits of teams over all daemons together. One
// daemon, the keeper, has an account for each team and grants credit on demand;
// the others spend a little in advance, before the keeper has charged it, so that
// a small request need not wait for the keeper. The package does no I/O: it takes
// requests and a time and returns decisions.
package quota

import (
	"fmt"
	"math"
	"time"
)

// Limit bounds what a team may run, over all daemons together. It is counted in
// units: requests or tokens.
type Limit struct {
	// Rate is in units a second; 0 for no limit.
	Rate float64 `cbor:"1,keyasint,omitempty"`
	// Burst is how many units may be used at once beyond the rate.
	Burst float64 `cbor:"2,keyasint,omitempty"`
	// ByTokens counts tokens in place of requests.
	ByTokens bool `cbor:"3,keyasint,omitempty"`
	// PlainTokens is the cost of a request of unknown size; only with ByTokens.
	PlainTokens float64 `cbor:"4,keyasint,omitempty"`
}

// Limited reports whether there is a limit at all.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Validate returns an error that names the first invalid value of the limit.
func (l Limit) Validate() error {
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

// Size is the size that a request declares, in tokens.
type Size struct {
	// Known is false for a request that declares no size.
	Known bool
	// Prompt is the number of prompt tokens, Output the maximum number of output
	// tokens.
	Prompt, Output int
}

// Cost returns what a request of a size counts against the limit, in units.
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
// daemons together: by Overshoot, a share of what the limit allows in it, plus
// Slack units.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// For returns the tolerance for one limit, in units.
func (t Tolerance) For(l Limit) float64 {
	return t.Overshoot*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
}

const (
	// burstShare of the tolerance extends the burst. In the long run a team gets no
	// more than its rate; but a burst is charged at the keeper at other times than
	// it was sent, and must not be refused for that.
	burstShare = 0.5
	// localShare of the slack is what all daemons together may spend before the
	// keeper has charged it. The rest of the slack covers new accounts.
	localShare = 0.25
)

// maxBalance returns the most that a team's account can hold: without a burst the
// team may still use one unit at a time.
func (t Tolerance) maxBalance(l Limit) float64 { return max(l.Burst, 1) + burstShare*t.For(l) }

// MaxDebt returns how much each of the given number of daemons may spend before the
// keeper has charged it, in units.
func (t Tolerance) MaxDebt(daemons int) float64 {
	return localShare * t.Slack / float64(max(1, daemons))
}
