package account

import (
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// The reasons of attempts whose end is not logged.
const (
	// reasonLost: the daemon started again behind the grant.
	reasonRestarted = "lost with its daemon, which started again"
	// reasonSilent: the daemon logged nothing more.
	reasonSilent = "lost with its daemon, which logged nothing more"
	// reasonUntold: the daemon went on; its line was dropped, or the request
	// still ran when the logs ended.
	reasonNotLogged = "its daemon went on and tells no end"
)

// silentAfter is how long before the end of all logs a daemon's last line counts
// as its own end: one that lives tells something each 10 s.
const silentAfter = 12 * time.Second

// life is what a daemon's lines tell of its processes: when the last one started,
// and when it last logged.
type daemonTimes struct{ started, last time.Time }

// seen notes a line of a daemon.
func (b *builder) recordDaemon(l *logstory.Line) {
	d := b.daemons[l.Daemon]
	if d == nil {
		d = &daemonTimes{}
		b.daemons[l.Daemon] = d
	}
	if l.Event == eventStarted {
		d.started = later(d.started, l.At)
	}
	d.last = later(d.last, l.At)
	b.last = later(b.last, l.At)
}

// untold is why the end of an attempt is not logged.
func (b *builder) missingEndReason(a *attempt) string {
	d := b.daemons[a.daemon]
	switch {
	case d.started.After(a.arrived):
		return reasonRestarted
	case b.last.Sub(d.last) > silentAfter:
		return reasonSilent
	default:
		return reasonNotLogged
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
