package client_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// malformedHeads are heads that the HTTP library takes for those of a response, up to the
// framing of the body.
var malformedHeads = map[string]string{
	"a status of 000":                       "HTTP/1.1 000 OK\r\n",
	"000 behind an interim response":        "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 OK\r\n",
	"a status that changes to another form": "HTTP/1.1 101 Switching Protocols\r\n",
	"a blank in a name":                     "HTTP/1.1 200 OK\r\nSome Field: a\r\n",
	"an empty line without CR":              "HTTP/1.1 200 OK\r\n\nSome-Field: a\r\n",
	"a folded line":                         "HTTP/1.1 200 OK\r\nSome-Field: a\r\n b\r\n",
	"another version":                       "HTTP/1.2 200 OK\r\n",
	"two lengths":                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
	"a blank behind a name":                 "HTTP/1.1 200 OK\r\nSome-Field : a\r\n",
}

// clientCalls are calls of each client.
var clientCalls = map[string]func(t *testing.T, address string, o client.Options) error{
	"plain": func(t *testing.T, address string, o client.Options) error {
		_, err := client.NewPlain(address, o).Call(t.Context(), client.PlainRequest{Method: fasthttp.MethodPost, Path: "/x"})
		return err
	},
	"table": func(t *testing.T, address string, o client.Options) error {
		_, err := client.NewTable(address, o).Read(t.Context(), wire.ReadRequest{})
		return err
	},
	"object": func(t *testing.T, address string, o client.Options) error {
		return client.NewObjects(address, o).Put(t.Context(), "a", []byte("b"))
	},
	"prefill": func(t *testing.T, address string, o client.Options) error {
		_, err := client.NewEngine(address, o).Prefill(t.Context(), wire.PrefillRequest{})
		return err
	},
	"stream": func(t *testing.T, address string, o client.Options) error {
		s, err := client.NewEngine(address, o).Decode(t.Context(), wire.DecodeRequest{}, client.Timeouts{First: testTimeout, Idle: testTimeout})
		if err != nil {
			return err
		}
		defer s.Close()
		_, err = s.Next()
		return err
	},
}

// TestAMalformedResponseIsNone guards against what is no response and is taken for one by the
// HTTP library, on each kind of connection.
func TestAMalformedResponseIsNone(t *testing.T) {
	const body = `data: {"finish":"stop"}` + "\n\n"
	framings := map[string]string{
		"length":   "Content-Length: 2\r\n\r\n{}",
		"chunks":   "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"unframed": "\r\n{}",
		"event":    "Content-Type: text/event-stream\r\n\r\n" + body,
	}
	for name, call := range clientCalls {
		for form, head := range malformedHeads {
			for framing, rest := range framings {
				t.Run(name+","+form+","+framing, func(t *testing.T) {
					is := is.New(t)
					s := newScriptedServer(t, func(conn net.Conn) { _, _ = conn.Write([]byte(head + rest)) })
					var malformed []string
					err := call(t, s.address, client.Options{
						Timeout: testTimeout, DialTimeout: time.Second,
						OnMalformed: func(address string, _ error) { malformed = append(malformed, address) },
					})
					is.True(err != nil)
					is.Equal(verdict.Of(err), verdict.MayHaveRun)
					is.Equal(malformed, []string{s.address})
				})
			}
		}
	}
}
