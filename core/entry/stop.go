package entry

import "time"

// StopConfig sets the timing of a daemon's stop.
type StopConfig struct {
	// PropagationDelay is how long the announcement of the stop may take to reach
	// every daemon, so that none names this daemon in its answers any more.
	PropagationDelay time.Duration
	// Lifetime is the longest time for which callers may cache an earlier answer.
	Lifetime time.Duration
	// QuietPeriod is how long no new caller must have arrived before the daemon
	// closes.
	QuietPeriod time.Duration
	// MaxDuration bounds the duration of the stop; requests that still run then are
	// aborted. Zero means no limit.
	MaxDuration time.Duration
}

// DefaultStopConfig returns the defaults that match DefaultConfig.
func DefaultStopConfig() StopConfig {
	return StopConfig{
		PropagationDelay: 4 * time.Second,
		Lifetime:         DefaultConfig().Lifetime,
		QuietPeriod:      time.Second,
		MaxDuration:      10 * time.Minute,
	}
}

// StopReason is the reason why a leaving daemon may or may not close.
type StopReason string

// The reasons of MayClose.
const (
	StopAnswers StopReason = "callers may still have cached answers that name this daemon"
	StopCallers StopReason = "new callers still arrive"
	StopStreams StopReason = "requests are in flight"
	StopDone    StopReason = "nobody needs this daemon"
	StopLimit   StopReason = "the time limit is over"
)

// StopPlan determines when a leaving daemon may close. Until then the daemon serves
// requests as usual.
type StopPlan struct {
	cfg StopConfig
	// startedAt is the time at which the stop was announced.
	startedAt time.Duration
	// lastNamed is the last time at which an answer could have named this daemon.
	lastNamed time.Duration
	// lastCaller is the time at which the last new caller arrived.
	lastCaller time.Duration
}

// NewStopPlan returns the plan of a stop announced at now. From then on this daemon
// must omit itself from its own answers.
func NewStopPlan(cfg StopConfig, now time.Duration) *StopPlan {
	return &StopPlan{cfg: cfg, startedAt: now, lastNamed: now + cfg.PropagationDelay, lastCaller: now}
}

// RecordNamed records that an answer named this daemon nevertheless, for example
// because it was the only one left.
func (p *StopPlan) RecordNamed(now time.Duration) { p.lastNamed = max(p.lastNamed, now) }

// RecordCaller records that a new caller arrived.
func (p *StopPlan) RecordCaller(now time.Duration) { p.lastCaller = now }

// Earliest returns the earliest time at which the daemon may close, provided that
// no requests are in flight then.
func (p *StopPlan) Earliest() time.Duration {
	return max(p.lastNamed+p.cfg.Lifetime, p.lastCaller+p.cfg.QuietPeriod)
}

// Late reports whether the stop has lasted for cutoff, or for three quarters of its time limit
// if that is shorter, so that a short stop serves for most of its time. From then on only
// requests are taken that end within it.
func (p *StopPlan) Late(now, cutoff time.Duration) bool {
	limit := p.cfg.MaxDuration
	return limit > 0 && now-p.startedAt >= min(cutoff, limit-limit/4)
}

// EndsBefore reports whether the stop's time limit is over before until.
func (p *StopPlan) EndsBefore(until time.Duration) bool {
	return p.cfg.MaxDuration > 0 && p.startedAt+p.cfg.MaxDuration < until
}

// Over reports whether the time limit of the stop is over.
func (p *StopPlan) Over(now time.Duration) bool {
	return p.cfg.MaxDuration > 0 && now-p.startedAt >= p.cfg.MaxDuration
}

// MayClose reports whether the daemon may close, and the reason.
func (p *StopPlan) MayClose(now time.Duration, inFlight int) (bool, StopReason) {
	switch {
	case p.Over(now):
		return true, StopLimit
	case now < p.lastNamed+p.cfg.Lifetime:
		return false, StopAnswers
	case inFlight > 0:
		return false, StopStreams
	case now < p.lastCaller+p.cfg.QuietPeriod:
		return false, StopCallers
	default:
		return true, StopDone
	}
}
