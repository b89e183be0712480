package gateway

import (
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/daemon/callerconn"
	"github.com/samphirequay/samphirequay/daemon/listener"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/upstream"
)

const (
	// callerProbeIdle, callerProbeEvery and callerProbeCount set the TCP keepalive
	// probes that detect dead connections of callers, within callerTimeout. The first
	// and the last probe are two seconds apart, so that a host which loses packets for
	// less answers one of them.
	callerProbeIdle  = 2 * time.Second
	callerProbeEvery = time.Second
	callerProbeCount = 3
	// callerTimeout is how long bytes sent to a caller may stay unacknowledged, and how
	// long nothing may arrive from it while probes are sent.
	callerTimeout = 5 * time.Second
)

// The names of the listeners, as in the listen settings.
const (
	listenCallers = "callers"
	listenReady   = "ready"
	listenEntry   = "entry"
	listenMetrics = "metrics"
	listenPeers   = "peers"
)

// server is one HTTP server with its listener.
type server struct {
	name     string
	http     *fasthttp.Server
	listener *listener.Listener
}

// acceptCounts are the counters of the listeners, by name.
type acceptCounts struct {
	failed, refused, endedIdle *metrics.CounterMap
}

func (d *Daemon) provisionListeners() {
	d.acceptCounts = acceptCounts{
		failed:    d.metrics.CounterMap("accepts_failed", metrics.UnitCount, "Connections that could not be accepted at once, for want of descriptors or memory or since they had ended, by listener."),
		refused:   d.metrics.CounterMap("connections_refused", metrics.UnitCount, "Connections that were closed unread since as many were open as may be and none was idle, by listener."),
		endedIdle: d.metrics.CounterMap("connections_ended_idle", metrics.UnitCount, "Idle connections that were closed for new ones since as many were open as may be, by listener."),
	}
	d.metrics.GaugeMapFunc("connections_open", metrics.UnitCount, "Open connections, by listener.", func() map[string]float64 {
		open := map[string]float64{}
		for _, s := range d.openServers() {
			open[s.name] = float64(s.listener.Open())
		}
		return open
	})
}

// openServers returns the servers that were started.
func (d *Daemon) openServers() []server {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	return slices.Clone(d.servers)
}

// serveOn opens one listener and serves on it in the background.
func (d *Daemon) serveOn(name, address string, s *fasthttp.Server) error {
	listen := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error { return upstream.SetUserTimeout(raw, callerTimeout) },
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: callerProbeIdle, Interval: callerProbeEvery, Count: callerProbeCount,
		},
	}
	inner, err := listen.Listen(d.ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen.%s", name)
	}
	ln := listener.New(inner, d.listenerConfig(name))
	s.NoDefaultServerHeader = true
	s.NoDefaultContentType = true
	s.NoDefaultDate = true
	s.Logger = httpLogger{d}
	s.ConnState = d.connState
	d.serversMu.Lock()
	d.servers = append(d.servers, server{name, s, ln})
	d.serversMu.Unlock()
	served := net.Listener(ln)
	if name == listenCallers {
		served = d.callers.Listen(ln)
	}
	go func() { d.listenerEnded(name, s.Serve(served)) }()
	return nil
}

// connState notes which connections are idle, gives back what was held for a request, and
// notes that its answer has been written.
func (d *Daemon) connState(c net.Conn, state fasthttp.ConnState) {
	listener.State(c, state)
	callerconn.State(c, state)
	d.answers.State(c, state)
}

func (d *Daemon) listenerConfig(name string) listener.Config {
	return listener.Config{
		MaxConns: d.set.maxConns(name),
		Now:      d.now,
		Failed: func(err error, report bool) {
			d.acceptCounts.failed.Add(name, 1)
			if report {
				d.logger.Warn("accept_failed", "server", name, "why", err)
			}
		},
		Recovered: func(failures int, lasted time.Duration) {
			d.logger.Event("accept_recovered", "server", name, "failures", failures, "after", lasted)
		},
		Refused:   func() { d.acceptCounts.refused.Add(name, 1) },
		EndedIdle: func() { d.acceptCounts.endedIdle.Add(name, 1) },
	}
}

// listenerEnded is called when a listener is no longer served; err is nil if the daemon has
// closed it. A daemon that has lost one for good can't be reached by all who need it: it
// leaves as planned, so that what is in progress is finished, and its next process listens
// again.
func (d *Daemon) listenerEnded(name string, err error) {
	if err == nil || d.ctx.Err() != nil || d.stopping.Load() != nil {
		return
	}
	d.logger.Error("server_ended", "server", name, "why", err)
	d.BeginStop()
}

// accepting reports whether callers' new connections are taken, and the reason if not.
func (d *Daemon) accepting() (ok bool, why string) {
	for _, s := range d.openServers() {
		if s.name != listenCallers && s.name != listenEntry {
			continue
		}
		if ok, why := s.listener.Accepting(); !ok {
			return false, s.name + ": " + why
		}
	}
	return true, ""
}

func (d *Daemon) closeListeners() {
	for _, s := range d.openServers() {
		// The error is ignored: nothing can be done about it.
		_ = s.listener.Close()
	}
}

// httpLogger writes the messages of the HTTP library to the daemon's log.
type httpLogger struct{ d *Daemon }

// Printf implements fasthttp.Logger.
func (l httpLogger) Printf(format string, args ...any) {
	l.d.logger.Debug("http", "says", fmt.Sprintf(format, args...))
}
