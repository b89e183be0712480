package health

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	// usualHalfLife is the half-life of the outcomes by which a group's usual loss rate
	// is known.
	usualHalfLife = 2 * time.Second
	// minUsualLoss bounds the usual loss rate from below, so that a single loss in a group
	// that loses nothing else is no proof.
	minUsualLoss = 0.05
	// priorOutcomes is how many outcomes at minUsualLoss a group begins with.
	priorOutcomes = 4.0
	// lossyFactor is how many times the usual an endpoint's loss rate is when it is lossy;
	// maxLossRate bounds that rate.
	lossyFactor = 2.0
	maxLossRate = 0.9
	// maxEvidence bounds the evidence against an endpoint, as the logarithm of a
	// likelihood ratio, so that a few answers clear it.
	maxEvidence = 2.0
	// evidenceHalfLife lets an endpoint that is passed over get work again.
	evidenceHalfLife = 8 * time.Second
)

// lossCount counts the outcomes of a group, decayed, as of at.
type lossCount struct {
	lost, total float64
	at          time.Duration
}

// count counts one outcome.
func (c *lossCount) count(now time.Duration, lost bool) {
	keep := halved(now-c.at, usualHalfLife)
	c.lost, c.total, c.at = keep*c.lost, keep*c.total+1, now
	if lost {
		c.lost++
	}
}

// usual returns the loss rate, at least minUsualLoss.
func (c *lossCount) usual() float64 {
	return max(minUsualLoss, (c.lost+priorOutcomes*minUsualLoss)/(c.total+priorOutcomes))
}

// evidence says by how much the outcomes of an endpoint speak for a higher loss rate than
// its group's: a cumulative sum of log-likelihood ratios that is never below zero, so that
// old successes do not hide a change.
type evidence struct {
	sum float64
	at  time.Duration
}

// add adds one outcome; usual is the group's loss rate.
func (v *evidence) add(now time.Duration, lost bool, usual float64) {
	lossy := min(maxLossRate, lossyFactor*usual)
	if lossy <= usual {
		return
	}
	ratio := math.Log((1 - lossy) / (1 - usual))
	if lost {
		ratio = math.Log(lossy / usual)
	}
	v.sum = min(maxEvidence, max(0, v.asOf(now)+ratio))
	v.at = now
}

// asOf returns the evidence, decayed to now.
func (v *evidence) asOf(now time.Duration) float64 { return v.sum * halved(now-v.at, evidenceHalfLife) }

// halved returns the share that is left after a time.
func halved(passed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, passed)) / float64(halfLife))
}

// Doubt returns how strongly the recent outcomes of the endpoint say that it loses more work
// than its peers, from 0 to 1. A few outcomes tell, and the endpoint is to be passed over
// only while others have room: unlike an ejection, doubt leaves out no endpoint, and it does
// not grow if all lose alike.
func (d *Detector) Doubt(now time.Duration, name id.Endpoint) float64 {
	e, ok := d.endpoints[name]
	if !ok {
		return 0
	}
	return e.losses.asOf(now) / maxEvidence
}

// countLoss records an outcome for Doubt.
func (d *Detector) countLoss(now time.Duration, e *endpoint, lost bool) {
	g := group{pool: e.Pool, role: e.Role}
	usual := d.lossCounts[g]
	if usual == nil {
		usual = &lossCount{}
		d.lossCounts[g] = usual
	}
	e.losses.add(now, lost, usual.usual())
	usual.count(now, lost)
}
