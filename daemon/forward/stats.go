package forward

import (
	"time"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// stats holds the metrics of a Forwarder.
type stats struct {
	outcomes        *metrics.CounterMap
	deniedRetries   *metrics.Counter
	paidRepeats     *metrics.CounterMap
	repeatArrivals  *metrics.CounterMap
	wastedPrefills  *metrics.Counter
	refusedStale    *metrics.Counter
	sentUnlisted    *metrics.Counter
	resumedStreams  *metrics.Counter
	silentStreams   *metrics.Counter
	streamsKept     *metrics.Counter
	breaksAlive     *metrics.Counter
	breaksUnknown   *metrics.Counter
	unknownParts    *metrics.Counter
	refusedParts    *metrics.Counter
	invalidLimits   *metrics.Counter
	limitAvoided    *metrics.Counter
	limitRefusals   *metrics.Counter
	backoffs        *metrics.Counter
	invalidBackoffs *metrics.Counter
	backoffAvoided  *metrics.Counter
	backoffRefusals *metrics.Counter
	requestTime     *metrics.Latency
	firstEvent      *metrics.Latency
	engineWait      *metrics.Latency
	callGrants      *metrics.CounterMap
	callRefusals    *metrics.CounterMap
	callTeams       *metrics.CounterMap
	callGivenBack   *metrics.Counter
	callFallbacks   *metrics.CounterMap
	callWait        *metrics.Latency
}

func newStats(r *metrics.Registry) stats {
	return stats{
		outcomes:        r.CounterMap("forward_outcomes", metrics.UnitCount, "Ended requests, by outcome."),
		deniedRetries:   r.Counter("forward_repeats_unpaid", metrics.UnitCount, "Retries that the retry limit of a service did not allow."),
		paidRepeats:     r.CounterMap("forward_repeats_paid", metrics.UnitCount, "Arrivals beyond the first of a request that the retry limit allowed, by service, including those that did not take place."),
		repeatArrivals:  r.CounterMap("forward_repeat_arrivals", metrics.UnitCount, "Arrivals of requests at endpoints beyond the first of each request, by service and step: call, prefill or decode."),
		wastedPrefills:  r.Counter("forward_prefills_wasted", metrics.UnitCount, "Prefills that no decode used."),
		refusedStale:    r.Counter("forward_refused_stale", metrics.UnitCount, "Requests with a key that were refused since the configuration may have been too old."),
		sentUnlisted:    r.Counter("forward_sent_unlisted", metrics.UnitCount, "Requests sent to endpoints that the store no longer lists and that are kept, since they may have lapsed with it."),
		resumedStreams:  r.Counter("forward_streams_resumed", metrics.UnitCount, "Streams that were resumed at another engine."),
		silentStreams:   r.Counter("forward_streams_silent", metrics.UnitCount, "Streams for which another engine was sought since theirs was silent."),
		streamsKept:     r.Counter("forward_streams_went_on", metrics.UnitCount, "Streams whose silent engine went on before another one was found."),
		breaksUnknown:   r.Counter("forward_breaks_unknown", metrics.UnitCount, "Exchanges broken off of which this host could not tell whether the endpoint crashed, since it could open no connection."),
		breaksAlive:     r.Counter("forward_breaks_alive", metrics.UnitCount, "Exchanges broken off by endpoints that still accept connections, which are no crashes."),
		unknownParts:    r.Counter("forward_parts_unknown", metrics.UnitCount, "Parts of prompts that are no evidence in a crash: their names can't be read, or the request has too many."),
		refusedParts:    r.Counter("forward_refused_parts", metrics.UnitCount, "Requests that were refused, or not sent again, since a part of their prompt has crashed endpoints in other requests."),
		invalidLimits:   r.Counter("forward_limits_invalid", metrics.UnitCount, "Answers of endpoints that name a rate limit that can't be used."),
		limitAvoided:    r.Counter("forward_limit_avoided", metrics.UnitCount, "Requests that waited for an endpoint's rate limit, or for which an engine was given back because of one."),
		limitRefusals:   r.Counter("forward_limit_refusals", metrics.UnitCount, "Requests refused since all endpoints of their service had reached their rate limits."),
		backoffs:        r.Counter("forward_backoffs", metrics.UnitCount, "Refusals of endpoints that want no requests of this daemon for a time."),
		invalidBackoffs: r.Counter("forward_backoffs_invalid", metrics.UnitCount, "Refusals of endpoints that name a backoff which can't be used."),
		backoffAvoided:  r.Counter("forward_backoff_avoided", metrics.UnitCount, "Requests that left out an endpoint of their service, or gave an engine back, since it was in backoff."),
		backoffRefusals: r.Counter("forward_backoff_refusals", metrics.UnitCount, "Requests refused since the endpoints of their service that are not at their rate limits were in backoff."),
		requestTime:     r.Latency("forward_request_time", "Time from a request's arrival to its end."),
		firstEvent:      r.Latency("forward_first_event_time", "Time from a stream's arrival to its first event."),
		engineWait:      r.Latency("forward_wait_time", "Time that a stream waited for its engines."),
		callGrants:      r.CounterMap("forward_call_grants", metrics.UnitCount, "Plain calls to which owners of queues granted endpoints, by service and priority, 0 to 9 (first)."),
		callRefusals:    r.CounterMap("forward_call_refusals", metrics.UnitCount, "Plain calls that owners of queues refused, by service, priority and code."),
		callTeams:       r.CounterMap("forward_call_teams", metrics.UnitCount, "Plain calls that owners of queues decided on, by team and result: granted or refused."),
		callGivenBack:   r.Counter("forward_call_grants_given_back", metrics.UnitCount, "Grants of plain calls whose endpoints this daemon may not or could not use."),
		callFallbacks:   r.CounterMap("forward_call_fallbacks", metrics.UnitCount, "Plain calls that no owner decided on in time, by service and result: sent or refused."),
		callWait:        r.Latency("forward_call_wait_time", "Time that a plain call waited for the owner of its service's queue."),
	}
}

func (s *stats) recordOutcome(outcome string, took time.Duration) {
	s.outcomes.Add(outcome, 1)
	s.requestTime.Record(took)
}
