// Package roles decides how a pool's engines are divided between prefill and
// decode. It uses the engine time that the work of each role takes, not the queue
// lengths: a role change takes seconds, longer than most bursts, so the division
// must be right before a burst arrives. It is deterministic. See
// docs/design/roles.md.
package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Config configures a Decider; zero fields take the defaults.
type Config struct {
	// InitialPrefillShare is the fraction of the engines that are prefill engines
	// until enough work was measured.
	InitialPrefillShare float64
	// AveragingTime is the time constant of the exponentially decaying sums of
	// work.
	AveragingTime time.Duration
	// MinMeasuredWork is the decayed sum of prefill engine time from which the
	// measured division is used.
	MinMeasuredWork time.Duration
	// PrefillHeadroom is the factor by which the measured prefill work is
	// multiplied: prompts arrive in bursts, and no other work of a request can
	// proceed while its prompt waits.
	PrefillHeadroom float64
	// Hysteresis is the number of engines by which the measured division must
	// differ from the current one before a change.
	Hysteresis float64
	// SettleTime is the time after a change in which no other one is started,
	// once enough work was measured.
	SettleTime time.Duration
	// MinPrefills and MinDecodes are the minimum numbers of engines of each role.
	MinPrefills int
	MinDecodes  int
}

// Defaults of Config.
const (
	// DefaultInitialPrefillShare is about the share that long prompts with short
	// answers need.
	DefaultInitialPrefillShare = 0.24
	DefaultAveragingTime       = 20 * time.Second
	DefaultMinMeasuredWork     = 20 * time.Second
	DefaultPrefillHeadroom     = 1.2
	DefaultHysteresis          = 1.3
	DefaultSettleTime          = 1500 * time.Millisecond
	DefaultMinPrefills         = 1
	DefaultMinDecodes          = 1
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.InitialPrefillShare, DefaultInitialPrefillShare)
	defaults.Set(&c.AveragingTime, DefaultAveragingTime)
	defaults.Set(&c.MinMeasuredWork, DefaultMinMeasuredWork)
	defaults.Set(&c.PrefillHeadroom, DefaultPrefillHeadroom)
	defaults.Set(&c.Hysteresis, DefaultHysteresis)
	defaults.Set(&c.SettleTime, DefaultSettleTime)
	defaults.Set(&c.MinPrefills, DefaultMinPrefills)
	defaults.Set(&c.MinDecodes, DefaultMinDecodes)
	return c
}

// Change is the change of one engine's role.
type Change struct {
	Endpoint id.Endpoint
	To       live.Role
	// TargetPrefills is the target number of prefill engines. Prefills and Decodes are
	// the current numbers of engines.
	TargetPrefills    float64
	Prefills, Decodes int
}

// Decider decides the role changes of one pool. It is not safe for concurrent use.
type Decider struct {
	cfg        Config
	observedAt time.Duration
	// prefillSeconds and decodeSeconds are the exponentially decaying sums of each
	// role's work, in engine seconds.
	prefillSeconds, decodeSeconds float64
	// prefillWork is the pool's cumulative prefill work at the last observation.
	prefillWork time.Duration
	observed    bool
	changedAt   time.Duration
	changed     bool
}

// New returns a Decider without observations.
func New(cfg Config) *Decider { return &Decider{cfg: cfg.withDefaults()} }

// Observe records the current demand; the caller calls it several times a second.
func (d *Decider) Observe(now time.Duration, demand sched.Demand) {
	if !d.observed {
		d.observed = true
		d.observedAt = now
		d.prefillWork = demand.PrefillWork
		return
	}
	elapsed := now - d.observedAt
	d.observedAt = now
	decay := math.Exp(-float64(elapsed) / float64(d.cfg.AveragingTime))
	d.prefillSeconds = decay*d.prefillSeconds + max(0, demand.PrefillWork-d.prefillWork).Seconds()
	d.prefillWork = demand.PrefillWork
	d.decodeSeconds = decay*d.decodeSeconds + elapsed.Seconds()*decodeEnginesInUse(demand)
}

// decodeEnginesInUse returns the memory in use in the decode engines, as a number
// of engines. Waiting requests count for neither role: a queue shows a shortage of
// engines, but not of which role.
func decodeEnginesInUse(d sched.Demand) float64 {
	engines := 0
	for _, e := range d.Decodes {
		if !e.Drained {
			engines++
		}
	}
	if engines == 0 || d.Memory == 0 {
		return 0
	}
	perEngine := float64(d.Memory) / float64(engines)
	return float64(d.MemoryHeld) / perEngine
}

// TargetPrefills returns the number of prefill engines, out of n engines, that the work
// requires.
func (d *Decider) TargetPrefills(n int) float64 {
	share := d.cfg.InitialPrefillShare
	if d.Measured() {
		prefill := d.cfg.PrefillHeadroom * d.prefillSeconds
		share = prefill / (prefill + d.decodeSeconds)
	}
	limit := float64(max(0, n-d.cfg.MinDecodes))
	return min(max(share*float64(n), float64(d.cfg.MinPrefills)), limit)
}

// Decide returns the next change, or nil if none is needed. It chooses the engine
// with the fewest requests.
func (d *Decider) Decide(now time.Duration, demand sched.Demand) *Change {
	prefills, decodes := countRoles(demand)
	n := prefills + decodes
	settling := d.Measured() && d.changed && now-d.changedAt < d.cfg.SettleTime
	if n < d.cfg.MinPrefills+d.cfg.MinDecodes || settling {
		return nil
	}
	target := d.TargetPrefills(n)
	change := Change{TargetPrefills: target, Prefills: prefills, Decodes: decodes}
	from := demand.Decodes
	switch {
	case prefills < d.cfg.MinPrefills, float64(prefills) < target-d.hysteresis() && decodes > d.cfg.MinDecodes:
		change.To = live.RolePrefill
	case decodes < d.cfg.MinDecodes, float64(prefills) > target+d.hysteresis() && prefills > d.cfg.MinPrefills:
		change.To = live.RoleDecode
		from = demand.Prefills
	default:
		return nil
	}
	chosen, ok := leastLoaded(from)
	if !ok {
		return nil
	}
	change.Endpoint = chosen
	return &change
}

// hysteresis returns the number of engines by which the division must differ before
// a change: Hysteresis once enough work was measured, initialHysteresis before.
func (d *Decider) hysteresis() float64 {
	if d.Measured() {
		return d.cfg.Hysteresis
	}
	return initialHysteresis
}

// initialHysteresis rounds the initial division to whole engines.
const initialHysteresis = 0.5

// Measured reports whether enough work was observed to base the division on it.
func (d *Decider) Measured() bool {
	return d.prefillSeconds >= d.cfg.MinMeasuredWork.Seconds() && d.decodeSeconds > 0
}

// countRoles counts the engines of each role. A drained engine is changing its role
// and counts for the other one.
func countRoles(demand sched.Demand) (prefills, decodes int) {
	for _, e := range demand.Prefills {
		if e.Drained {
			decodes++
		} else {
			prefills++
		}
	}
	for _, e := range demand.Decodes {
		if e.Drained {
			prefills++
		} else {
			decodes++
		}
	}
	return prefills, decodes
}

// Changed records that a change was started.
func (d *Decider) Changed(now time.Duration) {
	d.changed = true
	d.changedAt = now
}

// leastLoaded returns the engine with the fewest requests among those not drained,
// and false if there is none.
func leastLoaded(engines []sched.EngineDemand) (id.Endpoint, bool) {
	var free []sched.EngineDemand
	for _, e := range engines {
		if !e.Drained {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	least := slices.MinFunc(free, func(a, b sched.EngineDemand) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return least.Endpoint, true
}
