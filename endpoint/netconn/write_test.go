package netconn

import (
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestARequestThatIsBrokenOffIsReset guards against a part of a request that looks like one which
// ended with its connection.
func TestARequestThatIsBrokenOffIsReset(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	var req fasthttp.Request
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/x")
	req.SetHost("endpoint")
	req.SetBodyRaw(make([]byte, 32<<20)) // more than the sockets hold
	written := make(chan error)
	go func() {
		_, err := c.WriteRequest(&req)
		written <- err
	}()
	_, err := other.Read(make([]byte, 1))
	is.NoErr(err)
	is.NoErr(c.Close())
	is.True(<-written != nil)
	_, err = io.Copy(io.Discard, other)
	is.True(err != nil)
}

// TestAWholeRequestIsNotReset checks the regular end.
func TestAWholeRequestIsNotReset(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	var req fasthttp.Request
	req.SetRequestURI("/x")
	req.SetHost("endpoint")
	_, err := c.WriteRequest(&req)
	is.NoErr(err)
	is.NoErr(c.Close())
	_, err = io.Copy(io.Discard, other)
	is.NoErr(err)
}
