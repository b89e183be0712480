package reap

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
)

// ReaperConfig configures a Reaper; zero fields take the defaults.
type ReaperConfig struct {
	// Self is this process. Required.
	Self id.Process
	// Grace is how long the work of a dead process is kept, so that its caller
	// can resume it through another daemon. Default 2 s.
	Grace time.Duration
	// FinishedGrace is the same for finished answers that are kept for resume.
	// Default 10 s.
	FinishedGrace time.Duration
	// UnknownGrace is how long the work of a process that the membership never
	// reported is kept. Default 30 s.
	UnknownGrace time.Duration
	// OwnGrace is the minimum age at which this process's own work is reaped if
	// it is not active. It covers the delay of the endpoint's list. Default 2 s.
	OwnGrace time.Duration
	// MaxProcesses bounds the number of dead and of unknown processes kept.
	// Default 4096.
	MaxProcesses int
}

// Defaults of ReaperConfig.
const (
	DefaultGrace         = 2 * time.Second
	DefaultFinishedGrace = 10 * time.Second
	DefaultUnknownGrace  = 30 * time.Second
	DefaultOwnGrace      = 2 * time.Second
	DefaultMaxProcesses  = 4096
)

// Reaper finds orphaned work at endpoints: work whose owner process is dead or
// unknown, or no longer has the request. It is not safe for concurrent use.
type Reaper struct {
	cfg ReaperConfig
	// alive holds the newest live incarnation known of each daemon.
	alive map[id.Daemon]id.Incarnation
	// gone holds the times at which processes were declared dead. unknownSince
	// holds the times at which processes that the membership never reported were
	// first seen in a list.
	gone         *simplelru.LRU[id.Process, time.Duration]
	unknownSince *simplelru.LRU[id.Process, time.Duration]
}

// NewReaper returns a Reaper without knowledge of other processes.
func NewReaper(cfg ReaperConfig) *Reaper {
	defaults.Set(&cfg.Grace, DefaultGrace)
	defaults.Set(&cfg.FinishedGrace, DefaultFinishedGrace)
	defaults.Set(&cfg.UnknownGrace, DefaultUnknownGrace)
	defaults.Set(&cfg.OwnGrace, DefaultOwnGrace)
	defaults.Set(&cfg.MaxProcesses, DefaultMaxProcesses)
	r := &Reaper{cfg: cfg, alive: map[id.Daemon]id.Incarnation{}}
	r.gone = newProcessTimes(cfg.MaxProcesses)
	r.unknownSince = newProcessTimes(cfg.MaxProcesses)
	return r
}

func newProcessTimes(size int) *simplelru.LRU[id.Process, time.Duration] {
	lru, err := simplelru.NewLRU[id.Process, time.Duration](size, nil)
	if err != nil {
		panic(err) // the size is below 1, which the settings' check must reject
	}
	return lru
}

// ProcessAlive records that the membership reports the process as alive, suspected
// or partitioned. Its former incarnations are dead.
func (r *Reaper) ProcessAlive(now time.Duration, p id.Process) {
	r.unknownSince.Remove(p)
	former, ok := r.alive[p.Daemon]
	if ok && p.Incarnation <= former {
		return
	}
	if ok {
		r.markGone(now, id.Process{Daemon: p.Daemon, Incarnation: former})
	}
	r.alive[p.Daemon] = p.Incarnation
}

// ProcessGone records that the membership has declared the process dead.
func (r *Reaper) ProcessGone(now time.Duration, p id.Process) {
	r.markGone(now, p)
	if r.alive[p.Daemon] == p.Incarnation {
		delete(r.alive, p.Daemon)
	}
}

func (r *Reaper) markGone(now time.Duration, p id.Process) {
	if !r.gone.Contains(p) {
		r.gone.Add(p, now)
	}
}

// List handles an endpoint's list and returns orders to cancel the orphaned
// requests. Each order is conditional on the owner in the list, since a caller that
// has resumed through another daemon has changed the owner. active reports whether
// one of this process's own requests is still active.
func (r *Reaper) List(now time.Duration, l List, active func(id.Request) bool) []Order {
	var out []Order
	for _, run := range l.Requests {
		if !r.orphaned(now, run, active) {
			continue
		}
		owner := run.Owner
		out = append(out, Order{
			Key:         Key{Endpoint: l.Endpoint, Request: run.Request},
			Incarnation: l.Incarnation,
			Owner:       &owner,
			RunSettled:  true,
		})
	}
	return out
}

func (r *Reaper) orphaned(now time.Duration, run Running, active func(id.Request) bool) bool {
	if run.Owner == r.cfg.Self {
		// A finished answer is not orphaned: the endpoint keeps it for some time for
		// a caller that did not receive its end.
		return run.Stage != StageFinished && run.Age >= r.cfg.OwnGrace && !active(run.Request)
	}
	if r.alive[run.Owner.Daemon] == run.Owner.Incarnation && run.Owner.Incarnation != 0 {
		return false
	}
	if at, ok := r.gone.Get(run.Owner); ok {
		return now-at >= r.grace(run.Stage)
	}
	if r.alive[run.Owner.Daemon] > run.Owner.Incarnation || r.isFormerSelf(run.Owner) {
		r.markGone(now, run.Owner)
		return false
	}
	return r.unknownTooLong(now, run.Owner)
}

func (r *Reaper) isFormerSelf(p id.Process) bool {
	return p.Daemon == r.cfg.Self.Daemon && p.Incarnation < r.cfg.Self.Incarnation
}

func (r *Reaper) grace(s Stage) time.Duration {
	if s == StageFinished {
		return r.cfg.FinishedGrace
	}
	return r.cfg.Grace
}

// unknownTooLong reports whether UnknownGrace has passed since a process that the
// membership never reported was first seen in a list. Such processes occur after
// all hosts were replaced at once.
func (r *Reaper) unknownTooLong(now time.Duration, p id.Process) bool {
	since, ok := r.unknownSince.Get(p)
	if !ok {
		r.unknownSince.Add(p, now)
		return false
	}
	return now-since >= r.cfg.UnknownGrace
}
