package upstream

import (
	"time"
)

// reserveSlot counts a new connection to the call's address; false if MaxConns is
// reached.
func (p *Pool) reserveSlot(c *Call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.connsTo(c.Address)
	if c.MaxConns > 0 && conns.open >= c.MaxConns {
		return false
	}
	conns.open++
	return true
}

func (p *Pool) connsTo(address string) *addressConns {
	conns := p.addresses[address]
	if conns == nil {
		conns = &addressConns{}
		p.addresses[address] = conns
	}
	return conns
}

// releaseSlot counts a connection to the address as closed.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.addresses[address]
	if conns == nil {
		return
	}
	conns.open--
	if conns.open <= 0 && len(conns.idle) == 0 {
		delete(p.addresses, address)
	}
}

// staleConnDivisor divides the lifetime in which an idle connection is reused
// for requests that must not run more than once: near its end the endpoint may
// close the connection just as the request is sent.
const staleConnDivisor = 2

// takeIdle returns the most recently used idle connection that is neither too old
// nor closed, or nil. It closes the others that it finds.
func (p *Pool) takeIdle(c *Call) *conn {
	for {
		cn := p.popIdle(c.Address)
		if cn == nil {
			return nil
		}
		now := time.Now()
		old := now.After(cn.expires) || p.paths.suspect(cn.cutsBefore)
		if c.AvoidStaleConn {
			old = old || now.Sub(cn.idleSince) > cn.expires.Sub(cn.idleSince)/staleConnDivisor
		}
		if old || !isQuiet(cn) {
			_ = cn.Close()
			p.releaseSlot(c.Address)
			continue
		}
		return cn
	}
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.addresses[address]
	if conns == nil || len(conns.idle) == 0 {
		return nil
	}
	last := len(conns.idle) - 1
	cn := conns.idle[last]
	conns.idle[last] = nil
	conns.idle = conns.idle[:last]
	return cn
}

// putIdle keeps a connection for reuse by a later request.
func (p *Pool) putIdle(address string, cn *conn, life time.Duration) {
	cn.idleSince = time.Now()
	cn.cutsBefore = p.paths.cutsSoFar()
	cn.expires = cn.idleSince.Add(life)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.connsTo(address)
	conns.idle = append(conns.idle, cn)
}

// Forget closes the idle connections to an address whose endpoint is gone.
func (p *Pool) Forget(address string) {
	p.closeIdle(address)
	p.paths.end(address)
}

func (p *Pool) closeIdle(address string) {
	for {
		cn := p.popIdle(address)
		if cn == nil {
			return
		}
		_ = cn.Close()
		p.releaseSlot(address)
	}
}

// Sweep closes the idle connections that are too old to be reused.
func (p *Pool) Sweep() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for address, conns := range p.addresses {
		remaining := conns.idle[:0]
		for _, cn := range conns.idle {
			if now.After(cn.expires) {
				old = append(old, cn)
				conns.open--
				continue
			}
			remaining = append(remaining, cn)
		}
		clear(conns.idle[len(remaining):])
		conns.idle = remaining
		if conns.open <= 0 && len(conns.idle) == 0 {
			delete(p.addresses, address)
		}
	}
	p.mu.Unlock()
	for _, cn := range old {
		_ = cn.Close()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.addresses {
		for _, cn := range conns.idle {
			_ = cn.Close()
		}
	}
	p.addresses = map[string]*addressConns{}
}
