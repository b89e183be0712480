package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// fuzzConn is a connection that ignores deadlines and Close.
type fuzzConn struct{ net.Conn }

// SetReadDeadline implements net.Conn.
func (fuzzConn) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (fuzzConn) Close() error { return nil }

// FuzzStream checks that for any response of an engine to an order the stream ends:
// with io.EOF only after a finish, and otherwise with an error whose verdict is not
// NotRun.
func FuzzStream(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Endpoint-Incarnation: 4\r\n"
	events := "data: {\"request\":\"a\",\"seq\":1,\"text\":\"x\"}\n\n: comment\n\ndata:{\"seq\":2,\"finish\":\"stop\"}\n\n"
	f.Add([]byte(head + "Connection: close\r\n\r\n" + events))
	f.Add([]byte(head + "Transfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n0\r\n\r\n"))
	f.Add([]byte(head + "Content-Length: 9999\r\n\r\ndata: {"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 409\r\nX-Endpoint-Incarnation: -1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &dedicatedExchange{
			ctx: context.Background(), address: "a", operation: "w", conn: netconn.New(fuzzConn{}),
			reader: bufio.NewReader(bytes.NewReader(data)), resp: fasthttp.AcquireResponse(),
			stop: func() bool { return true }, release: func() {},
		}
		d.resp.StreamBody = true
		if err := d.resp.ReadLimitBody(d.reader, 0); err != nil {
			checkVerdict(t, d.classifyError(err))
			return
		}
		s := newStream(d, time.Second)
		defer s.Close()
		finished := false
		for range len(data) + 2 {
			event, err := s.Next()
			if errors.Is(err, io.EOF) && finished {
				return
			}
			if err != nil {
				checkVerdict(t, err)
				return
			}
			finished = event.Finish != ""
		}
		t.Fatal("the stream does not end")
	})
}

func checkVerdict(t *testing.T, err error) {
	var verr *verdict.Error
	if !errors.As(err, &verr) || verr.Verdict == verdict.NotRun {
		t.Fatalf("error %v", err)
	}
}

// FuzzReply checks that any reply of the platform or an endpoint is decoded or
// rejected, and that an error has the verdict NotRun only if the reply states it.
func FuzzReply(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"applied\":true,\"versions\":[1]}"))
	f.Add([]byte("HTTP/1.1 503 X\r\nX-Not-Run: true\r\nRetry-After: -5\r\nContent-Length: 21\r\n\r\n{\"code\":\"overloaded\"}"))
	f.Add([]byte("HTTP/1.1 500 X\r\nRetry-After: 99999999999999999999\r\nContent-Length: 2\r\n\r\n[]"))
	f.Add([]byte("HTTP/1.1 429 X\r\nContent-Length: 32\r\n\r\n{\"retry_after_ms\":-9223372036854}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		if resp.ReadLimitBody(bufio.NewReader(bytes.NewReader(data)), 1<<16) != nil {
			return
		}
		for _, out := range []any{
			&wire.TransactionResult{}, &wire.ReadResponse{}, &wire.LoadReport{}, &wire.RequestList{}, &wire.CacheEvents{},
			&wire.OrderResponse{}, &wire.HostList{}, &wire.WeightGrant{}, &wire.PrefillResponse{}, &wire.CancelResponse{},
		} {
			if err := decodeBody("a", "w", resp.Body(), out); err != nil {
				checkVerdict(t, err)
			}
		}
		var verr *verdict.Error
		if !errors.As(statusError("a", "w", resp, resp.Body()), &verr) || verr.RetryAfter < 0 {
			t.Fatalf("status error %v", verr)
		}
		if verr.Verdict == verdict.NotRun && !reportsNotRun(resp) {
			t.Fatalf("%v without the header of a call that was not run", verr)
		}
		plainResponse(resp)
	})
}
