package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/daemon/leaving"
)

const (
	// stopLook is how often a leaving daemon asks whether it may close.
	stopCheckInterval = 50 * time.Millisecond
	// stopSpread is how long until every daemon knows of the leaving.
	stopPropagation = 500 * time.Millisecond
	// stopQuiet is how long no new caller must have come.
	stopQuiet = 300 * time.Millisecond
	// lateAfter is how long after the beginning of a planned stop a stream is
	// refused: one that came later might not end before the process must.
	streamCutoff = 2800 * time.Millisecond
	// shutdownTimeout bounds the closing of servers that have nothing to do.
	shutdownTimeout = 300 * time.Millisecond
)

// tooLate says whether a planned stop has gone on for so long that a stream may
// not end before the process must.
func (d *Daemon) streamCutoffPassed() bool {
	s := d.stopping.Load()
	return s != nil && d.now()-s.Began() >= streamCutoff
}

// noteCaller tells the plan of a planned stop that a caller still came.
func (d *Daemon) noteCaller() {
	if s := d.stopping.Load(); s != nil {
		s.Caller(d.now())
	}
}

// BeginStop begins a planned stop: the daemon is no longer ready, leaves the
// entry answers and hands its duties over, and goes on serving those who keep
// an answer that names it.
func (d *Daemon) BeginStop() {
	cfg := entry.StopConfig{
		Spread:   stopPropagation,
		Lifetime: keptLifetimes * d.set.entryLifetime(),
		Quiet:    stopQuiet,
		Limit:    Seconds(d.set.Bounds.GraceS) - stopMargin,
	}
	s := leaving.Begin(cfg, d.now())
	if !d.stopping.CompareAndSwap(nil, s) {
		return
	}
	d.logger.Event("daemon_leaving", "in_flight", d.inFlight.Load())
	if f := d.fleet.Load(); f != nil {
		f.members.Leave()
		f.orderer.Release()
	}
	go d.leave(s)
}

func (d *Daemon) leave(s *leaving.Stop) {
	inFlight := func() int { return int(d.inFlight.Load()) }
	why, ok := s.Wait(d.ctx, stopCheckInterval, d.now, inFlight)
	if !ok {
		return
	}
	d.logger.Event("daemon_closing", "why", why, "in_flight", inFlight())
	d.shutdown()
}

// shutdown closes the servers, then the duties.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range d.servers {
		wg.Go(func() { _ = s.ShutdownWithContext(ctx) })
	}
	wg.Wait()
	d.Kill()
}

// Kill ends the daemon at once.
func (d *Daemon) Kill() {
	d.endOnce.Do(d.end)
}

func (d *Daemon) end() {
	d.cancel()
	d.closeListeners()
	d.configs.Close()
	d.endpoints.Close()
	if f := d.fleet.Load(); f != nil {
		f.orderer.Close()
		f.hosts.Close()
		f.members.Close()
		f.broker.Close()
		f.quotas.Close()
		f.transport.Close()
	}
	d.watcher.Close()
	d.logger.Event("daemon_stopped")
	d.logger.Close()
	close(d.closed)
}
