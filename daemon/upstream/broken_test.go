package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
)

// reciter is an endpoint that writes the body of each request as it is. It closes the
// connection behind it unless the request has fieldKeep.
type reciter struct {
	ln   net.Listener
	work sync.WaitGroup
}

const fieldKeep = "Keep"

func startReciter(t *testing.T) *reciter {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &reciter{ln: ln}
	r.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.work.Go(func() { recite(c) })
		}
	})
	t.Cleanup(func() { _ = ln.Close(); r.work.Wait() })
	return r
}

func recite(c net.Conn) {
	defer c.Close()
	from := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(from) != nil {
			return
		}
		if _, err := c.Write(req.Body()); err != nil || len(req.Header.Peek(fieldKeep)) == 0 {
			return
		}
	}
}

// testedConn is a connection of a test. Its end is a reset if resets is set, and each read
// returns one byte if pieces is.
type testedConn struct {
	*net.TCPConn
	resets, pieces bool
}

// Read implements net.Conn.
func (c testedConn) Read(b []byte) (int, error) {
	if c.pieces && len(b) > 1 {
		b = b[:1]
	}
	n, err := c.TCPConn.Read(b)
	if c.resets && err == io.EOF {
		err = syscall.ECONNRESET
	}
	return n, err
}

// way is how an answer is asked for and how it arrives.
type way struct {
	resets, pieces bool
	// kept is set for a connection that has served an answer before.
	kept bool
	// stream is set if the body is read as it arrives.
	stream bool
}

// ways are the ways of an answer.
var ways = map[string]way{
	"held":              {},
	"held, reset":       {resets: true},
	"held, in pieces":   {pieces: true},
	"held, kept":        {kept: true},
	"stream":            {stream: true},
	"stream, reset":     {stream: true, resets: true},
	"stream, in pieces": {stream: true, pieces: true},
	"stream, kept":      {stream: true, kept: true},
}

// pool returns a pool whose connections behave as the way says.
func (w way) pool(t *testing.T) *Pool {
	dial := func(ctx context.Context, address string, timeout time.Duration) (*netconn.Conn, error) {
		d := net.Dialer{Timeout: timeout}
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return netconn.New(testedConn{c.(*net.TCPConn), w.resets, w.pieces}), nil
	}
	p := New(Options{Metrics: metrics.New("test"), IDHeader: "Id", IdleLife: time.Hour, DialTimeout: testBound, Dial: dial})
	t.Cleanup(p.Close)
	return p
}

// received is what a caller of the pool makes of an answer.
type received struct {
	status int
	body   string
	// whole is set if the answer looks complete, and framed if its endpoint said where it
	// ends.
	whole, framed bool
	failure       *verdict.Error
}

// warmAnswer is a whole answer to the request before the one that is tested.
const warmAnswer = "HTTP/1.1 200 OK\r\nId: warm\r\nContent-Length: 4\r\n\r\nwarm"

// ask asks the endpoint for an answer with the given bytes.
func (w way) ask(t *testing.T, p *Pool, r *reciter, answer string) received {
	t.Helper()
	defer p.closeIdle(r.ln.Addr().String())
	if w.kept {
		if got := w.exchange(p, r, "warm", warmAnswer, true); got.body != "warm" {
			t.Fatalf("the first answer on the connection failed: %v", got.failure)
		}
		before := p.reused.Value()
		defer func() {
			if p.reused.Value() != before+1 {
				t.Fatal("the connection was not reused")
			}
		}()
	}
	return w.exchange(p, r, "mine", answer, false)
}

func (w way) exchange(p *Pool, r *reciter, id, answer string, keep bool) received {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost("h")
	req.SetBodyString(answer)
	if keep {
		req.Header.Set(fieldKeep, "1")
	}
	a, failure := p.Do(context.Background(), &Call{
		Address: r.ln.Addr().String(), Request: req, ID: id, Until: time.Now().Add(testBound), Stream: w.stream,
	})
	if failure != nil {
		return received{failure: failure}
	}
	defer a.Close()
	got := received{status: a.Status(), framed: !a.Unframed(), body: string(a.Body()), whole: true}
	if w.stream {
		got.body, got.whole = readStream(a)
	}
	return got
}

// readStream reads a stream as the daemon does.
func readStream(a *Answer) (body string, whole bool) {
	var b [64]byte
	for {
		n, err := a.Read(b[:])
		body += string(b[:n])
		if err != nil {
			return body, errors.Is(err, io.EOF)
		}
	}
}
