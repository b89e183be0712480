package pool

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/health"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// usageTimeConstant is the time constant of the moving average of the utilisation.
const usageTimeConstant = 5 * time.Second

// usageInterval is the minimum time between two samples.
const usageInterval = 50 * time.Millisecond

// usage is a moving average of the share of prefill endpoints that are busy.
type usage struct {
	endpoints int
	load      float64
	sampledAt time.Duration
}

func (u *usage) setMembers(members []health.Member) {
	u.endpoints = 0
	for _, m := range members {
		if m.Role == live.RolePrefill {
			u.endpoints++
		}
	}
}

// due reports whether another sample is due. Sampling is limited because it
// iterates over all requests and ticks may come each millisecond.
func (u *usage) due(now time.Duration) bool { return now-u.sampledAt >= usageInterval }

// sample adds the number of running prefills to the average, weighted by the time
// since the last sample.
func (u *usage) sample(now time.Duration, prefilling int) {
	share := 0.0
	if u.endpoints > 0 {
		share = min(1, float64(prefilling)/float64(u.endpoints))
	}
	keep := math.Exp(-float64(now-u.sampledAt) / float64(usageTimeConstant))
	u.load = keep*u.load + (1-keep)*share
	u.sampledAt = now
}

func (m *Manager) countPrefilling() int {
	n := 0
	for _, t := range m.requests {
		if t.phase == sched.PhasePrefilling {
			n++
		}
	}
	return n
}
