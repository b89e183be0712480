package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// TestARequestThatMayNotBeSentAnyMoreIsNotWritten checks a request whose endpoint begins to
// want none while the connection is opened. The connection is kept for later ones.
func TestARequestThatMayNotBeSentAnyMoreIsNotWritten(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	p := New(Options{Metrics: metrics.New("test"), IdleLife: time.Minute})
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	asked := 0
	for range 2 {
		_, failure := p.Do(context.Background(), &Call{
			Address: l.Addr().String(), Request: req, Until: time.Now().Add(time.Minute),
			MaySend: func() bool { asked++; return false },
		})
		is.True(failure != nil)
		is.Equal(failure.Verdict, verdict.NotRun)
		is.Equal(failure.Code, verdict.CodeOverloaded)
	}
	is.Equal(asked, 2)
	is.Equal(p.dialled.Value(), int64(1))
	accepted, err := l.Accept()
	is.NoErr(err)
	p.Close()
	n, _ := accepted.Read(make([]byte, 1)) // its error is the end of the connection
	is.Equal(n, 0)
}
