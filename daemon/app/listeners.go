package app

import (
	"time"

	"github.com/samphirequay/samphirequay/daemon/listener"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// acceptsFailed counts connections that could not be accepted at once, by listener.
func acceptsFailed(r *metrics.Registry) *metrics.CounterMap {
	return r.CounterMap("accepts_failed", metrics.UnitCount,
		"Connections that could not be accepted at once, for want of descriptors or memory or since they had ended, by listener.")
}

// listenerConfig returns the configuration of a listener. limits.max_connections bounds
// its connections elsewhere.
func (d *Daemon) listenerConfig(name string) listener.Config {
	failed := acceptsFailed(d.metrics)
	return listener.Config{
		Now: d.now,
		Failed: func(err error, report bool) {
			failed.Add(name, 1)
			if report {
				d.logger.Warn("accept_failed", "server", name, "err", err)
			}
		},
		Recovered: func(failures int, lasted time.Duration) {
			d.logger.Event("accept_recovered", "server", name, "failures", failures, "after", lasted)
		},
	}
}

// callersAccepted reports whether callers' new connections are taken, and the reason if not.
func (d *Daemon) callersAccepted() (ok bool, why string) {
	ln, ok := d.callerLn.(*listener.Listener)
	if !ok {
		return false, "not listening"
	}
	return ln.Accepting()
}

// listenerEnded is called when a listener is no longer served; err is nil if the daemon has
// closed it. A daemon that has lost one for good leaves as planned: its next process listens
// again.
func (d *Daemon) listenerEnded(name string, err error) {
	if err == nil || d.ctx.Err() != nil || d.stopping.Load() != nil {
		return
	}
	d.logger.Error("server_ended", "server", name, "err", err)
	d.BeginStop()
}

// peersLost is called when the peers' socket is lost, perhaps before the daemon has started.
func (d *Daemon) peersLost(err error) {
	select {
	case <-d.started:
		d.listenerEnded("peers", err)
	case <-d.ctx.Done():
	}
}
