package entry

import "time"

// StopConfig sets how a daemon leaves.
type StopConfig struct {
	// Spread is how long it may take until every daemon knows of the leaving
	// and names this one no more.
	Spread time.Duration
	// Lifetime is the longest that an answer given before may be kept.
	Lifetime time.Duration
	// Quiet is how long no new caller must have come.
	Quiet time.Duration
	// Limit bounds the leaving; what still runs then is cut. Zero for none.
	Limit time.Duration
}

// DefaultStopConfig returns the defaults that fit DefaultConfig.
func DefaultStopConfig() StopConfig {
	return StopConfig{
		Spread:   4 * time.Second,
		Lifetime: DefaultConfig().Lifetime,
		Quiet:    time.Second,
		Limit:    10 * time.Minute,
	}
}

// StopReason says why a leaving daemon may, or may not, close.
type StopReason string

// The reasons.
const (
	StopAnswers StopReason = "answers that name this daemon may still be kept"
	StopCallers StopReason = "callers still come"
	StopStreams StopReason = "requests are in flight"
	StopDone    StopReason = "nobody needs this daemon"
	StopLimit   StopReason = "the time limit is over"
)

// StopPlan tells a leaving daemon when it may close. Until then it serves as
// ever.
type StopPlan struct {
	cfg StopConfig
	// began is when the leaving was announced.
	startedAt time.Duration
	// named is the last time that an answer could have named this daemon.
	lastNamed time.Duration
	// came is when the last new caller came.
	lastCaller time.Duration
}

// NewStopPlan starts the leaving at now. From then on this daemon must leave
// itself out of its own answers.
func NewStopPlan(cfg StopConfig, now time.Duration) *StopPlan {
	return &StopPlan{cfg: cfg, startedAt: now, lastNamed: now + cfg.Spread, lastCaller: now}
}

// Named notes that an answer named this daemon even so, as when it was the
// only one left.
func (p *StopPlan) Named(now time.Duration) { p.lastNamed = max(p.lastNamed, now) }

// Caller notes that a new caller came.
func (p *StopPlan) Caller(now time.Duration) { p.lastCaller = now }

// Earliest is the first time at which the daemon may close, if no caller is
// left then.
func (p *StopPlan) Earliest() time.Duration {
	return max(p.lastNamed+p.cfg.Lifetime, p.lastCaller+p.cfg.Quiet)
}

// MayClose tells whether the daemon may close, and why or why not.
func (p *StopPlan) MayClose(now time.Duration, inFlight int) (bool, StopReason) {
	switch {
	case p.cfg.Limit > 0 && now-p.startedAt >= p.cfg.Limit:
		return true, StopLimit
	case now < p.lastNamed+p.cfg.Lifetime:
		return false, StopAnswers
	case inFlight > 0:
		return false, StopStreams
	case now < p.lastCaller+p.cfg.Quiet:
		return false, StopCallers
	default:
		return true, StopDone
	}
}
