package netconn

import (
	"bufio"
	"io"

	"github.com/valyala/fasthttp"
)

// WriteRequest writes a request. sent reports whether any byte of it was written to
// the connection: if none was, the request has certainly not run. Until all of it is
// written, Close resets the connection.
func (c *Conn) WriteRequest(req *fasthttp.Request) (sent bool, err error) {
	c.writing.Store(true)
	counter := &countingWriter{dst: c}
	writer := bufio.NewWriter(counter)
	err = req.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err == nil {
		c.writing.Store(false)
	}
	return counter.written > 0, err
}

// countingWriter counts the bytes that are written to dst.
type countingWriter struct {
	dst     io.Writer
	written int
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.dst.Write(b)
	w.written += n
	return n, err
}
