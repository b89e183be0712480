package front

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/hangup"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
)

// countedCalls counts the calls that it runs.
type countedCalls struct{ runs atomic.Int64 }

// Run implements PlainCalls.
func (c *countedCalls) Run(context.Context, *plaincall.Call) (*plaincall.Answer, *verdict.Error) {
	c.runs.Add(1)
	answer := &plaincall.Answer{}
	answer.Status = 200
	return answer, nil
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// serveCalls serves calls to a plain service and returns the address.
func serveCalls(t *testing.T, calls PlainCalls) string {
	t.Helper()
	index := live.NewIndex(live.Normalize(&live.Document{
		Teams:    []live.Team{{Name: "bunker", KeyHashes: []string{live.HashKey(fuzzKey)}}},
		Pools:    []live.Pool{{Name: "p", EndpointSelector: "pool=p"}},
		Services: []live.Service{{Name: "stems", Type: live.ServicePlain, Pool: "p", NonIdempotent: true}},
	}))
	watcher := hangup.New(hangup.DefaultInterval)
	t.Cleanup(watcher.Close)
	s := New(Deps{
		Directory: func() *live.Index { return index }, Newest: func() bool { return true },
		PlainCalls: calls, Watcher: watcher, Metrics: metrics.New("d1"),
		Log: func(string, ...any) {}, Logger: silent{}, OnRequest: func() {},
		Now: func() time.Duration { return time.Hour }, NewID: func() id.Request { return "r" },
		MaxBodyBytes: 1 << 20, MaxConns: 16, OverLimit: func(net.Conn) bool { return false },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ln)
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		<-ended
	})
	return ln.Addr().String()
}

// sendPart sends a part of a request, ends the sending side and returns the answer.
func sendPart(t *testing.T, address, part string) string {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, part)
	is.NoErr(err)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	return string(answer)
}

// TestABodyThatIsCutIsNeverRunAsAWholeOne guards against the part of a body that arrived before
// its caller left being run as the whole call.
func TestABodyThatIsCutIsNeverRunAsAWholeOne(t *testing.T) {
	is := is.New(t)
	calls := &countedCalls{}
	address := serveCalls(t, calls)
	header := "POST " + opapi.PathServices + "stems/hold HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\nAuthorization: " + bearer + fuzzKey + "\r\n"
	body := strings.Repeat("x", 60000)
	length := header + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunks := header + "Transfer-Encoding: chunked\r\n\r\n"
	whole := "4\r\n0123\r\n6\r\n456789\r\n0\r\nX-Check: 1\r\n\r\n"
	for _, cut := range []int{0, 1, 8192, 16384, 30000, len(body) - 1} {
		is.True(!strings.Contains(sendPart(t, address, length+body[:cut]), "HTTP/1.1 200 "))
	}
	for cut := range whole {
		is.True(!strings.Contains(sendPart(t, address, chunks+whole[:cut]), "HTTP/1.1 200 "))
	}
	is.Equal(calls.runs.Load(), int64(0))
	is.True(strings.Contains(sendPart(t, address, chunks+whole), "HTTP/1.1 200 "))
	is.Equal(calls.runs.Load(), int64(1))
}
