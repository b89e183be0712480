package app

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/daemon/leaving"
)

const (
	// stopPollInterval is how often a leaving daemon checks whether it may close.
	stopPollInterval = 100 * time.Millisecond
	// stopPropagation is the time until every daemon has learned that one leaves.
	stopPropagation = 2 * time.Second
	// stopQuietPeriod is the time without a new caller after which a daemon may close.
	stopQuietPeriod = 500 * time.Millisecond
	// shutdownTimeout bounds the shutdown of the servers, which are idle by then.
	shutdownTimeout = 2 * time.Second
)

// BeginStop begins a planned stop: the daemon is removed from the entry answers and
// hands over its work for the fleet, and keeps serving callers until none needs it.
func (d *Daemon) BeginStop() {
	cfg := entry.StopConfig{
		PropagationDelay: stopPropagation,
		Lifetime:         d.settings.Timings.EntryLifetimeMS.Duration(),
		QuietPeriod:      stopQuietPeriod,
		MaxDuration:      d.settings.Timings.DrainMS.Duration(),
	}
	s := leaving.Begin(cfg, d.now())
	if !d.stopping.CompareAndSwap(nil, s) {
		return
	}
	d.logger.Event("daemon_leaving")
	d.members.Leave()
	d.placer.Release()
	go d.finishStop(s)
}

// finishStop waits until the daemon may close and shuts it down.
func (d *Daemon) finishStop(s *leaving.Stop) {
	why, ok := s.Wait(d.ctx, stopPollInterval, d.now, d.front.Owed)
	if !ok {
		return
	}
	d.logger.Event("daemon_closing", "why", why, "in_flight", d.inFlight(), "answers_owed", d.front.Owed())
	d.shutdown()
}

// Stop makes a planned stop and waits for its end. If ctx ends first, it kills the
// daemon and returns the error of ctx.
func (d *Daemon) Stop(ctx context.Context) error {
	d.BeginStop()
	select {
	case <-d.closed:
		return nil
	case <-ctx.Done():
		d.Kill()
		return ctx.Err()
	}
}

// shutdown closes the servers, then the components.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = d.front.Shutdown(ctx)
	_ = d.operator.Shutdown(ctx)
	d.closeComponents()
}

// Kill ends the daemon at once, as a crash of its process would: connections
// break, and nothing is handed over. It first closes the components that could
// cancel requests at the endpoints or release their slots, since callers may
// resume those requests. Then it resets the connections, so that no caller
// receives an error.
func (d *Daemon) Kill() {
	d.closeListeners()
	d.cancels.Close()
	d.broker.Close()
	d.quotas.Close()
	d.connections.closeAll()
	d.closeComponents()
	d.front.Kill()
}

// closeComponents closes the components, those that call others first. Repeated
// calls have no effect.
func (d *Daemon) closeComponents() {
	if !d.ended.CompareAndSwap(false, true) {
		return
	}
	d.cancel()
	d.closeListeners()
	d.reports.Close()
	d.placer.Close()
	d.evidence.Close()
	d.members.Close()
	d.transport.Close()
	d.configs.Close()
	d.claims.Close()
	d.broker.Close()
	d.quotas.Close()
	d.cancels.Close()
	d.watcher.Close()
	d.work.Close()
	d.logger.Close()
	close(d.closed)
}
