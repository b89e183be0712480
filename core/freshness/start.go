package freshness

import "time"

// StartConfig sets the timing of a Start.
type StartConfig struct {
	// Wait is how long the first configuration is held at most, unless a peer that is
	// alive has a newer one.
	Wait time.Duration
	// HeardFor is how long a peer counts as alive after it has reported its version.
	HeardFor time.Duration
}

// Start decides when a daemon that has just started may put the first configuration in force
// that it knows, if the store has come back from an older copy: the peers may have a newer one
// in force, which the store has lost. It is not safe for concurrent use.
type Start struct {
	cfg  StartConfig
	held bool
	// until is when the configuration is held no longer.
	until time.Duration
	// answered is set once the peers have told what they have in force.
	answered bool
	// newest is the newest version that a peer has in force, heardAt when that was heard.
	newest  uint64
	heardAt time.Duration
}

// NewStart returns the Start of a daemon.
func NewStart(cfg StartConfig) Start { return Start{cfg: cfg} }

// Heard records the version that a peer has in force.
func (s *Start) Heard(now time.Duration, version uint64) {
	if version >= s.newest {
		s.newest, s.heardAt = version, now
	}
}

// Answered records that the peers have told what they have in force.
func (s *Start) Answered() { s.answered = true }

// MayUse reports whether a configuration may be put in force. The first call begins the wait.
func (s *Start) MayUse(now time.Duration, version uint64) bool {
	if !s.held {
		s.held, s.until = true, now+s.cfg.Wait
	}
	if s.newest > version && now-s.heardAt < s.cfg.HeardFor {
		return false
	}
	return s.answered || now >= s.until
}
