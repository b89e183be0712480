package upstream

import (
	"context"
	"io"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/bytebudget"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// testBound ends a wait that would otherwise hang.
const testBound = 30 * time.Second

const (
	chunkedHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	foreignHead  = "HTTP/1.1 200 OK\r\nId: other\r\n"
)

// chunk is a whole chunk of a body.
var chunk = "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"

// flooder is an endpoint that answers each request with a head and then repeats bytes until
// its connection is closed; with nothing to repeat it is silent.
type flooder struct {
	ln           net.Listener
	head, repeat string
	// pause is the time between two repetitions.
	pause time.Duration
	work  sync.WaitGroup
	sent  atomic.Int64
}

func startFlooder(t *testing.T, head, repeat string, pause time.Duration) *flooder {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &flooder{ln: ln, head: head, repeat: repeat, pause: pause}
	f.work.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.work.Go(func() { f.serve(c) })
		}
	})
	return f
}

func (f *flooder) serve(c net.Conn) {
	defer c.Close()
	if _, err := c.Read(make([]byte, 4096)); err != nil {
		return
	}
	_, err := io.WriteString(c, f.head)
	if f.repeat == "" {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	for err == nil {
		var n int
		n, err = io.WriteString(c, f.repeat)
		f.sent.Add(int64(n))
		time.Sleep(f.pause)
	}
}

// awaitEnd waits until all connections of the endpoint have been closed by the other end.
func (f *flooder) awaitEnd(t *testing.T) {
	t.Helper()
	_ = f.ln.Close()
	done := make(chan struct{})
	go func() { f.work.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(testBound):
		t.Fatal("the endpoint still sends")
	}
}

// call sends a request to the endpoint.
func (f *flooder) call(p *Pool, c Call) (*Answer, *verdict.Error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost("h")
	c.Address, c.Request, c.ID = f.ln.Addr().String(), req, "mine"
	if c.Until.IsZero() {
		c.Until = time.Now().Add(testBound)
	}
	return p.Do(context.Background(), &c)
}

// endlessAnswers are answers that never end: the head and what is repeated behind it.
var endlessAnswers = map[string][2]string{
	"status line":                     {"HTTP/1.1 200 ", "OK"},
	"field":                           {"HTTP/1.1 200 OK\r\nX: ", "xxxxxxxx"},
	"fields":                          {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
	"interim answers":                 {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"answers to others":               {"", foreignHead + "Content-Length: 2\r\n\r\nno"},
	"answer to another, in chunks":    {foreignHead + "Transfer-Encoding: chunked\r\n\r\n", chunk},
	"answer to another, unframed":     {foreignHead + "\r\n", chunk},
	"body in chunks":                  {chunkedHead, chunk},
	"body with a huge length":         {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", chunk},
	"body with the longest length":    {"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", chunk},
	"body without a frame":            {unframedHead, chunk},
	"extension of a chunk":            {chunkedHead + "5;x=", "xxxxxxxx"},
	"size of a chunk":                 {chunkedHead, "0"},
	"trailer":                         {chunkedHead + "0\r\n", "X-Field: value\r\n"},
	"empty lines before a status":     {"", "\r\n"},
	"error body in chunks":            {"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
	"error body without a frame":      {"HTTP/1.1 500 Oops\r\nConnection: close\r\n\r\n", chunk},
	"bytes that are no HTTP at all":   {"", "\x00\x01\x02\x03"},
	"letters that are no HTTP at all": {"", "abcdefgh"},
}

// TestAnAnswerWithoutEndIsEnded checks that bytes without end, wherever they stand, end the
// exchange as a failure of the endpoint, and its connection; little is held meanwhile.
func TestAnAnswerWithoutEndIsEnded(t *testing.T) {
	const limit = 1 << 20
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			is := is.New(t)
			f := startFlooder(t, answer[0], answer[1], 0)
			budget := bytebudget.New(8*limit, nil)
			p := New(Options{Metrics: metrics.New("d"), IDHeader: "Id", MaxBodyBytes: limit, Budget: budget})
			defer p.Close()
			_, failure := f.call(p, Call{})
			is.True(failure != nil)
			is.Equal(failure.Verdict, verdict.MayHaveRun)
			is.Equal(failure.Code, verdict.CodeEndpointFailed)
			f.awaitEnd(t)
			is.Equal(budget.Held(), int64(0))
			is.True(budget.Most() <= limit+maxSegment)
		})
	}
}

// TestAnAnswerThatTricklesEndsInTime checks that an endpoint that goes on sending single bytes
// does not put off the deadline.
func TestAnAnswerThatTricklesEndsInTime(t *testing.T) {
	for name, answer := range endlessAnswers {
		if strings.Contains(name, "no HTTP") || strings.Contains(name, "length") {
			continue // refused at once
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFlooder(t, answer[0], answer[1][:1], 20*time.Millisecond)
			p := New(Options{Metrics: metrics.New("d"), IDHeader: "Id"})
			defer p.Close()
			_, failure := f.call(p, Call{Until: time.Now().Add(300 * time.Millisecond)})
			is.True(failure != nil)
			is.Equal(failure.Verdict, verdict.MayHaveRun)
			f.awaitEnd(t)
		})
	}
}

// TestBytesBehindAnAnswerEndItsConnection checks that bytes without end behind a whole answer
// neither spoil the answer nor keep the connection.
func TestBytesBehindAnAnswerEndItsConnection(t *testing.T) {
	is := is.New(t)
	f := startFlooder(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "more", 0)
	p := New(Options{Metrics: metrics.New("d"), IdleLife: time.Nanosecond})
	answer, failure := f.call(p, Call{})
	if failure != nil {
		t.Fatal(failure)
	}
	is.Equal(string(answer.Body()), "whole")
	answer.Close()
	p.Sweep()
	f.awaitEnd(t)
}

// TestLargeAnswersArriveWhole checks the seams of a body that is held in segments.
func TestLargeAnswersArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstSegment - 1, firstSegment, firstSegment + 1, maxSegment, 3*maxSegment + 7, 1 << 20} {
		body := strings.Repeat("0123456789", size/10+1)[:size]
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + body,
			chunkedHead + strconv.FormatInt(int64(size), 16) + "\r\n" + body + "\r\n0\r\n\r\n",
		} {
			if size == 0 && strings.HasPrefix(head, chunkedHead) {
				continue
			}
			is := is.New(t)
			f := startFlooder(t, head, "", 0)
			p := New(Options{Metrics: metrics.New("d"), MaxBodyBytes: 1 << 20, IdleLife: time.Minute, Budget: bytebudget.New(4<<20, nil)})
			answer, failure := f.call(p, Call{})
			if failure != nil {
				t.Fatal(failure)
			}
			is.Equal(string(answer.Body()), body)
			is.Equal(len(joined(answer.Segments())), size)
			answer.Close()
			is.Equal(p.opts.Budget.Held(), int64(0))
			p.Close()
			f.awaitEnd(t)
		}
	}
}

// TestEightAnswersWithoutEndStayWithinTheBudget guards against a daemon that is killed for
// its memory by endpoints whose answers never end.
func TestEightAnswersWithoutEndStayWithinTheBudget(t *testing.T) {
	const smallHostMB = 112
	defer debug.SetGCPercent(debug.SetGCPercent(50))
	is := is.New(t)
	budget := bytebudget.New(bytebudget.LimitFor(smallHostMB), nil)
	f := startFlooder(t, chunkedHead, chunk, 0)
	p := New(Options{Metrics: metrics.New("d"), Budget: budget})
	peak := watchHeap()
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() {
			if answer, failure := f.call(p, Call{}); failure == nil {
				answer.Close()
				t.Error("an answer without end counts as whole")
			}
		})
	}
	calls.Wait()
	grown := peak()
	f.awaitEnd(t)
	t.Logf("heap grown by %.1f MB at most, held %.1f MB at most", float64(grown)/1e6, float64(budget.Most())/1e6)
	is.Equal(budget.Held(), int64(0))
	is.True(budget.Most() <= bytebudget.LimitFor(smallHostMB))
	// Answers that were given up stay until a collection, which begins when the heap has
	// grown by half; more is allocated while it runs.
	is.True(grown < 2*bytebudget.LimitFor(smallHostMB))
}

// watchHeap samples the heap until the returned function is called, which returns by how
// many bytes it grew at most.
func watchHeap() (stop func() int64) {
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	end, done := make(chan struct{}), make(chan int64)
	go func() {
		most := before.HeapAlloc
		for {
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc)
			select {
			case <-end:
				done <- int64(most - before.HeapAlloc)
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return func() int64 { close(end); return <-done }
}
