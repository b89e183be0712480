package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/netconn"
)

// An endpoint that this host doesn't reach may be reached by other daemons. A connection
// to it is then opened through one of them, which is what a TunnelFunc does. Such a path
// counts as cut until a direct connection succeeds again. An endpoint that nobody reaches
// is not cut off but gone.

// TunnelFunc opens a connection to an address through another daemon.
type TunnelFunc func(ctx context.Context, address string) (net.Conn, error)

// Tunnels is what a pool needs to reach endpoints through other daemons.
type Tunnels struct {
	Open TunnelFunc
	// Report is called when a cut begins or ends. It must not call the pool.
	Report func(PathChange)
	// Now returns the daemon's time.
	Now func() time.Duration
}

// PathChange reports that the path between this host and an address was cut or healed.
type PathChange struct {
	Address string
	Cut     bool
	// Why is the error of the direct connection; nil if the path has healed.
	Why error
	// Lasted is how long the cut lasted; 0 if it has just begun.
	Lasted time.Duration
}

const (
	// suspectDialTimeout replaces DialTimeout while other paths are cut: this one is
	// probably cut as well, and its requests must not lose the time of a full timeout.
	suspectDialTimeout = 80 * time.Millisecond
	// unreachableFor is how long an address that no asked daemon reached is not tried
	// through others again.
	unreachableFor = 500 * time.Millisecond
)

var errNoTunnel = errors.New("no other daemon can be asked")

// paths tracks which addresses this host doesn't reach directly.
type paths struct {
	mu sync.Mutex
	// tunnels is nil if this host can't ask other daemons.
	tunnels *Tunnels
	// cutSince holds the addresses whose path is cut, and since when; cuts counts all
	// cuts so far.
	cutSince map[string]time.Duration
	cuts     uint64
	// unreachable holds addresses that other daemons didn't reach either, and until when
	// they are not asked again.
	unreachable map[string]time.Duration
}

func newPaths() *paths {
	return &paths{cutSince: map[string]time.Duration{}, unreachable: map[string]time.Duration{}}
}

// UseTunnels makes the pool open connections through other daemons where this host
// reaches an endpoint no more.
func (p *Pool) UseTunnels(t Tunnels) {
	p.paths.mu.Lock()
	defer p.paths.mu.Unlock()
	p.paths.tunnels = &t
}

// CutPaths returns the number of addresses whose path is cut.
func (p *Pool) CutPaths() int {
	p.paths.mu.Lock()
	defer p.paths.mu.Unlock()
	return len(p.paths.cutSince)
}

func (s *paths) isCut(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, cut := s.cutSince[address]
	return cut
}

// cutsSoFar returns the number of cuts so far, for a connection that becomes idle.
func (s *paths) cutsSoFar() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// suspect reports whether an idle connection may hang: another path has been cut since it
// became idle, and this one was not used meanwhile. cutsBefore is the number of cuts when
// it became idle.
func (s *paths) suspect(cutsBefore uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.cutSince) > 0 && cutsBefore < s.cuts
}

// begin records that a path is cut.
func (s *paths) begin(address string, why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.cutSince[address]; known {
		return
	}
	s.cuts++
	s.cutSince[address] = s.tunnels.Now()
	s.tunnels.Report(PathChange{Address: address, Cut: true, Why: why})
}

// end records that a path is no longer cut.
func (s *paths) end(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, known := s.cutSince[address]
	if !known {
		return
	}
	delete(s.cutSince, address)
	s.tunnels.Report(PathChange{Address: address, Lasted: s.tunnels.Now() - since})
}

// usable returns the function that opens tunnels; nil if there is none or other daemons
// have just failed to reach the address.
func (s *paths) usable(address string) TunnelFunc {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tunnels == nil || s.tunnels.Now() < s.unreachable[address] {
		return nil
	}
	delete(s.unreachable, address)
	return s.tunnels.Open
}

// throughOther opens a connection through another daemon.
func (s *paths) throughOther(ctx context.Context, address string) (*conn, error) {
	tunnel := s.usable(address)
	if tunnel == nil {
		return nil, errNoTunnel
	}
	c, err := tunnel(ctx, address)
	if err != nil && ctx.Err() == nil {
		s.mu.Lock()
		s.unreachable[address] = s.tunnels.Now() + unreachableFor
		s.mu.Unlock()
	}
	if err != nil {
		return nil, err
	}
	opened := newConn(netconn.New(c))
	opened.tunnelled = true
	return opened, nil
}

// open opens a connection to an address, directly or through another daemon.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	if p.paths.isCut(address) {
		c, err := p.paths.throughOther(ctx, address)
		if err != nil && ctx.Err() == nil {
			p.paths.end(address)
		}
		return c, err
	}
	dialed, err := p.opts.Dial(ctx, address, p.dialTimeout())
	if err == nil {
		return newConn(dialed), nil
	}
	if ctx.Err() != nil {
		return nil, err
	}
	c, otherErr := p.paths.throughOther(ctx, address)
	if otherErr != nil {
		return nil, err
	}
	if !isLack(err) {
		p.paths.begin(address, err)
		p.closeIdle(address)
	}
	return c, nil
}

func newConn(c *netconn.Conn) *conn { return &conn{Conn: c, reader: bufio.NewReader(c)} }

func (p *Pool) dialTimeout() time.Duration {
	if p.CutPaths() > 0 {
		return min(p.opts.DialTimeout, suspectDialTimeout)
	}
	return p.opts.DialTimeout
}

// DialDirect opens a connection to an address for another daemon. It fails at once while
// this host doesn't reach the address itself.
func (p *Pool) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	if p.paths.isCut(address) {
		return nil, errors.New("this host does not reach it either")
	}
	return p.opts.Dial(ctx, address, p.opts.DialTimeout)
}

// ProbePaths tries the paths that are cut, each with one direct connection, and returns
// when all have been tried.
func (p *Pool) ProbePaths(ctx context.Context) {
	var probes sync.WaitGroup
	for _, address := range p.paths.cut() {
		probes.Go(func() {
			dialed, err := p.opts.Dial(ctx, address, p.opts.DialTimeout)
			if err != nil {
				return
			}
			p.reserveSlot(&Call{Address: address})
			p.dialled.Inc()
			p.putIdle(address, newConn(dialed), p.opts.IdleLife)
			p.paths.end(address)
		})
	}
	probes.Wait()
}

// cut returns the addresses whose path is cut.
func (s *paths) cut() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for address := range s.cutSince {
		out = append(out, address)
	}
	return out
}
