package front

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// stats are the metrics of the Server.
type stats struct {
	inFlight *metrics.Gauge
	// teamInFlight, teamRefused and answered are by team, refused is by error code.
	teamInFlight      *metrics.CounterMap
	teamRefused       *metrics.CounterMap
	answered          *metrics.CounterMap
	refused           *metrics.CounterMap
	callersGone       *metrics.Counter
	firstToken        *metrics.Latency
	interTokenLatency *metrics.Latency
}

func newStats(r *metrics.Registry) stats {
	return stats{
		inFlight:          r.Gauge("requests_in_flight", metrics.UnitCount, "requests being served"),
		teamInFlight:      r.CounterMap("team_requests_in_flight", metrics.UnitCount, "requests being served, by team"),
		teamRefused:       r.CounterMap("team_requests_failed", metrics.UnitCount, "requests ended by an error, by team"),
		answered:          r.CounterMap("requests_answered", metrics.UnitCount, "whole answers delivered, by team"),
		refused:           r.CounterMap("requests_failed", metrics.UnitCount, "requests ended by an error, by code"),
		callersGone:       r.Counter("callers_gone", metrics.UnitCount, "callers that disconnected before their answer was complete"),
		firstToken:        r.Latency("first_token", "time from a request's arrival to its first token"),
		interTokenLatency: r.Latency("token_pace", "mean time between the tokens of an answer"),
	}
}

// begin counts a team's request as in flight until the returned function is called.
func (s *stats) begin(team id.Team) func() {
	s.inFlight.Add(1)
	s.teamInFlight.Add(string(team), 1)
	return func() {
		s.inFlight.Add(-1)
		s.teamInFlight.Add(string(team), -1)
	}
}

// fail counts a request of a team that ended with an error.
func (s *stats) fail(team id.Team, code verdict.Code) {
	s.refused.Add(string(code), 1)
	s.teamRefused.Add(string(team), 1)
}
