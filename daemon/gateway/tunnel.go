package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/upstream"
)

// A host may lose its links to endpoints while it keeps those to callers, the store and
// the other daemons. Its daemon then opens its connections to endpoints through another
// daemon, which only passes the bytes on: attempts, retries, limits and verdicts stay
// with the daemon that the caller asked.

const (
	// maxTunnels bounds the tunnels that a daemon carries for others, and with them its
	// memory: each has two buffers of 4 KB and a connection.
	maxTunnels = 128
	// helpersAtOnce is how many other daemons are asked at the same time for a tunnel,
	// maxHelpers how many in all. Most daemons of a fleet may be cut off.
	helpersAtOnce = 4
	maxHelpers    = 8
	// helperPause is how long the daemons asked first may take before others are asked
	// as well: several round trips between failure domains.
	helperPause = 40 * time.Millisecond
	// helperTimeout bounds the search for a helper. A daemon that reaches the endpoint
	// answers far sooner; one that does not may hang as long as this host did.
	helperTimeout = 150 * time.Millisecond
)

// Paths are this host's ways to the endpoints.
type Paths interface {
	// UseTunnels sets how connections are opened through other daemons.
	UseTunnels(t upstream.Tunnels)
	// DialDirect opens a connection on behalf of another daemon, never through a third.
	DialDirect(ctx context.Context, address string) (net.Conn, error)
	// CutPaths returns the number of addresses that this host doesn't reach and other
	// daemons do.
	CutPaths() int
}

// tunnelCounts are the counters of tunnels.
type tunnelCounts struct {
	opened, failed, carried, refused *metrics.Counter
}

func (d *Daemon) provisionTunnels() {
	d.tunnelCounts = tunnelCounts{
		opened:  d.metrics.Counter("tunnels_opened", metrics.UnitCount, "Connections to endpoints that were opened through another daemon."),
		failed:  d.metrics.Counter("tunnels_failed", metrics.UnitCount, "Connections to endpoints that no asked daemon could open."),
		carried: d.metrics.Counter("tunnels_carried", metrics.UnitCount, "Connections to endpoints that this daemon opened for others."),
		refused: d.metrics.Counter("tunnels_refused", metrics.UnitCount, "Connections to endpoints that this daemon could not open for others."),
	}
	d.metrics.GaugeFunc("endpoint_paths_cut", metrics.UnitCount, "Endpoints that this host does not reach and other daemons do.", func() float64 {
		return float64(d.platform.Paths.CutPaths())
	})
	d.platform.Paths.UseTunnels(upstream.Tunnels{Open: d.openTunnel, Report: d.logPath, Now: d.now})
}

// logPath logs that a path to an endpoint is cut or has healed.
func (d *Daemon) logPath(c upstream.PathChange) {
	if c.Cut {
		d.logger.Event("endpoint_path_cut", "endpoint", d.endpointAt(c.Address), "address", c.Address, "why", c.Why)
		return
	}
	d.logger.Event("endpoint_path_healed", "endpoint", d.endpointAt(c.Address), "address", c.Address, "after", c.Lasted)
}

// endpointAt returns the registered endpoint that has an address; empty if none has.
func (d *Daemon) endpointAt(address string) id.Endpoint {
	for _, e := range d.tables.current().Endpoints {
		if e.Address == address {
			return e.Name
		}
	}
	return ""
}

// openTunnel implements upstream.TunnelFunc. It asks the daemon that helped last, and
// others if that one fails or is slow.
func (d *Daemon) openTunnel(ctx context.Context, address string) (net.Conn, error) {
	f := d.fleet.Load()
	if f == nil {
		return nil, eris.New("this daemon is not enrolled in the fleet yet")
	}
	ctx, cancel := context.WithTimeout(ctx, helperTimeout)
	defer cancel()
	search := &helperSearch{
		open:    func(helper id.Daemon) (net.Conn, error) { return f.transport.OpenTunnel(ctx, helper, address) },
		results: make(chan tunnelResult, maxHelpers),
	}
	var first int
	search.helpers, first = d.helpersInOrder(f)
	r := search.run(ctx, first)
	if r.err != nil {
		d.tunnelCounts.failed.Inc()
		return nil, r.err
	}
	d.helper.Store(&r.helper)
	d.tunnelCounts.opened.Inc()
	return r.conn, nil
}

// helpersInOrder returns the daemons to ask, and how many of them at first: only the
// one that helped last, if there is one, since each daemon that is asked connects to the
// endpoint.
func (d *Daemon) helpersInOrder(f *fleet) (helpers []id.Daemon, first int) {
	others := f.possibleHelpers()
	first = helpersAtOnce
	if last := d.helper.Load(); last != nil {
		if i := slices.Index(others, *last); i >= 0 {
			others[0], others[i] = others[i], others[0]
			first = 1
		}
	}
	return others[:min(maxHelpers, len(others))], first
}

// possibleHelpers returns other daemons in random order, those first to which there is a
// connection. In a large fleet it returns no others: when an endpoint dies there, a new
// connection to several daemons from each would cost the hosts more than it can gain.
func (f *fleet) possibleHelpers() []id.Daemon {
	connected := map[id.Daemon]bool{}
	for _, p := range f.transport.Peers() {
		connected[p.Process.Daemon] = p.Connected
	}
	var out, rest []id.Daemon
	for _, other := range f.members.Others() {
		if connected[other] {
			out = append(out, other)
		} else {
			rest = append(rest, other)
		}
	}
	shuffle(out)
	shuffle(rest)
	if f.members.Large() && len(out) > 0 {
		return out
	}
	return append(out, rest...)
}

func shuffle(daemons []id.Daemon) {
	rand.Shuffle(len(daemons), func(i, j int) { daemons[i], daemons[j] = daemons[j], daemons[i] })
}

// tunnelResult is a daemon's answer to the question for a tunnel.
type tunnelResult struct {
	helper id.Daemon
	conn   net.Conn
	err    error
}

// helperSearch asks daemons for a tunnel until one opens it.
type helperSearch struct {
	helpers []id.Daemon
	open    func(helper id.Daemon) (net.Conn, error)
	// results has room for all answers, so that no question outlives the search blocked.
	results chan tunnelResult
	pending int
}

// ask asks the next daemons, up to n.
func (s *helperSearch) ask(n int) {
	asked := s.helpers[:min(n, len(s.helpers))]
	s.helpers = s.helpers[len(asked):]
	s.pending += len(asked)
	for _, helper := range asked {
		go func() {
			c, err := s.open(helper)
			s.results <- tunnelResult{helper, c, err}
		}()
	}
}

// run asks first daemons, and others when those have failed or helperPause has passed. It
// returns the first tunnel; those that are opened later are closed.
func (s *helperSearch) run(ctx context.Context, first int) tunnelResult {
	last := tunnelResult{err: eris.New("no other daemon can be asked")}
	s.ask(first)
	slow := time.NewTicker(helperPause)
	defer slow.Stop()
	defer s.closeLate()
	for s.pending > 0 {
		select {
		case last = <-s.results:
			s.pending--
			if last.err == nil {
				return last
			}
			if s.pending == 0 {
				s.ask(helpersAtOnce)
			}
		case <-slow.C:
			s.ask(helpersAtOnce)
		case <-ctx.Done():
			return tunnelResult{err: ctx.Err()}
		}
	}
	return last
}

// closeLate closes the tunnels that are opened after the search has ended.
func (s *helperSearch) closeLate() {
	late := s.pending
	go func() {
		for range late {
			if r := <-s.results; r.err == nil {
				_ = r.conn.Close()
			}
		}
	}()
}

// serveTunnel opens a connection to an endpoint for another daemon. Only addresses of
// registered endpoints that don't leave are connected to: the other daemon may not know
// yet that an endpoint leaves, and its request would reach the endpoint from this host.
func (d *Daemon) serveTunnel(ctx context.Context, from id.Daemon, address string) (net.Conn, error) {
	c, err := d.dialRegistered(ctx, address)
	if err != nil {
		d.tunnelCounts.refused.Inc()
		d.logger.Routine("tunnel_refused", "peer", from, "address", address, "why", err)
		return nil, err
	}
	d.tunnelCounts.carried.Inc()
	d.logger.Routine("tunnel_opened", "peer", from, "address", address)
	return c, nil
}

// carriedTunnels returns how many tunnels this daemon carries for others at the moment.
func (d *Daemon) carriedTunnels() int {
	if f := d.fleet.Load(); f != nil {
		return f.transport.CarriedTunnels()
	}
	return 0
}

func (d *Daemon) dialRegistered(ctx context.Context, address string) (net.Conn, error) {
	// What the tunnel is for is not known here: it may be a stream.
	if d.stopsTooSoon(route.Stream, 0) {
		return nil, eris.New("this daemon is stopping")
	}
	if !d.takesWorkAt(address) {
		return nil, eris.Errorf("no registered endpoint that takes work has the address %s", address)
	}
	return d.platform.Paths.DialDirect(ctx, address)
}

// takesWorkAt reports whether a registered endpoint that doesn't leave has an address.
func (d *Daemon) takesWorkAt(address string) bool {
	for _, e := range d.tables.current().Endpoints {
		if e.Address == address && !e.Leaving {
			return true
		}
	}
	return false
}
