package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/forecast"
	"github.com/samphirequay/samphirequay/core/live"
)

const (
	// forecastTTL is how long a forecast is used unless an engine comes or goes: a few
	// requests end within it.
	forecastTTL = 20 * time.Millisecond
	// forecastHorizon is how far ahead room is predicted: about what an answer takes. What is
	// granted meanwhile decides beyond it.
	forecastHorizon = 4 * time.Second
)

// outlook is the current forecast of the pool's room.
type outlook struct {
	forecast *forecast.Forecast
	at       time.Duration
	// size is the memory of the typical request of the forecast, in tokens.
	size float64
	// granted is the number of requests granted since the forecast was made.
	granted float64
	// stale is set after a change of the engines.
	stale bool
}

// lookAhead returns the forecast of the pool's room, made anew when it is old.
func (l *Ledger) lookAhead() *outlook {
	o := &l.outlook
	if o.forecast != nil && !o.stale && l.now-o.at < forecastTTL {
		return o
	}
	s := forecast.State{DecodeRate: l.decodeRate.perSecond(), Typical: l.arrivals.typical(), Horizon: forecastHorizon}
	for _, e := range l.order {
		if !l.usableByAny(e) {
			continue
		}
		if e.role == live.RolePrefill {
			s.Prefills = append(s.Prefills, forecast.Prefill{FreeIn: e.startAt(l.now) - l.now, Rate: e.prefillRate.perSecond()})
		}
		if e.decodesHere() {
			l.tried++
			s.Decodes = append(s.Decodes, l.engineState(e))
		}
	}
	*o = outlook{forecast: forecast.New(s), at: l.now, size: s.Typical.Held + s.Typical.Remaining}
	return o
}

// engineState returns what a forecast needs to know of an engine.
func (l *Ledger) engineState(e *endpoint) forecast.Engine {
	state := forecast.Engine{Memory: float64(e.memory), Slots: e.slots}
	for _, r := range e.decodes {
		c := l.footprintOf(r)
		state.Running = append(state.Running, forecast.Request{Held: c.held, Remaining: c.remaining, Leaves: l.leavesIn(r)})
	}
	return state
}

// usableByAny reports whether an endpoint may serve requests that are tied to none.
func (l *Ledger) usableByAny(e *endpoint) bool {
	return e.available(l.now) && (l.options.Health == nil || l.options.Health.Allowed(e.name))
}

// wholeEngines reports whether engines read prompts themselves, so that no others are waited
// for.
func (l *Ledger) wholeEngines() bool {
	return slices.ContainsFunc(l.order, func(e *endpoint) bool { return e.role == live.RoleWhole })
}
