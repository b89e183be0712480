package concurrency

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Reason is why an endpoint is left out or limited, for metrics and logs.
type Reason string

// The reasons.
const (
	// ReasonLoss: it loses clearly more answers than its peers.
	ReasonLoss Reason = "loses answers"
	// ReasonProbing: it was left out and is tried with one request at a time.
	ReasonProbing Reason = "probing"
	// ReasonKnee: more requests in flight would complete no more.
	ReasonKnee Reason = "slows down"
	// ReasonTrial: another limit is being tried for a short time.
	ReasonTrial Reason = "trial"
)

// EndpointStatus is what an operator needs to see of an endpoint.
type EndpointStatus struct {
	Endpoint id.Endpoint
	Slots    int
	Limit    int
	// Reason is why the limit is below the slots or the endpoint is left out; empty if
	// neither.
	Reason Reason
	// LeftOut and LeftOutSince tell whether it gets no requests, and since when.
	LeftOut      bool
	LeftOutSince time.Duration
	// InFlight is the number in flight when the newest recorded request was sent.
	InFlight int
	// Base is the expected time in service when the endpoint is not crowded, Current that
	// at its limit.
	Base, Current time.Duration
	// Slower is Base as a multiple of the median of all endpoints; 1 if unknown.
	Slower float64
	// Loss is the share of lost answers, from 0 to 1.
	Loss float64
	// Age is the time since the newest sample of its time in service.
	Age time.Duration
}

// Status returns what is known of each endpoint, sorted by name.
func (l *Learner) Status(now time.Duration) []EndpointStatus {
	usual := l.usual(now)
	usually := seconds(usual.base + usual.spread/2)
	suspects := l.Suspect(now)
	all := make([]EndpointStatus, 0, len(l.order))
	for _, e := range l.order {
		s := l.status(now, e)
		s.Slower = float64(s.Base) / float64(usually)
		if slices.Contains(suspects, e.Endpoint) {
			s.LeftOut, s.LeftOutSince = true, l.losses.endpoints[e.Endpoint].suspectSince
			s.Reason = ReasonLoss
		}
		all = append(all, s)
	}
	return all
}

func (l *Learner) status(now time.Duration, e *endpoint) EndpointStatus {
	limit := l.Limit(now, e.Endpoint)
	return EndpointStatus{
		Endpoint: e.Endpoint,
		Slots:    e.Slots,
		Limit:    limit,
		Reason:   l.reason(now, e),
		InFlight: e.lastInFlight,
		Base:     l.Expected(now, e.Endpoint, 1),
		Current:  l.Expected(now, e.Endpoint, limit),
		Loss:     l.Loss(now, e.Endpoint),
		Age:      now - e.lastSample,
	}
}

// reason tells why the limit of an endpoint differs from its slots.
func (l *Learner) reason(now time.Duration, e *endpoint) Reason {
	switch {
	case l.losses.Probing(now, e.Endpoint):
		return ReasonProbing
	case e.trial != nil && !e.trial.over(now):
		return ReasonTrial
	case l.settled(now, e) < l.ceiling(e):
		return ReasonKnee
	default:
		return ""
	}
}
