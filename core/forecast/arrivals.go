package forecast

import (
	"math"
	"time"
)

// Arrivals predicts how many requests arrive: as many as of late at first, then as many as
// usual, since bursts end.
type Arrivals struct {
	// Now and Usual are requests a second.
	Now, Usual float64
}

// burstLength is the time in which the rate of arrivals falls back towards the usual one by a
// factor of e.
const burstLength = time.Second

// Within returns the number of requests that arrive within a time.
func (a Arrivals) Within(d time.Duration) float64 {
	burst := burstLength.Seconds() * (1 - math.Exp(-float64(d)/float64(burstLength)))
	return a.Usual*d.Seconds() + (a.Now-a.Usual)*burst
}
