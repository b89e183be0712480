package gateway

import (
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/daemon/settings"
)

// Settings are the start-up settings of one daemon on the platform: JSON with
// comments, which the platform renders from a template of this project.
type Settings struct {
	// Daemon is the daemon's name, unique in the fleet.
	Daemon id.Daemon `json:"daemon" validate:"required,max=200"`
	// Domain is the failure domain that the host stands in.
	Domain id.Domain `json:"domain" validate:"required,max=200"`
	// Listen holds the addresses that the daemon listens on.
	Listen Listen `json:"listen"`
	// Store is the platform's metadata store, as IP:port.
	Store string `json:"store" validate:"required"`
	// Bounds are what the platform promises and asks for.
	Bounds Bounds `json:"bounds"`
	// Capacity is what the host grants the daemon: duties that one daemon does
	// for all go to the largest hosts. Default: not known.
	Capacity capacity.Capacity `json:"capacity"`
	// MemoryMB is the process's bound on memory, in MB.
	MemoryMB float64 `json:"memory_mb" validate:"min=16"`
	// Disable switches mechanisms of the scheduler off, to measure what they are
	// worth; not for production. Default: none.
	Disable []kvsched.Mechanism `json:"disable,omitempty" validate:"dive,oneof=learned-lead arrival-refusal prefilled-wait whole-reading pause-bound kept-engine guess-shrink team-shares"`
	// Log sets what is logged, to standard output.
	Log settings.Log `json:"log"`
}

// Listen holds addresses as IP:port.
type Listen struct {
	// Callers is the TCP address for callers' requests.
	Callers string `json:"callers" validate:"required"`
	// Ready is the TCP address at which the platform asks whether the daemon is
	// ready.
	Ready string `json:"ready" validate:"required"`
	// Entry is the TCP address at which callers ask which addresses to use.
	Entry string `json:"entry" validate:"required"`
	// Peers is the UDP address for other daemons.
	Peers string `json:"peers" validate:"required"`
	// Metrics is the TCP address of the metrics. Default: none.
	Metrics string `json:"metrics"`
}

// Bounds are what the platform promises and asks for.
type Bounds struct {
	// GraceS is how long after a SIGTERM the process is killed, in seconds.
	GraceS float64 `json:"grace_s" validate:"min=0.1"`
	// EntryLifetimeS is the longest lifetime of an entry answer that callers
	// honour, in seconds.
	EntryLifetimeS float64 `json:"entry_lifetime_s" validate:"min=0.1"`
	// LeaseMS is how long orders of two holders must be apart, in milliseconds.
	LeaseMS float64 `json:"lease_ms" validate:"min=100"`
	// RepeatRatio, RepeatSlack and RepeatWindowS (seconds) bound the repeats of
	// a service, summed over all daemons, in a sliding window.
	RepeatRatio   float64 `json:"repeat_ratio" validate:"min=0"`
	RepeatSlack   float64 `json:"repeat_slack" validate:"min=0"`
	RepeatWindowS float64 `json:"repeat_window_s" validate:"min=0.1"`
	// RevokeMS is how long after a key was taken away a request with it may still
	// be sent on, in milliseconds, at any daemon whatever it can reach. Default: no
	// bound.
	RevokeMS float64 `json:"revoke_ms" validate:"min=0"`
	// QuotaSlack (units) and QuotaOvershoot (a share of what the limit allows) are
	// by how much a team's limit may be exceeded in any QuotaWindowS (seconds), over
	// all daemons. Default: by nothing.
	QuotaSlack     float64 `json:"quota_slack" validate:"min=0"`
	QuotaOvershoot float64 `json:"quota_overshoot" validate:"min=0"`
	QuotaWindowS   float64 `json:"quota_window_s" validate:"min=0"`
}

// Load reads and checks the settings in a file.
func Load(path string) (*Settings, settings.Faults) {
	s := &Settings{Log: settings.Log{Level: "info"}}
	if faults := settings.DecodeFile(path, s); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// Milliseconds converts a figure of the settings or of the platform's rows.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Seconds converts a figure of the settings or of the platform's rows.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

const (
	// preferredLifetime of an entry answer: short enough that callers who keep
	// one three times as long are gone while a stopping daemon has time left for
	// whole streams, long enough that asking costs less than the requests do.
	preferredLifetime = 900 * time.Millisecond
	// keptTimes is how many lifetimes some callers keep an answer.
	keptLifetimes = 3
	// stopMargin of the grace is left for the end of the process.
	stopMargin = 700 * time.Millisecond
)

// entryLifetime is what entry answers say.
func (s *Settings) entryLifetime() time.Duration {
	most := Seconds(s.Bounds.EntryLifetimeS)
	stop := (Seconds(s.Bounds.GraceS) - stopMargin) / (keptLifetimes + 1)
	return max(min(preferredLifetime, most, stop), 200*time.Millisecond)
}
