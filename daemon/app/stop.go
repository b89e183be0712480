package app

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/daemon/leaving"
)

const (
	// stopLook is how often a leaving daemon asks whether it may close.
	stopPollInterval = 100 * time.Millisecond
	// stopSpread is how long until every daemon knows of the leaving.
	stopPropagation = 2 * time.Second
	// stopQuiet is how long no new caller must have come.
	stopQuietPeriod = 500 * time.Millisecond
	// shutdownTimeout bounds the closing of servers that have nothing to do.
	shutdownTimeout = 2 * time.Second
)

// BeginStop begins a planned stop: the daemon leaves the entry answers and
// hands its duties over, and goes on serving until nobody needs it.
func (d *Daemon) BeginStop() {
	cfg := entry.StopConfig{
		Spread:   stopPropagation,
		Lifetime: d.settings.Timings.EntryLifetimeMS.Duration(),
		Quiet:    stopQuietPeriod,
		Limit:    d.settings.Timings.DrainMS.Duration(),
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

func (d *Daemon) finishStop(s *leaving.Stop) {
	why, ok := s.Wait(d.ctx, stopPollInterval, d.now, d.inFlight)
	if !ok {
		return
	}
	d.logger.Event("daemon_closing", "why", why, "in_flight", d.inFlight())
	d.shutdown()
}

// Stop makes a planned stop and waits for its end, or for ctx.
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

// shutdown closes the servers, then the duties.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = d.front.Shutdown(ctx)
	_ = d.operator.Shutdown(ctx)
	d.closeComponents()
}

// Kill ends the daemon at once, as a crash of its process would: connections
// break, nothing is handed over. First go the duties that could cancel at the
// endpoints what the callers may come back for, or give back its slots; then
// the connections, so that no caller is told anything more.
func (d *Daemon) Kill() {
	d.closeListeners()
	d.cancels.Close()
	d.broker.Close()
	d.quotas.Close()
	d.connections.closeAll()
	d.closeComponents()
	d.front.Kill()
}

// end closes the duties, those that feed others first.
func (d *Daemon) closeComponents() {
	if !d.ended.CompareAndSwap(false, true) {
		return
	}
	d.cancel()
	d.closeListeners()
	d.reports.Close()
	d.placer.Close()
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
