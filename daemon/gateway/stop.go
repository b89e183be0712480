package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/daemon/leaving"
)

const (
	// stopCheckInterval is the interval at which a leaving daemon checks whether it
	// may close.
	stopCheckInterval = 50 * time.Millisecond
	// stopPropagation is how long it takes until every daemon knows that this one is
	// leaving.
	stopPropagation = 500 * time.Millisecond
	// stopQuietPeriod is the time without a new request after which the daemon may close.
	stopQuietPeriod = 300 * time.Millisecond
	// lateCutoff is the time after the start of a planned stop from which new streams are
	// refused, and calls that might not be answered before the process ends.
	lateCutoff = 2800 * time.Millisecond
	// answerReserve is the time that the last bytes of an answer take to its caller.
	answerReserve = 200 * time.Millisecond
	// shutdownTimeout bounds the shutdown of idle servers.
	shutdownTimeout = 300 * time.Millisecond
)

// stopsTooSoon reports whether a planned stop has come so far that a request of this kind, whose
// answer is due at until, might not be answered before the process ends. How long a stream lasts
// is up to its caller.
func (d *Daemon) stopsTooSoon(k route.Kind, until time.Duration) bool {
	s := d.stopping.Load()
	if s == nil {
		return false
	}
	late := s.Late(d.now(), lateCutoff) && (k == route.Stream || s.EndsBefore(until+answerReserve))
	return s.Closing() || late
}

// recordCaller records the arrival of a request during a planned stop.
func (d *Daemon) recordCaller() {
	if s := d.stopping.Load(); s != nil {
		s.RecordCaller(d.now())
	}
}

// BeginStop begins a planned stop: the daemon reports that it is not ready, is removed
// from entry answers and hands its duties over. It continues to serve callers that
// keep an answer with its address.
func (d *Daemon) BeginStop() {
	cfg := entry.StopConfig{
		PropagationDelay: stopPropagation,
		Lifetime:         keptLifetimes * d.set.entryLifetime(),
		QuietPeriod:      stopQuietPeriod,
		MaxDuration:      Seconds(d.set.Bounds.GraceS) - stopMargin,
	}
	s := leaving.Begin(cfg, d.now())
	if !d.stopping.CompareAndSwap(nil, s) {
		return
	}
	d.logger.Event("daemon_leaving", "in_flight", d.inFlight.Load(), "answers_owed", d.answers.Owed(), "tunnels", d.carriedTunnels())
	if f := d.fleet.Load(); f != nil {
		f.members.Leave()
		f.orderer.Release()
	}
	go d.leave(s)
}

// dependents returns the number of requests that need this daemon: those of its own callers,
// until the last byte of the answer is written, and those that other daemons serve over a
// tunnel through this one. A tunnel is used for one request.
func (d *Daemon) dependents() int { return d.answers.Owed() + d.carriedTunnels() }

// leave waits until the daemon may close, and shuts it down.
func (d *Daemon) leave(s *leaving.Stop) {
	why, ok := s.Wait(d.ctx, stopCheckInterval, d.now, d.dependents)
	if !ok {
		return
	}
	d.logger.Event("daemon_closing", "why", why, "in_flight", d.inFlight.Load(), "answers_owed", d.answers.Owed(), "tunnels", d.carriedTunnels())
	d.origins.HandOver()
	d.handOnRetries()
	d.shutdown()
}

// shutdown closes the servers, then all other components.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range d.openServers() {
		wg.Go(func() { _ = s.http.ShutdownWithContext(ctx) })
	}
	wg.Wait()
	d.Kill()
}

// Kill ends the daemon immediately, without waiting for requests in flight.
func (d *Daemon) Kill() {
	d.endOnce.Do(d.end)
}

func (d *Daemon) end() {
	d.cancel()
	d.closeListeners()
	d.configs.Close()
	d.endpoints.Close()
	if f := d.fleet.Load(); f != nil {
		f.evidence.Close()
		f.orderer.Close()
		f.hosts.Close()
		f.versions.Close()
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
