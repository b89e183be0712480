package httphead

import (
	"bufio"
	"net"
)

// Conn is a connection of a client that reads its responses by itself: reads fail if the
// bytes that follow a request are no head of a response. It serves one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// onMalformed is called with the *Error of a read, which the client may replace.
	onMalformed func(error)
	// left is how many bytes of a checked head were not read yet; final is set once that
	// of the final response was checked, so that a body follows.
	left  int
	final bool
}

// NewConn wraps a connection on which nothing was sent. onMalformed is called with the *Error
// of a response that is none; the client may report another error.
func NewConn(c net.Conn, onMalformed func(error)) *Conn {
	return &Conn{Conn: c, reader: bufio.NewReader(c), onMalformed: onMalformed}
}

// Write implements net.Conn. A response is expected behind what is written.
func (c *Conn) Write(b []byte) (int, error) {
	c.left, c.final = 0, false
	return c.Conn.Write(b)
}

// Read implements net.Conn. Its error is an *Error if a head is malformed.
func (c *Conn) Read(b []byte) (int, error) {
	if c.left == 0 && !c.final {
		h, err := peek(c.reader)
		if err != nil {
			c.report(err)
			return 0, err
		}
		c.left, c.final = h.size, !h.interim()
	}
	if c.left > 0 {
		n, err := c.reader.Read(b[:min(len(b), c.left)])
		c.left -= n
		return n, err
	}
	return c.reader.Read(b)
}

func (c *Conn) report(err error) {
	if _, ok := RuleOf(err); ok {
		c.onMalformed(err)
	}
}
