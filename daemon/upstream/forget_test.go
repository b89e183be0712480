package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// TestForgottenConnectionsAreNotReused checks that requests to the next process
// at an address use new connections.
func TestForgottenConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("here") }}
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	p := New(Options{Metrics: metrics.New("test"), IdleLife: time.Minute, IdleMargin: time.Millisecond})
	call := func() {
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		req.SetRequestURI("/")
		req.Header.SetHost("h")
		answer, failure := p.Do(context.Background(), &Call{Address: ln.Addr().String(), Request: req, Until: time.Now().Add(time.Minute)})
		if failure != nil {
			t.Fatal(failure)
		}
		answer.Close()
	}
	call()
	call()
	is.Equal(p.dialled.Value(), int64(1))
	p.Forget(ln.Addr().String())
	is.Equal(len(p.addresses), 0)
	call()
	is.Equal(p.dialled.Value(), int64(2))
	p.Close()
	is.NoErr(server.Shutdown())
	is.NoErr(<-served)
}
