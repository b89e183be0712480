package concurrency

import (
	"math"
	"time"
)

const (
	// paceMemory is the time constant of an endpoint's pace: a change of speed is
	// followed to nine tenths in 2.3 of it.
	paceMemory = 300 * time.Millisecond
	// leastGain and mostGain bound the weight of a sample where calls are very frequent
	// or rare.
	leastGain = 1.0 / 64
	mostGain  = 0.08
	// slopeShare is how much slower the slope is learned than the base: a change of pace
	// while the endpoint is crowded must not look like an effect of the crowding.
	slopeShare = 0.4
	// mostSlope bounds the learned effect of crowding, as a logarithm.
	mostSlope = 3
	// mostDeviation bounds what one sample can say, as a logarithm.
	mostDeviation = 1.2
	// mostCrowding bounds the measure of crowding beyond the slots.
	mostCrowding = 1.5
)

// pace is an endpoint's time in service by the number in flight: the logarithm of the
// seconds is base + slope * crowding.
type pace struct {
	base, slope float64
	// spread is the variance of the logarithm; the mean of a time is above its median
	// by half of it.
	spread  float64
	samples int
	at      time.Duration
}

// crowding measures how crowded an endpoint is: 0 up to half of its slots, 1 when they are
// all used.
func crowding(inFlight, slots int) float64 {
	half := max(1, float64(slots)/2)
	return min(max(0, (float64(inFlight)-half)/half), mostCrowding)
}

// add records the logarithm of a time in service.
func (p *pace) add(now time.Duration, logTook, crowded float64) {
	if p.samples == 0 {
		p.base, p.samples, p.at = logTook-p.slope*crowded, 1, now
		return
	}
	gain := p.gain(now)
	off := logTook - p.base - p.slope*crowded
	bounded := min(max(off, -mostDeviation), mostDeviation)
	p.base += gain * bounded
	p.slope += gain * slopeShare * crowded * bounded
	p.slope = min(max(p.slope, 0), mostSlope)
	p.spread += gain * (bounded*bounded - p.spread)
	p.samples++
	p.at = now
}

// gain is the weight of a sample that arrives now.
func (p *pace) gain(now time.Duration) float64 {
	byTime := 1 - decay(now-p.at, paceMemory)
	steady := min(max(byTime, leastGain), mostGain)
	return max(steady, 1/float64(p.samples+1))
}

// expected is the mean time in service.
func (p *pace) expected(crowded float64) time.Duration {
	return seconds(p.base + p.slope*crowded + p.spread/2)
}

// seconds turns the logarithm of seconds into a duration.
func seconds(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}

// logSeconds is the logarithm of a duration in seconds; durations below a microsecond
// count as one.
func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}
