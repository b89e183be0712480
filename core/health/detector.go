package health

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Never is returned by Next when nothing is due.
const Never = time.Duration(math.MaxInt64)

// stuckChecks is the number of checks for stuck work within StuckAfter.
const stuckChecks = 4

// group is a set of endpoints that are compared and ejected together.
type group struct {
	pool id.Pool
	role live.Role
}

// Detector evaluates the health of endpoints. It is not safe for concurrent use.
type Detector struct {
	cfg       Config
	endpoints map[id.Endpoint]*endpoint
	groups    map[group][]*endpoint
	next      time.Duration
	// lossCounts holds the recent outcomes of each group.
	lossCounts map[group]*lossCount
}

// New returns a Detector without endpoints.
func New(cfg Config) *Detector {
	return &Detector{
		cfg:       cfg.withDefaults(),
		endpoints: map[id.Endpoint]*endpoint{},
		groups:    map[group][]*endpoint{},

		lossCounts: map[group]*lossCount{},
	}
}

// Configure sets the endpoints of a new configuration. The records of endpoints
// that stay in their group are kept.
func (d *Detector) Configure(now time.Duration, members []Member) {
	old := d.endpoints
	d.endpoints = make(map[id.Endpoint]*endpoint, len(members))
	d.groups = map[group][]*endpoint{}
	for _, m := range members {
		e := old[m.Endpoint]
		if e == nil || e.Member != m {
			e = &endpoint{Member: m, state: Healthy, healthySince: now, countedAt: now, lastProgress: now, inFlight: map[id.Request]time.Duration{}}
		}
		d.endpoints[m.Endpoint] = e
		g := group{pool: m.Pool, role: m.Role}
		d.groups[g] = append(d.groups[g], e)
	}
}

// Allowed reports whether the endpoint may get a request now. An unknown endpoint
// may, since no failures are recorded for it.
func (d *Detector) Allowed(name id.Endpoint) bool {
	e, ok := d.endpoints[name]
	if !ok {
		return true
	}
	switch e.state {
	case Ejected:
		return false
	case Probing:
		return len(e.inFlight) == 0
	default:
		return true
	}
}

// State returns the state of an endpoint; Healthy if it is unknown.
func (d *Detector) State(name id.Endpoint) State {
	if e, ok := d.endpoints[name]; ok {
		return e.state
	}
	return Healthy
}

// RecordStart records that the endpoint was sent a request; expected is the expected
// time until its first output. The request is overdue after SlowFactor times that
// time, but not before StuckAfter.
func (d *Detector) RecordStart(now time.Duration, name id.Endpoint, r id.Request, expected time.Duration) {
	e, ok := d.endpoints[name]
	if !ok || len(e.inFlight) >= d.cfg.MaxInFlight {
		return
	}
	patience := time.Duration(d.cfg.SlowFactor * float64(expected))
	e.inFlight[r] = now + max(patience, d.cfg.StuckAfter)
}

// Progress records that a request produced output.
func (d *Detector) Progress(now time.Duration, name id.Endpoint) {
	if e, ok := d.endpoints[name]; ok {
		e.lastProgress = now
	}
}

// Outcome records the end of a piece of work and returns the resulting changes.
func (d *Detector) Outcome(now time.Duration, name id.Endpoint, r Result) []Change {
	e, ok := d.endpoints[name]
	if !ok {
		return nil
	}
	delete(e.inFlight, r.Request)
	if r.Kind == Neutral {
		return nil
	}
	d.recordOutcome(now, e, r)
	d.countLoss(now, e, r.Kind != OK)
	switch e.state {
	case Healthy:
		return d.evaluate(now, e, r)
	case Probing:
		return d.evaluateProbe(now, e, r)
	default:
		return nil
	}
}

func (d *Detector) recordOutcome(now time.Duration, e *endpoint, r Result) {
	e.decay(now, d.cfg.HalfLife)
	if r.Kind != OK {
		e.failures++
		return
	}
	e.successes++
	e.lastProgress = now
	e.addLatency(r.Latency)
}

func (d *Detector) evaluate(now time.Duration, e *endpoint, r Result) []Change {
	total := e.successes + e.failures
	switch {
	case r.Kind == Crashed:
		return d.eject(now, e, ReasonCrashed)
	case total >= d.cfg.MinOutcomes && e.failures/total >= d.cfg.ErrorRatio:
		return d.eject(now, e, ReasonErrors)
	case total >= d.cfg.MinOutcomes && d.slow(e, e.latency):
		return d.eject(now, e, ReasonSlow)
	default:
		return nil
	}
}

func (d *Detector) evaluateProbe(now time.Duration, e *endpoint, r Result) []Change {
	if r.Kind != OK || d.slow(e, float64(r.Latency)) {
		return d.eject(now, e, ReasonProbe)
	}
	e.probes++
	if e.probes < d.cfg.ProbeSuccesses {
		return nil
	}
	e.state = Healthy
	e.healthySince = now
	return []Change{{Endpoint: e.Endpoint, State: Healthy, Reason: ReasonRecovered}}
}

// slow reports whether a latency exceeds SlowFactor times the median of the healthy
// peers.
func (d *Detector) slow(e *endpoint, latency float64) bool {
	var peers []float64
	for _, p := range d.groups[group{pool: e.Pool, role: e.Role}] {
		if p != e && p.state == Healthy && p.samples > 0 {
			peers = append(peers, p.latency)
		}
	}
	if len(peers) < d.cfg.MinPeers || latency == 0 {
		return false
	}
	slices.Sort(peers)
	return latency > d.cfg.SlowFactor*peers[len(peers)/2]
}

// eject ejects an endpoint, unless too many of its group are ejected or probing
// already. An endpoint that fails its probe is not healthy yet and is always
// ejected again.
func (d *Detector) eject(now time.Duration, e *endpoint, reason Reason) []Change {
	if e.state == Healthy && !d.canEject(e) {
		return nil
	}
	d.decayEjections(now, e)
	duration := float64(d.cfg.EjectMin) * math.Pow(2, float64(e.ejections))
	length := time.Duration(min(duration, float64(d.cfg.EjectMax)))
	e.ejections++
	e.state = Ejected
	e.ejectedUntil = now + length
	e.resetStats()
	return []Change{{Endpoint: e.Endpoint, State: Ejected, Reason: reason, For: length}}
}

// decayEjections halves the next ejection for each EjectionDecay that the endpoint
// was healthy.
func (d *Detector) decayEjections(now time.Duration, e *endpoint) {
	if e.state == Healthy {
		e.ejections = max(0, e.ejections-int((now-e.healthySince)/d.cfg.EjectionDecay))
	}
}

// canEject reports whether the group has enough healthy endpoints to eject this one.
func (d *Detector) canEject(e *endpoint) bool {
	members := d.groups[group{pool: e.Pool, role: e.Role}]
	out := 0
	for _, p := range members {
		if p.state != Healthy {
			out++
		}
	}
	limit := max(1, int(d.cfg.MaxEjected*float64(len(members))))
	return out < min(limit, len(members)-1)
}

// Tick ends ejections and detects stuck work; call it at Next or earlier.
func (d *Detector) Tick(now time.Duration) []Change {
	var out []Change
	for _, e := range d.sortedEndpoints() {
		out = append(out, d.tickEndpoint(now, e)...)
	}
	d.next = now + d.cfg.StuckAfter/stuckChecks
	return out
}

func (d *Detector) tickEndpoint(now time.Duration, e *endpoint) []Change {
	stuck := e.stuck(now, d.cfg.StuckAfter)
	switch {
	case e.state == Ejected && now >= e.ejectedUntil:
		e.state = Probing
		clear(e.inFlight)
		return []Change{{Endpoint: e.Endpoint, State: Probing, Reason: ReasonElapsed}}
	case e.state == Probing && stuck:
		return d.eject(now, e, ReasonProbe)
	case e.state == Healthy && stuck:
		return d.eject(now, e, ReasonStuck)
	default:
		return nil
	}
}

func (d *Detector) sortedEndpoints() []*endpoint {
	out := make([]*endpoint, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *endpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

// Next returns the time at which Tick is due; Never without endpoints.
func (d *Detector) Next() time.Duration {
	if len(d.endpoints) == 0 {
		return Never
	}
	return d.next
}
