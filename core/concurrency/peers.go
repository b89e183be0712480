package concurrency

import (
	"slices"
	"time"
)

const (
	// peersAge is how long what is usual is kept before it is computed again.
	peersAge = 50 * time.Millisecond
	// noise is the error of a pace, as a logarithm. Smaller differences between endpoints
	// are not acted on: calls would be heaped on whichever looks fastest for a moment.
	noise = 0.2
)

// peers caches what is usual among the endpoints of which something is known.
type peers struct {
	known bool
	at    time.Duration
	// base and spread are medians of those of the paces.
	base, spread float64
}

// usual returns the medians over the endpoints.
func (l *Learner) usual(now time.Duration) peers {
	if !l.peers.known || now-l.peers.at >= peersAge {
		l.peers = l.compare(now)
	}
	return l.peers
}

func (l *Learner) compare(now time.Duration) peers {
	p := peers{known: true, at: now, base: logSeconds(l.options.Initial)}
	var bases, spreads []float64
	for _, e := range l.order {
		if e.pace.samples > 0 {
			bases = append(bases, e.pace.base)
			spreads = append(spreads, e.pace.spread)
		}
	}
	if len(bases) > 0 {
		p.base, p.spread = lowerMedian(bases), lowerMedian(spreads)
	}
	return p
}

// lowerMedian is the median, of an even number of values the lower of the two: of two
// endpoints the faster one is the usual one.
func lowerMedian(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// beyondNoise reduces a difference of logarithms that may be chance: small ones vanish,
// large ones stay.
func beyondNoise(difference float64) float64 {
	ratio := difference / noise
	fourth := ratio * ratio * ratio * ratio
	return difference * fourth / (1 + fourth)
}
