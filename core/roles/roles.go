// Package roles decides how a pool's engines are divided between prefill and
// decode. It follows the engine time that each role's work takes, not the
// queues: a change takes seconds, longer than most bursts, so the division must
// fit before they come. It is deterministic. See docs/design/roles.md.
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

// Config are the tunables; zero fields take the defaults.
type Config struct {
	// FirstShare is the share of the engines that read prompts until enough
	// work was seen.
	InitialPrefillShare float64
	// Memory is over how long work is averaged.
	AveragingTime time.Duration
	// EnoughWork is the engine time of prefills, within Memory, from which the
	// measured division counts.
	MinMeasuredWork time.Duration
	// PrefillHeadroom is how much more prefill than the mean is kept: prompts
	// come in bursts, and while they wait nothing else of a request goes on.
	PrefillHeadroom float64
	// Hysteresis is by how many engines the division must be off.
	Hysteresis float64
	// SettleAfter is the pause after a change in which no other is begun, once
	// work was measured.
	SettleTime time.Duration
	// LeastPrefills and LeastDecodes stay in their role.
	MinPrefills int
	MinDecodes  int
}

// Defaults of Config.
const (
	// DefaultFirstShare is about what long prompts with short answers need.
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

// Change has one engine change its role.
type Change struct {
	Endpoint id.Endpoint
	To       live.Role
	// Wanted is the number of prefill engines that is aimed at, Prefills and
	// Decodes those that there are.
	Wanted            float64
	Prefills, Decodes int
}

// Decider decides for one pool. It is not safe for concurrent use.
type Decider struct {
	cfg        Config
	observedAt time.Duration
	// prefill and decode are the faded engine seconds of the roles' work.
	prefillSeconds, decodeSeconds float64
	// work is the pool's prefill work when last observed.
	prefillWork time.Duration
	observed    bool
	changedAt   time.Duration
	changed     bool
}

// New returns a Decider that has seen no work.
func New(cfg Config) *Decider { return &Decider{cfg: cfg.withDefaults()} }

// Observe takes the present demand; call it several times a second.
func (d *Decider) Observe(now time.Duration, demand sched.Demand) {
	if !d.observed {
		d.observed = true
		d.observedAt = now
		d.prefillWork = demand.PrefillWork
		return
	}
	passed := now - d.observedAt
	d.observedAt = now
	keep := math.Exp(-float64(passed) / float64(d.cfg.AveragingTime))
	d.prefillSeconds = keep*d.prefillSeconds + max(0, demand.PrefillWork-d.prefillWork).Seconds()
	d.prefillWork = demand.PrefillWork
	d.decodeSeconds = keep*d.decodeSeconds + passed.Seconds()*decodeEnginesInUse(demand)
}

// busyDecodes is the memory in use, in engines. What waits counts for neither
// role: it shows that engines are short, not of which role.
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

// Wanted is the number of prefill engines among n that the work asks for.
func (d *Decider) Wanted(n int) float64 {
	share := d.cfg.InitialPrefillShare
	if d.Measured() {
		prefill := d.cfg.PrefillHeadroom * d.prefillSeconds
		share = prefill / (prefill + d.decodeSeconds)
	}
	most := float64(max(0, n-d.cfg.MinDecodes))
	return min(max(share*float64(n), float64(d.cfg.MinPrefills)), most)
}

// Decide gives the next change, or nil. The engine with the least work goes.
func (d *Decider) Decide(now time.Duration, demand sched.Demand) *Change {
	prefills, decodes := countRoles(demand)
	n := prefills + decodes
	settling := d.Measured() && d.changed && now-d.changedAt < d.cfg.SettleTime
	if n < d.cfg.MinPrefills+d.cfg.MinDecodes || settling {
		return nil
	}
	wanted := d.Wanted(n)
	change := Change{Wanted: wanted, Prefills: prefills, Decodes: decodes}
	from := demand.Decodes
	switch {
	case prefills < d.cfg.MinPrefills, float64(prefills) < wanted-d.hysteresis() && decodes > d.cfg.MinDecodes:
		change.To = live.RolePrefill
	case decodes < d.cfg.MinDecodes, float64(prefills) > wanted+d.hysteresis() && prefills > d.cfg.MinPrefills:
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

// hysteresis is by how many engines the division must be off: once work is
// measured, more than before there is any.
func (d *Decider) hysteresis() float64 {
	if d.Measured() {
		return d.cfg.Hysteresis
	}
	return initialHysteresis
}

// firstHysteresis rounds the first division to whole engines.
const initialHysteresis = 0.5

// Measured says whether enough work was seen for the division to follow it.
func (d *Decider) Measured() bool {
	return d.prefillSeconds >= d.cfg.MinMeasuredWork.Seconds() && d.decodeSeconds > 0
}

// division counts the engines of each role. A drained one is on its way to the
// other role.
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

// Changed notes that a change was begun.
func (d *Decider) Changed(now time.Duration) {
	d.changed = true
	d.changedAt = now
}

// idlest is the engine with the least work.
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
		return cmp.Or(cmp.Compare(a.Work, b.Work), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return least.Endpoint, true
}
