package account

import (
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// The reasons of attempts whose end is not logged.
const (
	// reasonRestarted: the daemon restarted after the grant.
	reasonRestarted = "lost with its daemon, which started again"
	// reasonSilent: the daemon logged nothing more.
	reasonSilent = "lost with its daemon, which logged nothing more"
	// reasonNotLogged: the daemon continued to run; its line was dropped, or the
	// request was still running when the logs ended.
	reasonNotLogged = "its daemon kept running and logged no end"
)

// silentAfter is the age of a daemon's last line, compared with the newest line of all
// logs, above which its process counts as ended: a running daemon logs a line at least
// every 10 s.
const silentAfter = 12 * time.Second

// daemonTimes holds when a daemon last started, and when it last logged.
type daemonTimes struct{ started, last time.Time }

// recordDaemon updates the times of the daemon that logged a line.
func (b *builder) recordDaemon(l *logstory.Line) {
	d := b.daemons[l.Daemon]
	if d == nil {
		d = &daemonTimes{}
		b.daemons[l.Daemon] = d
	}
	if l.Event == eventStarted {
		d.started = laterOf(d.started, l.At)
	}
	d.last = laterOf(d.last, l.At)
	b.last = laterOf(b.last, l.At)
}

// missingEndReason returns the likely reason why the end of an attempt is not
// logged.
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

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
