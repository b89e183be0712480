package gateway

import (
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/daemon/settings"
)

// Settings are the start-up settings of one daemon on the platform: JSON with
// comments, rendered by the platform from a template of this project.
type Settings struct {
	// Daemon is the daemon's name, unique in the fleet.
	Daemon id.Daemon `json:"daemon" validate:"required,max=200"`
	// Domain is the failure domain of the host.
	Domain id.Domain `json:"domain" validate:"required,max=200"`
	// Listen holds the addresses that the daemon listens on.
	Listen Listen `json:"listen"`
	// Store is the platform's metadata store, as IP:port.
	Store string `json:"store" validate:"required"`
	// StoreWritesPerS is how many writes a second of the fleet's own rows the store takes
	// from all daemons. What they write while they serve stays well below. Default: 100.
	StoreWritesPerS float64 `json:"store_writes_per_s" validate:"min=0"`
	// FirstStart is set while the whole fleet starts for the first time, so that no
	// former process of any daemon has sent requests. Default: false.
	FirstStart bool `json:"first_start"`
	// Bounds are the platform's guarantees and requirements.
	Bounds Bounds `json:"bounds"`
	// Capacity is the host's capacity that the daemon may use. Duties that one daemon
	// performs for the whole fleet go to the largest hosts. Default: unknown.
	Capacity capacity.Capacity `json:"capacity"`
	// MemoryMB is the memory limit of the process, in MB.
	MemoryMB float64 `json:"memory_mb" validate:"min=16"`
	// MaxDescriptors is the limit on open files and sockets of the process. Callers'
	// connections take a part of it only. Default: the limit that the process has.
	MaxDescriptors int `json:"max_descriptors,omitempty" validate:"min=0"`
	// Disable lists scheduler mechanisms to disable, to measure their effect; not for
	// production. Default: none.
	Disable []kvsched.Mechanism `json:"disable,omitempty" validate:"dive,oneof=learned-lead arrival-refusal prefilled-wait whole-reading pause-bound kept-engine guess-shrink team-shares"`
	// Scheduling switches parts of the scheduling on. Default: all off.
	Scheduling Scheduling `json:"scheduling"`
	// Log configures the log, which goes to standard output.
	Log settings.Log `json:"log"`
}

// Scheduling switches parts of the scheduling on and off. All daemons of a fleet should have
// the same values. They may change while a daemon runs: SIGHUP applies those of calls at
// once, those of engines when a pool gets its next owner.
type Scheduling struct {
	// CallQueue makes one owner queue the calls of each plain service for all daemons.
	// Without it each daemon chooses endpoints from its own calls alone. Default: false.
	CallQueue bool `json:"call_queue"`
	// LearnedLimits bounds the calls in flight at an endpoint by the number that it has
	// been seen to take well, instead of by its slots. It needs call_queue. Default: false.
	LearnedLimits bool `json:"learned_limits" validate:"excluded_without=CallQueue"`
	// ForecastRefusal refuses a stream at once if memory or prefill capacity will not be
	// free in time by the forecast of when the requests in progress end. Default: false.
	ForecastRefusal bool `json:"forecast_refusal"`
	// UrgentReserve keeps engine memory free for the requests of the most urgent priority,
	// as much as they have been needing. Default: false.
	UrgentReserve bool `json:"urgent_reserve"`
	// AvoidLossy prefers endpoints that have lost less work of late than their peers, while
	// these have room. Default: false.
	AvoidLossy bool `json:"avoid_lossy"`
}

// Listen holds addresses as IP:port.
type Listen struct {
	// Callers is the TCP address for callers' requests.
	Callers string `json:"callers" validate:"required"`
	// Ready is the TCP address of the platform's readiness probe.
	Ready string `json:"ready" validate:"required"`
	// Entry is the TCP address at which callers query the addresses to use.
	Entry string `json:"entry" validate:"required"`
	// Peers is the UDP address for other daemons.
	Peers string `json:"peers" validate:"required"`
	// Metrics is the TCP address at which metrics are served. Default: none.
	Metrics string `json:"metrics"`
}

// Bounds are the platform's guarantees and requirements.
type Bounds struct {
	// GraceS is the time between SIGTERM and SIGKILL, in seconds.
	GraceS float64 `json:"grace_s" validate:"min=0.1"`
	// EntryLifetimeS is the longest lifetime of an entry answer that callers
	// honour, in seconds.
	EntryLifetimeS float64 `json:"entry_lifetime_s" validate:"min=0.1"`
	// LeaseMS is the least time between the role orders of two lease holders, in
	// milliseconds.
	LeaseMS float64 `json:"lease_ms" validate:"min=100"`
	// RepeatRatio, RepeatSlack and RepeatWindowS (seconds) bound the retries of a
	// service's requests, summed over all daemons, in a sliding window.
	RepeatRatio   float64 `json:"repeat_ratio" validate:"min=0"`
	RepeatSlack   float64 `json:"repeat_slack" validate:"min=0"`
	RepeatWindowS float64 `json:"repeat_window_s" validate:"min=0.1"`
	// RevokeMS is how long after a key was revoked a request with it may still be
	// forwarded, in milliseconds. It holds for every daemon, also for one that cannot
	// reach the store or other daemons. Default: no bound.
	RevokeMS float64 `json:"revoke_ms" validate:"min=0"`
	// QuotaSlack (units) and QuotaOvershoot (a fraction of the limit) bound by how
	// much a team may exceed its limit in any QuotaWindowS (seconds), summed over all
	// daemons. Default: 0.
	QuotaSlack     float64 `json:"quota_slack" validate:"min=0"`
	QuotaOvershoot float64 `json:"quota_overshoot" validate:"min=0"`
	QuotaWindowS   float64 `json:"quota_window_s" validate:"min=0"`
}

// Load reads and validates the settings in a file.
func Load(path string) (*Settings, settings.Faults) {
	s := &Settings{Log: settings.Log{Level: "info"}}
	if faults := settings.DecodeFile(path, s); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Milliseconds converts a number of milliseconds in the settings or in the platform's
// rows to a duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a number of seconds in the settings or in the platform's rows to a
// duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// preferredLifetime is the lifetime of an entry answer. It is short enough that
	// callers that keep an answer for three lifetimes stop using it while a stopping
	// daemon still has time to finish streams, and long enough that the queries cost
	// less than the requests.
	preferredLifetime = 900 * time.Millisecond
	// keptLifetimes is the number of lifetimes for which some callers keep an answer.
	keptLifetimes = 3
	// stopMargin is the part of the grace period that is reserved for the end of the
	// process.
	stopMargin = 700 * time.Millisecond
)

// entryLifetime returns the lifetime of entry answers.
func (s *Settings) entryLifetime() time.Duration {
	most := Seconds(s.Bounds.EntryLifetimeS)
	stop := (Seconds(s.Bounds.GraceS) - stopMargin) / (keptLifetimes + 1)
	return max(min(preferredLifetime, most, stop), 200*time.Millisecond)
}
