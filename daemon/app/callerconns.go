package app

import (
	"crypto/tls"
	"net"
	"sync"
)

// callerConns tracks the callers' open connections: Kill resets them, as the end
// of the process would, and requests on connections over the limits are refused.
type callerConns struct {
	// maxTotal limits all connections, maxPerIP those from one IP address.
	maxTotal, maxPerIP int

	mu   sync.Mutex
	open map[*trackedConn]struct{}
	ips  map[string]int
}

func newCallerConns(maxTotal, maxPerIP int) *callerConns {
	return &callerConns{
		maxTotal: maxTotal, maxPerIP: maxPerIP,
		open: make(map[*trackedConn]struct{}),
		ips:  make(map[string]int),
	}
}

// trackingListener adds each TCP connection that it accepts to a list.
type trackingListener struct {
	net.Listener
	list *callerConns
}

// trackedConn embeds a *net.TCPConn, so that its file descriptor stays accessible.
type trackedConn struct {
	*net.TCPConn
	list *callerConns
	ip   string
	// overLimit is set if the limits were reached before the connection was accepted.
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

// isOverLimit reports whether a connection was accepted over the limits.
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

// remove removes a connection; a repeated call has no effect.
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

// closeAll resets all connections: without lingering, Close discards unsent data.
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
