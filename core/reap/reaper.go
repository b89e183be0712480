package reap

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
)

// ReaperConfig sets the bounds; zero fields take the defaults.
type ReaperConfig struct {
	// Self is the process that reaps. Required.
	Self id.Process
	// Grace is how long the work of a dead process stays, so that its caller
	// can come back through another daemon. Default 2 s.
	Grace time.Duration
	// FinishedGrace is the same for finished answers kept for resume. Default 10 s.
	FinishedGrace time.Duration
	// UnknownGrace is how long the work of a process that this one never heard
	// of stays. Default 30 s.
	UnknownGrace time.Duration
	// OwnGrace is how old own work must be before its absence from the active
	// set counts. It covers the lag of the list. Default 2 s.
	OwnGrace time.Duration
	// MaxProcesses bounds the processes remembered. Default 4096.
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

// Reaper finds work whose owner is gone. It is not safe for concurrent use.
type Reaper struct {
	cfg ReaperConfig
	// alive holds the newest incarnation known of each daemon.
	alive map[id.Daemon]id.Incarnation
	// gone holds when processes were declared dead, unheard when ones that
	// the membership never named were first met.
	gone         *simplelru.LRU[id.Process, time.Duration]
	unknownSince *simplelru.LRU[id.Process, time.Duration]
}

// NewReaper returns a Reaper that knows only itself.
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
		panic(err) // a size below 1 is a fault of the settings' check
	}
	return lru
}

// ProcessAlive tells that the membership counts the process among the living,
// suspected or partitioned ones. Its former incarnations are gone.
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

// ProcessGone tells that the membership has declared the process dead.
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

// List takes what an endpoint holds and returns cancels for the orphans, each
// conditional on the owner that the list named: a caller that came back
// through another daemon has changed it. active says whether one of this
// process's own requests is still at work.
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
		// A finished answer is no leftover: the endpoint keeps it a while for a
		// caller that lost the end.
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

// unheardTooLong handles work of a process that the membership never named,
// as after all hosts were replaced at once.
func (r *Reaper) unknownTooLong(now time.Duration, p id.Process) bool {
	since, ok := r.unknownSince.Get(p)
	if !ok {
		r.unknownSince.Add(p, now)
		return false
	}
	return now-since >= r.cfg.UnknownGrace
}
