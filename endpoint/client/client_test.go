package client_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
	"github.com/valyala/fasthttp"
)

// testTimeout bounds every wait of a test; no test relies on its expiry.
const testTimeout = 20 * time.Second

// scriptedServer is a server that reads one request on each connection, sends its
// request line to requests and then calls a function of the test.
type scriptedServer struct {
	address  string
	requests chan string
}

// newScriptedServer starts a server. It calls reply with each connection after the
// request was read, and closes the connection when reply returns.
func newScriptedServer(t *testing.T, reply func(net.Conn)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{address: listener.Addr().String(), requests: make(chan string, 64)}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				defer func() { _ = conn.Close() }()
				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) != nil {
					return
				}
				s.requests <- string(req.Header.Method()) + " " + string(req.Header.RequestURI())
				reply(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		running.Wait()
	})
	return s
}

// awaitClose keeps a connection open until the peer closes it.
func awaitClose(conn net.Conn) {
	var one [1]byte
	_, _ = conn.Read(one[:])
}

// TestCallsAreSentOnce checks for each method that a call is not repeated when the
// server runs it and closes the connection without a reply.
func TestCallsAreSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "POST", "DELETE"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			service, address := newDisconnectingService(t)
			_, err := client.NewPlain(address, client.Options{}).Call(context.Background(), client.PlainRequest{
				Method: method, Path: "/stems", Headers: []client.Header{{Name: wire.HeaderIdempotencyKey, Value: "k"}},
			})
			is.Equal(verdict.Of(err), verdict.MayHaveRun)
			is.Equal(service.Counters().Keys, []standin.Runs{{Name: "k", Runs: 1}})
		})
	}
}

// TestLibraryDefaultRetries shows that TestCallsAreSentOnce can fail: with its
// defaults the library repeats a GET.
func TestLibraryDefaultRetries(t *testing.T) {
	is := is.New(t)
	service, address := newDisconnectingService(t)
	err := (&fasthttp.HostClient{Addr: address}).Do(getRequest(address), &fasthttp.Response{})
	is.True(err != nil)
	is.True(service.Counters().Keys[0].Runs > 1)
}

// getRequest returns a GET request with an idempotency key.
func getRequest(address string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + address + "/stems")
	req.Header.Set(wire.HeaderIdempotencyKey, "k")
	return req
}

// newDisconnectingService starts a service that runs every call and closes its
// connection without a reply.
func newDisconnectingService(t *testing.T) (*standin.PlainService, string) {
	t.Helper()
	service := standin.NewPlainService(standin.PlainConfig{WorkTime: 1})
	always := 1.0
	service.Inject(wire.Fault{LoseReplies: &always})
	server, err := service.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return service, server.Addr()
}

// TestTypedCallsAreSentOnce checks the same for calls on dedicated connections and
// for the typed calls.
func TestTypedCallsAreSentOnce(t *testing.T) {
	ctx := context.Background()
	timeouts := client.Timeouts{First: testTimeout, Idle: testTimeout}
	calls := map[string]func(address string) error{
		"prefill": func(a string) error {
			_, err := client.NewEngine(a, client.Options{}).Prefill(ctx, wire.PrefillRequest{})
			return err
		},
		"decode": func(a string) error {
			_, err := client.NewEngine(a, client.Options{}).Decode(ctx, wire.DecodeRequest{}, timeouts)
			return err
		},
		"resume": func(a string) error {
			_, err := client.NewEngine(a, client.Options{}).Resume(ctx, client.ResumeRequest{}, timeouts)
			return err
		},
		"load": func(a string) error {
			_, err := client.NewEngine(a, client.Options{}).Load(ctx)
			return err
		},
		"transact": func(a string) error {
			_, err := client.NewTable(a, client.Options{}).Transact(ctx, wire.Transaction{})
			return err
		},
		"put object": func(a string) error { return client.NewObjects(a, client.Options{}).Put(ctx, "o", nil) },
		"get object": func(a string) error {
			_, err := client.NewObjects(a, client.Options{}).Get(ctx, "o")
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedServer(t, func(net.Conn) {})
			is.Equal(verdict.Of(call(s.address)), verdict.MayHaveRun)
			is.Equal(len(s.requests), 1)
		})
	}
}

func TestPathIsSentUnchanged(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(conn net.Conn) { _, _ = conn.Write([]byte("HTTP/1.1 204 x\r\nConnection: close\r\n\r\n")) })
	plain := client.NewPlain(s.address, client.Options{})
	for _, path := range []string{"/a/../b//c?x=%2F&y", "//other/b", "/%61"} {
		response, err := plain.Call(context.Background(), client.PlainRequest{Method: "POST", Path: path})
		is.NoErr(err)
		is.Equal(response.Status, 204)
		is.Equal(<-s.requests, "POST "+path)
	}
	_, err := plain.Call(context.Background(), client.PlainRequest{Method: "POST", Path: "/a\r\nb"})
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(len(s.requests), 0)
}

func TestRefusedDialIsNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = client.NewPlain(address, client.Options{}).Call(context.Background(), client.PlainRequest{Method: "POST", Path: "/"})
	is.Equal(verdict.Of(err), verdict.NotRun)
	_, err = client.NewEngine(address, client.Options{}).Prefill(context.Background(), wire.PrefillRequest{})
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
}

func TestErrorStatusIsNotRunOnlyWithHeader(t *testing.T) {
	is := is.New(t)
	for header, want := range map[string]verdict.Verdict{"X-Not-Run: true\r\n": verdict.NotRun, "": verdict.MayHaveRun} {
		s := newScriptedServer(t, func(conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 x\r\n%sRetry-After: 2\r\nContent-Length: 0\r\n\r\n", header)
		})
		_, err := client.NewTable(s.address, client.Options{}).Read(context.Background(), wire.ReadRequest{})
		is.Equal(verdict.Of(err), want)
		is.Equal(verdict.As(err).RetryAfter, 2*time.Second)
		_, err = client.NewEngine(s.address, client.Options{}).Prefill(context.Background(), wire.PrefillRequest{})
		is.Equal(verdict.Of(err), want)
	}
}

func TestContextCancellationAbortsPrefill(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newScriptedServer(t, func(conn net.Conn) {
		awaitClose(conn)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := client.NewEngine(s.address, client.Options{}).Prefill(ctx, wire.PrefillRequest{})
		result <- err
	}()
	<-s.requests // the order was sent
	cancel()
	err := <-result
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(verdict.As(err).Code, verdict.CodeCallerGone)
	<-closed // the connection was aborted
	_, err = client.NewEngine(s.address, client.Options{}).Prefill(ctx, wire.PrefillRequest{})
	is.Equal(verdict.Of(err), verdict.NotRun) // ctx ended before anything was sent
	is.Equal(len(s.requests), 0)
}

// streamHead is the header of a response that streams events.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Endpoint-Incarnation: 77\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns an event in an HTTP chunk.
func chunk(seq int) string {
	event := fmt.Sprintf("id: %d\ndata: {\"request\":\"r\",\"seq\":%d,\"text\":\"t\"}\n\n", seq, seq)
	return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
}

func TestStalledStreamTimesOut(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(conn net.Conn) {
		_, _ = conn.Write([]byte(streamHead + chunk(1)))
		awaitClose(conn)
	})
	engine := client.NewEngine(s.address, client.Options{})
	stream, err := engine.Decode(context.Background(), wire.DecodeRequest{}, client.Timeouts{First: testTimeout, Idle: 50 * time.Millisecond})
	is.NoErr(err)
	defer stream.Close()
	is.Equal(stream.Incarnation(), uint64(77))
	event, err := stream.Next()
	is.NoErr(err)
	is.Equal(event.Seq, 1)
	_, err = stream.Next()
	is.Equal(verdict.As(err).Code, verdict.CodeDeadline)
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}

func TestCloseAbortsStream(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := newScriptedServer(t, func(conn net.Conn) {
		_, _ = conn.Write([]byte(streamHead + chunk(1)))
		awaitClose(conn)
		close(closed)
	})
	engine := client.NewEngine(s.address, client.Options{MaxConns: 1})
	timeouts := client.Timeouts{First: testTimeout, Idle: testTimeout}
	stream, err := engine.Decode(context.Background(), wire.DecodeRequest{}, timeouts)
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	_, err = engine.Decode(context.Background(), wire.DecodeRequest{}, timeouts)
	is.Equal(verdict.As(err).Code, verdict.CodeOverloaded) // the number of connections is bounded
	is.Equal(verdict.Of(err), verdict.NotRun)
	ended := make(chan error, 1)
	go func() {
		_, err := stream.Next()
		ended <- err
	}()
	stream.Close()
	is.Equal(verdict.Of(<-ended), verdict.MayHaveRun)
	<-closed
}

func TestTruncatedStreamIsAnError(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(conn net.Conn) { _, _ = conn.Write([]byte(streamHead + chunk(1) + "0\r\n\r\n")) })
	stream, err := client.NewEngine(s.address, client.Options{}).Decode(context.Background(), wire.DecodeRequest{}, client.Timeouts{First: testTimeout, Idle: testTimeout})
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.Next()
	is.NoErr(err)
	_, err = stream.Next() // the stream ended without a Finish
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}

func TestResponsesAreBoundedAndIncarnationsReported(t *testing.T) {
	is := is.New(t)
	s := newScriptedServer(t, func(conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Endpoint-Incarnation: 9\r\nContent-Length: 20\r\n\r\n{\"running\":12345678}")
	})
	var seen uint64
	options := client.Options{OnIncarnation: func(_ string, incarnation uint64) { seen = incarnation }}
	load, err := client.NewEngine(s.address, options).Load(context.Background())
	is.NoErr(err)
	is.Equal(load.Running, 12345678)
	is.Equal(seen, uint64(9))
	_, err = client.NewEngine(s.address, client.Options{MaxResponseBytes: 10}).Load(context.Background())
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}
