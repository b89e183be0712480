package app

import (
	"net"
	"sync"
)

// connections remembers the callers' open connections, so that Kill can break
// them as the end of the process would.
type connections struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// trackingListener tells connections of each one that it accepts.
type trackingListener struct {
	net.Listener
	list *connections
}

// trackedConn stays a *net.TCPConn for whoever asks for its file descriptor.
type trackedConn struct {
	*net.TCPConn
	list *connections
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

func (c *connections) add(tcp *net.TCPConn) *trackedConn {
	t := &trackedConn{TCPConn: tcp, list: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*trackedConn]struct{})
	}
	c.open[t] = struct{}{}
	return t
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	t.list.mu.Lock()
	delete(t.list.open, t)
	t.list.mu.Unlock()
	return t.TCPConn.Close()
}

// closeAll breaks all connections at once.
func (c *connections) closeAll() {
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
