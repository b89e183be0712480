package client_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
)

// TestAResponseWithoutEndIsEnded checks that bytes without end, in a head or a body, end each call
// with an error after some of them, and its connection.
func TestAResponseWithoutEndIsEnded(t *testing.T) {
	const limit = 1 << 20
	block := strings.Repeat("x", 16<<10)
	chunk := "4000\r\n" + block + "\r\n"
	responses := map[string][2]string{
		"status line":     {"HTTP/1.1 200 ", block},
		"fields":          {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"interim answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"no HTTP":         {"", block},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
		"unframed":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", block},
		"error":           {"HTTP/1.1 500 Oops\r\nTransfer-Encoding: chunked\r\n\r\n", chunk},
	}
	for name, call := range clientCalls {
		for form, response := range responses {
			t.Run(name+","+form, func(t *testing.T) {
				is := is.New(t)
				ended := make(chan int, 1)
				s := newScriptedServer(t, func(conn net.Conn) {
					sent, _ := io.WriteString(conn, response[0])
					for {
						n, err := io.WriteString(conn, response[1])
						sent += n
						if err != nil {
							ended <- sent
							return
						}
					}
				})
				err := call(t, s.address, client.Options{Timeout: testTimeout, DialTimeout: time.Second, MaxResponseBytes: limit})
				is.True(err != nil)
				is.True(verdict.Of(err) != verdict.NotRun)
				is.True(<-ended <= limit+(16<<20)) // what the sockets hold
			})
		}
	}
}
