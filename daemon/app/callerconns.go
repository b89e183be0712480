package app

import (
	"crypto/tls"
	"net"
	"sync"
)

// connections remembers the callers' open connections, so that Kill can break
// them as the end of the process would, and those beyond the bounds be refused.
type callerConns struct {
	// most bounds them, mostOfIP those from one address.
	maxTotal, maxPerIP int

	mu   sync.Mutex
	open map[*trackedConn]struct{}
	ips  map[string]int
}

func newCallerConns(most, mostOfIP int) *callerConns {
	return &callerConns{
		maxTotal: most, maxPerIP: mostOfIP,
		open: make(map[*trackedConn]struct{}),
		ips:  make(map[string]int),
	}
}

// trackingListener tells connections of each one that it accepts.
type trackingListener struct {
	net.Listener
	list *callerConns
}

// trackedConn stays a *net.TCPConn for whoever asks for its file descriptor.
type trackedConn struct {
	*net.TCPConn
	list *callerConns
	ip   string
	// surplus is set where the bounds were reached before it came.
	overLimit bool
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return l.list.add(tcp), nil
}

func (c *callerConns) add(tcp *net.TCPConn) *trackedConn {
	t := &trackedConn{TCPConn: tcp, list: c}
	if at, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		t.ip = at.IP.String()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.overLimit = len(c.open) >= c.maxTotal || c.ips[t.ip] >= c.maxPerIP
	c.open[t] = struct{}{}
	c.ips[t.ip]++
	return t
}

// surplus says whether a connection is beyond the bounds.
func isOverLimit(conn net.Conn) bool {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	tracked, ok := conn.(*trackedConn)
	return ok && tracked.overLimit
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.list.remove(t)
	return t.TCPConn.Close()
}

// remove forgets a connection, once.
func (c *callerConns) remove(t *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.open[t]; !ok {
		return
	}
	delete(c.open, t)
	c.ips[t.ip]--
	if c.ips[t.ip] == 0 {
		delete(c.ips, t.ip)
	}
}

// closeAll breaks all connections at once.
func (c *callerConns) closeAll() {
	c.mu.Lock()
	all := make([]*trackedConn, 0, len(c.open))
	for t := range c.open {
		all = append(all, t)
	}
	c.mu.Unlock()
	for _, t := range all {
		_ = t.SetLinger(0)
		_ = t.Close()
	}
}
