package gateway

import (
	"fmt"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/callsched"
	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// callStates reports the states of the pools of plain services that this daemon owns.
type callStates struct {
	d *Daemon
	f *fleet
	// logged holds the states as last logged, by pool.
	logged map[id.Pool]loggedState
}

// loggedState is a pool's state as it was logged at a time.
type loggedState struct {
	at    time.Duration
	state pool.CallStatus
}

func newCallStates(d *Daemon, f *fleet) *callStates {
	c := &callStates{d: d, f: f, logged: map[id.Pool]loggedState{}}
	d.metrics.GaugeMapFunc("call_queue", metrics.UnitCount, "State of the queues of plain services that this daemon owns, and calls since it became their owner, by service and figure.", c.queues)
	d.metrics.GaugeMapFunc("call_endpoints", metrics.UnitCount, "What was learned of the endpoints of plain services whose queues this daemon owns, by endpoint and figure. Times are in milliseconds.", c.endpoints)
	return c
}

// current returns the present states; nil while calls are not queued.
func (c *callStates) current() []pool.CallStatus {
	if !c.d.callQueue() {
		return nil
	}
	return c.f.broker.Calls()
}

// log logs the state of each owned pool in which calls were asked for since the last line.
func (c *callStates) log(now time.Duration) {
	states := c.current()
	owned := map[id.Pool]bool{}
	for i := range states {
		s := &states[i]
		owned[s.Pool] = true
		before, known := c.logged[s.Pool]
		if known && (now < before.at+stateLogInterval || s.Stats.Wants == before.state.Stats.Wants) {
			continue
		}
		c.logged[s.Pool] = loggedState{at: now, state: *s}
		if s.Stats.Wants > 0 {
			c.logState(s, &before.state)
		}
	}
	for p := range c.logged {
		if !owned[p] {
			delete(c.logged, p)
		}
	}
}

// logState logs a pool's state with the calls since the line before.
func (c *callStates) logState(s, before *pool.CallStatus) {
	n, old := &s.Stats, &before.Stats
	c.d.logger.Event("call_pool_state", "pool", s.Pool, "queued", s.Queued, "running", s.Running, "slots", s.Slots, "held", s.Held,
		"settling", s.Settling, "leaving", len(s.Leaving), "ejected", names(s.Ejected),
		"wants", n.Wants-old.Wants, "repeated", n.Repeated-old.Repeated, "granted", n.Granted-old.Granted,
		"at_once", n.GrantedAtOnce-old.GrantedAtOnce, "late", n.GrantedLate-old.GrantedLate,
		"refused_forecast", n.Refused.Forecast-old.Refused.Forecast, "refused_overtaken", n.Refused.Overtaken-old.Refused.Overtaken,
		"refused_full", n.Refused.QueueFull-old.Refused.QueueFull, "refused_no_endpoint", n.Refused.NoEndpoint-old.Refused.NoEndpoint,
		"lapsed", n.Lapsed-old.Lapsed, "limits", limits(s.Endpoints))
}

func names(endpoints []id.Endpoint) string {
	out := make([]string, len(endpoints))
	for i, e := range endpoints {
		out[i] = string(e)
	}
	return strings.Join(out, ",")
}

// maxLoggedLimits bounds the endpoints in one line.
const maxLoggedLimits = 16

// limits lists the endpoints that are limited below their slots or left out, as
// NAME:LIMIT/SLOTS:REASON.
func limits(endpoints []concurrency.EndpointStatus) string {
	var out []string
	for i := range endpoints {
		e := &endpoints[i]
		if e.Reason != "" && len(out) < maxLoggedLimits {
			out = append(out, fmt.Sprintf("%s:%d/%d:%s", e.Endpoint, e.Limit, e.Slots, strings.ReplaceAll(string(e.Reason), " ", "-")))
		}
	}
	return strings.Join(out, ",")
}

// queues returns the figures of the owned queues, by SERVICE/FIGURE.
func (c *callStates) queues() map[string]float64 {
	out := map[string]float64{}
	for _, s := range c.current() {
		n := &s.Stats
		for figure, value := range map[string]uint64{
			"queued": uint64(s.Queued), "running": uint64(s.Running), "slots": uint64(s.Slots),
			"wants": n.Wants, "repeated": n.Repeated, "granted": n.Granted, "granted_at_once": n.GrantedAtOnce,
			"granted_late": n.GrantedLate, "adopted": n.Adopted, "lapsed": n.Lapsed,
			"refused_forecast": n.Refused.Forecast, "refused_overtaken": n.Refused.Overtaken,
			"refused_queue_full": n.Refused.QueueFull, "refused_no_endpoint": n.Refused.NoEndpoint,
			"refused_after_wait": n.RefusedAfterWait, "forecast_in_time": n.Forecasts.InTime,
			"forecast_late": n.Forecasts.Late, "forecast_in_vain": n.Forecasts.InVain,
		} {
			out[string(s.Pool)+"/"+figure] = float64(value)
		}
		for priority, n := range n.ByPriority {
			addAnswered(out, fmt.Sprintf("%s/priority/%d", s.Pool, priority), n)
		}
		for _, t := range n.ByTeam {
			addAnswered(out, fmt.Sprintf("%s/team/%s", s.Pool, t.Team), t.Answered)
		}
	}
	return out
}

// addAnswered adds the counts of calls, unless there are none.
func addAnswered(out map[string]float64, key string, n callsched.Answered) {
	if n.Granted+n.Refused > 0 {
		out[key+"/granted"], out[key+"/refused"] = float64(n.Granted), float64(n.Refused)
	}
}

// endpoints returns the figures of the endpoints, by ENDPOINT/FIGURE.
func (c *callStates) endpoints() map[string]float64 {
	out := map[string]float64{}
	for _, s := range c.current() {
		for _, e := range s.Endpoints {
			leftOut := 0.0
			if e.LeftOut {
				leftOut = 1
			}
			for figure, value := range map[string]float64{
				"limit": float64(e.Limit), "slots": float64(e.Slots), "in_flight": float64(e.InFlight), "left_out": leftOut,
				"slower": e.Slower, "loss": e.Loss, "base": milliseconds(e.Base), "current": milliseconds(e.Current), "age": milliseconds(e.Age),
			} {
				out[string(e.Endpoint)+"/"+figure] = value
			}
		}
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
