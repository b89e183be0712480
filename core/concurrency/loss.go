package concurrency

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	// lossMemory and lossSamples bound the answers that an endpoint is judged by.
	lossMemory  = 3 * time.Second
	lossSamples = 20
	// priorLost and priorAnswered are the answers that the peers are thought to have
	// lost and given before the first one: without them one loss would be a certainty.
	priorLost     = 0.5
	priorAnswered = 20
	// priorStrength is how many answers the rate of the peers counts for in the
	// estimate of an endpoint.
	priorStrength = 3
	// evidence is the log likelihood ratio from which an endpoint is worse than its
	// peers.
	evidence = 5
	// firstAbsence is how long a suspect is left out; it doubles up to lastAbsence each
	// time that it is suspected again.
	firstAbsence = time.Second
	lastAbsence  = 8 * time.Second
	// absenceMemory is how long an endpoint must have been sound for its next absence
	// to be a short one.
	absenceMemory = 10 * time.Second
	// probationSamples is the weight of the old evidence once an endpoint is tried
	// again: one loss is then enough, and a few answers clear it.
	probationSamples = 2.5
	// probationAnswers is how many answers in a row end the probation.
	probationAnswers = 3
)

// Losses estimates which share of its answers each endpoint loses, and finds those that
// lose clearly more than their peers. Where all lose alike the cause is a common one, and
// none is suspected. It is deterministic and not safe for concurrent use.
type Losses struct {
	endpoints map[id.Endpoint]*losing
	order     []*losing
	// spare is the number of endpoints that may be left out; negative for half of them.
	spare int
}

// losing is what is known of one endpoint's answers.
type losing struct {
	name id.Endpoint
	// lost and total are counts that fade.
	lost, total float64
	at          time.Duration
	// suspectSince is when the endpoint was suspected, absentUntil when it is tried
	// again.
	suspect      bool
	suspectSince time.Duration
	absentUntil  time.Duration
	absence      time.Duration
	// probation is how many more answers it needs after an absence.
	probation int
}

// NewLosses returns a Losses without endpoints.
func NewLosses() *Losses {
	return &Losses{endpoints: map[id.Endpoint]*losing{}, spare: -1}
}

// Configure sets the endpoints that are compared; what is known of those that stay is kept.
func (l *Losses) Configure(now time.Duration, names []id.Endpoint) {
	old := l.endpoints
	l.endpoints = make(map[id.Endpoint]*losing, len(names))
	l.order = l.order[:0]
	for _, name := range names {
		e := old[name]
		if e == nil {
			e = &losing{name: name, at: now}
		}
		l.endpoints[name] = e
		l.order = append(l.order, e)
	}
	slices.SortFunc(l.order, func(a, b *losing) int { return cmp.Compare(a.name, b.name) })
}

// Spare sets how many endpoints the others have room to do without. At most half are left
// out in any case, since the better half is what the others are compared with.
func (l *Losses) Spare(endpoints int) { l.spare = max(0, endpoints) }

// Record records an answer that came, or one that was lost: an error, a broken connection
// or a timeout.
func (l *Losses) Record(now time.Duration, name id.Endpoint, lost bool) {
	e := l.endpoints[name]
	if e == nil {
		return
	}
	e.fade(now)
	e.add(lost)
	if lost {
		l.judge(now, e)
	}
}

func (e *losing) fade(now time.Duration) {
	keep := decay(now-e.at, lossMemory)
	e.lost *= keep
	e.total *= keep
	e.at = now
}

func (e *losing) add(lost bool) {
	if e.total > lossSamples-1 {
		e.lost *= (lossSamples - 1) / e.total
		e.total = lossSamples - 1
	}
	e.total++
	if lost {
		e.lost++
		return
	}
	e.probation = max(0, e.probation-1)
}

// Loss returns the estimated share of lost answers, from 0 to 1; that of the peers where
// little is known of the endpoint.
func (l *Losses) Loss(now time.Duration, name id.Endpoint) float64 {
	e := l.endpoints[name]
	if e == nil {
		return 0
	}
	keep := decay(now-e.at, lossMemory)
	usual := l.usual()
	return (keep*e.lost + priorStrength*usual) / (keep*e.total + priorStrength)
}

// usual is the share of lost answers of the better half of the endpoints.
func (l *Losses) usual() float64 {
	known := make([]*losing, 0, len(l.order))
	for _, e := range l.order {
		if e.total > 0 {
			known = append(known, e)
		}
	}
	slices.SortStableFunc(known, func(a, b *losing) int { return cmp.Compare(a.rate(), b.rate()) })
	lost, total := priorLost, priorAnswered+priorLost
	for _, e := range known[:(len(known)+1)/2] {
		lost += e.lost
		total += e.total
	}
	return lost / total
}

func (e *losing) rate() float64 { return e.lost / max(1, e.total) }

// judge suspects an endpoint whose losses can't be explained by the rate of its peers.
func (l *Losses) judge(now time.Duration, e *losing) {
	if e.suspect || l.worse(e) < evidence {
		return
	}
	if now-e.absentUntil > absenceMemory {
		e.absence = 0
	}
	e.absence = min(max(2*e.absence, firstAbsence), lastAbsence)
	e.suspect, e.suspectSince = true, now
	e.absentUntil = now + e.absence
	e.probation = probationAnswers
}

// worse is the log likelihood ratio of an endpoint's own rate against that of its peers.
// The better half of several samples looks better than it is, by about a standard
// deviation of one sample.
func (l *Losses) worse(e *losing) float64 {
	usual := l.usual()
	usual += math.Sqrt(usual * (1 - usual) / max(1, e.total))
	own := e.rate()
	if own <= usual {
		return 0
	}
	ratio := own * math.Log(own/usual)
	if own < 1 {
		ratio += (1 - own) * math.Log((1-own)/(1-usual))
	}
	return e.total * ratio
}
