package concurrency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	// idleAfter is how long what was learned stands without new samples; then it fades
	// with idleMemory.
	idleAfter  = time.Second
	idleMemory = 4 * time.Second
	// defaultInitial is the expected time in service while nothing at all is known.
	defaultInitial = 20 * time.Millisecond
)

// Options are the settings of a Learner.
type Options struct {
	// RoundTrip is the time of the messages between the end of a request and the arrival
	// of the next one. As many requests as end in it may be in flight above the slots.
	RoundTrip time.Duration
	// Initial is the expected time in service while nothing is known of any endpoint.
	// The default is 20 ms.
	Initial time.Duration
}

// Learner learns the limits of the endpoints of one service from the requests of all its
// callers. It implements Limiter.
type Learner struct {
	options   Options
	endpoints map[id.Endpoint]*endpoint
	// order lists the endpoints by name.
	order  []*endpoint
	losses *Losses
	peers  peers
}

var _ Limiter = (*Learner)(nil)

// endpoint is what is known of one endpoint.
type endpoint struct {
	Member
	pace pace
	// limit is the learned limit, which ages; unlimited if there is none.
	limit float64
	// near holds the samples that were sent close to the limit, floor the times in
	// service at up to half of it.
	near  arm
	floor average
	// full is the share of the requests of late that were sent close to the limit.
	full average
	// reachedAt is when the newest request that reached the limit ended, loweredAt when
	// a refusal lowered the limit.
	reachedAt, loweredAt time.Duration
	// crowdedAt is when the newest request ended that was sent above half of the limit.
	crowdedAt time.Duration
	// lastSample is when the newest sample came, lastInFlight its number in flight.
	lastSample   time.Duration
	lastInFlight int
	// lower and higher are the schedules of the trials downward and upward, triedAt is the
	// logarithm of the time in service near the limit when the last one ended.
	lower, higher schedule
	triedAt       float64
	// settledAt is when the last trial ended.
	settledAt time.Duration
	// check is the trial that is due next, if any is.
	check check
	trial *trial
}

// New returns a Learner without endpoints.
func New(options Options) *Learner {
	if options.Initial == 0 {
		options.Initial = defaultInitial
	}
	return &Learner{options: options, endpoints: map[id.Endpoint]*endpoint{}, losses: NewLosses()}
}

// Configure implements Limiter.
func (l *Learner) Configure(now time.Duration, members []Member) {
	old := l.endpoints
	l.endpoints = make(map[id.Endpoint]*endpoint, len(members))
	l.order = l.order[:0]
	names := make([]id.Endpoint, 0, len(members))
	for _, m := range members {
		if l.endpoints[m.Endpoint] != nil {
			continue
		}
		e := old[m.Endpoint]
		if e == nil {
			e = newEndpoint(now, m)
		}
		e.resize(m)
		l.endpoints[m.Endpoint] = e
		l.order = append(l.order, e)
		names = append(names, m.Endpoint)
	}
	slices.SortFunc(l.order, func(a, b *endpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	l.losses.Configure(now, names)
	l.peers = peers{}
}

func newEndpoint(now time.Duration, m Member) *endpoint {
	return &endpoint{
		Member:     m,
		limit:      unlimited,
		near:       newArm(),
		floor:      average{memory: floorMemory, most: floorSamples},
		full:       average{memory: nearMemory, most: nearSamples},
		reachedAt:  now,
		lastSample: now,
	}
}

// resize takes over the slots and the bound, which may have changed.
func (e *endpoint) resize(m Member) {
	if m.Slots != e.Slots {
		e.limit = unlimited
		e.trial = nil
	}
	e.Member = m
}

// Expected implements Limiter. Endpoints that differ by no more than chance have the same.
func (l *Learner) Expected(now time.Duration, name id.Endpoint, inFlight int) time.Duration {
	usual := l.usual(now)
	log := usual.base + usual.spread/2
	if e := l.endpoints[name]; e != nil && e.pace.samples > 0 {
		keep := decay(now-e.lastSample-idleAfter, idleMemory)
		log += keep * beyondNoise(e.pace.base-usual.base)
		log += keep * beyondNoise(e.pace.slope) * crowding(min(inFlight, e.Slots), e.Slots)
		log += logQueueing(inFlight, e.Slots)
	}
	return seconds(log)
}

// Record implements Limiter.
func (l *Learner) Record(now time.Duration, s Sample) {
	e := l.endpoints[s.Endpoint]
	if e == nil {
		return
	}
	l.recordLoss(now, s)
	switch s.Outcome {
	case Completed, TimedOut:
		l.measure(now, e, s)
	case Refused:
		l.refused(now, e, s)
	}
}

// recordLoss records answers that came and answers that did not.
func (l *Learner) recordLoss(now time.Duration, s Sample) {
	switch s.Outcome {
	case Completed:
		l.losses.Record(now, s.Endpoint, false)
	case Failed, TimedOut:
		l.losses.Record(now, s.Endpoint, true)
	}
}

// measure takes over the time in service. That of a request that timed out is a lower
// bound, and all there is where every request does.
func (l *Learner) measure(now time.Duration, e *endpoint, s Sample) {
	limit := l.settled(now, e)
	m := e.normalise(s)
	e.pace.add(now, m.logTook, crowding(m.running, e.Slots))
	e.lastSample, e.lastInFlight = now, s.InFlight
	if s.InFlight >= limit {
		e.reached(now, limit)
	}
	e.addFloor(now, m, limit)
	l.observe(now, e, m)
}

// measured is a sample without the effect of a queue at the endpoint.
type measured struct {
	Sample
	// running is how many requests the endpoint ran, as far as it has slots.
	running int
	// logTook is the logarithm of the time in service without waiting for a slot.
	logTook float64
}

func (e *endpoint) normalise(s Sample) measured {
	return measured{
		Sample:  s,
		running: min(s.InFlight, max(1, e.Slots)),
		logTook: logSeconds(s.Took) - logQueueing(s.InFlight, e.Slots),
	}
}

// logQueueing is the logarithm of the factor on the time in service where requests above the
// slots wait for one.
func logQueueing(inFlight, slots int) float64 {
	return math.Log(max(1, float64(inFlight)/float64(max(1, slots))))
}

// addFloor records a request that was sent while the endpoint had little to do, and that
// did not share it with requests sent while it had more.
func (e *endpoint) addFloor(now time.Duration, m measured, limit int) {
	if m.running > max(1, min(limit, e.Slots)/2) {
		e.crowdedAt = now
		return
	}
	if now-m.Took > e.crowdedAt {
		e.floor.add(now, m.logTook)
	}
}

// Loss returns the share of an endpoint's answers that are lost, from 0 to 1.
func (l *Learner) Loss(now time.Duration, name id.Endpoint) float64 {
	return l.losses.Loss(now, name)
}

// Suspect returns the endpoints that lose clearly more answers than their peers, the
// worst first; see Losses.Suspect.
func (l *Learner) Suspect(now time.Duration) []id.Endpoint { return l.losses.Suspect(now) }

// Spare sets how many endpoints the others can do without; see Losses.Spare.
func (l *Learner) Spare(endpoints int) { l.losses.Spare(endpoints) }
