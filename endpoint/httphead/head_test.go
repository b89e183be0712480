package httphead

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// soundHeads are heads of sound servers, without the framing of their body and the empty line.
var soundHeads = map[string]string{
	"plain":                     "HTTP/1.1 200 OK\r\nId: a\r\n",
	"no fields":                 "HTTP/1.1 200 OK\r\n",
	"no reason":                 "HTTP/1.1 200 \r\nId: a\r\n",
	"no blank behind a status":  "HTTP/1.1 200\r\nId: a\r\n",
	"a long reason":             "HTTP/1.1 200 All is well (\xc3\xa9)\r\nId: a\r\n",
	"HTTP/1.0":                  "HTTP/1.0 200 OK\r\nId: a\r\n",
	"an interim answer":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n",
	"several interim answers":   "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 \r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n",
	"the largest status":        "HTTP/1.1 599 Last\r\nId: a\r\n",
	"a status without a phrase": "HTTP/1.1 299 \r\n",
	"upper case":                "HTTP/1.1 200 OK\r\nID: a\r\nCONNECTION: CLOSE\r\n",
	"no blank behind a colon":   "HTTP/1.1 200 OK\r\nId:a\r\n",
	"blanks around values":      "HTTP/1.1 200 OK\r\nId: \t a \t \r\n",
	"empty values":              "HTTP/1.1 200 OK\r\nId:\r\nOther: \r\n",
	"a field twice":             "HTTP/1.1 200 OK\r\nVia: a\r\nVia: b\r\n",
	"all kinds of name":         "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: a\r\n",
	"all kinds of value":        "HTTP/1.1 200 OK\r\nId: a:b;c=\"\\d\" \x80\xff\tå\r\n",
}

// malformedHeads are no heads, by the rule that they break.
var malformedHeads = map[Rule][]string{
	RuleStatusLine: {
		"HTTP/1.1\r\n", "HTTP/1.1 \r\n", "HTTP/1.1 20\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 2x0 OK\r\n", "HTTP/1.1 +20 OK\r\n",
		"200 OK\r\n", "http/1.1 200 OK\r\n", "ICY 200 OK\r\n", "GET / HTTP/1.1\r\n", "SSH-2.0-server\r\n", "<html>a longer line</html>\r\n",
		"HTTP/1.1 200OK\r\n", "\r\nHTTP/1.1 200 OK\r\n", " HTTP/1.1 200 OK\r\n", "bodyHTTP/1.1 200 OK\r\n", "HTTP/1.1  200 OK\r\n",
		"HTTP/1.1 103 Early\r\n\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200\tOK\r\n", "HTTP/1.1\t200 OK\r\n",
	},
	RuleStatus: {
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 000\r\n", "HTTP/1.0 000 \r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 OK\r\n",
	},
	RuleLineEnd: {
		"HTTP/1.1 200 OK\nId: a\r\n", "HTTP/1.1 200 OK\r\nId: a\n", "HTTP/1.1 200 OK\r\nId: a\r\n\n", "HTTP/1.1 200 OK\r\n\nId: a\r\n", "HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200 OK\r\n\nId: a\r\n", "\nHTTP/1.1 200 OK\r\n",
	},
	RuleFolding: {
		"HTTP/1.1 200 OK\r\nId: a\r\n b\r\n", "HTTP/1.1 200 OK\r\nId:\r\n\ta\r\n", "HTTP/1.1 200 OK\r\n Id: a\r\n", "HTTP/1.1 200 OK\r\nId: a\r\n \r\n",
	},
	RuleFieldName: {
		"HTTP/1.1 200 OK\r\nSome Field: a\r\n", "HTTP/1.1 200 OK\r\nId : a\r\n", "HTTP/1.1 200 OK\r\nId\t: a\r\n", "HTTP/1.1 200 OK\r\nId: a\r\n: b\r\n",
		"HTTP/1.1 200 OK\r\nId\r\n", "HTTP/1.1 200 OK\r\n\xc3\xa9: a\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n", "HTTP/1.1 200 OK\r\n{\"a\": 1}\r\n",
		"HTTP/1.1 103 Early\r\nId : a\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n",
	},
	RuleVersion: {
		"HTTP/1.2 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.x 200 OK\r\n",
	},
	RuleFraming: {
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n", "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nCONTENT-LENGTH: 4\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n",
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 103 Early\r\nContent-Length: 4\r\n\r\nHTTP/1.1 200 OK\r\n",
	},
	RuleFieldValue: {
		"HTTP/1.1 200 OK\r\nId: \x00a\r\n", "HTTP/1.1 200 OK\r\nId: a\x7f\r\n", "HTTP/1.1 200 OK\r\nId: a\rb\r\n", "HTTP/1.1 200 OK\r\nId: a\r\r\n",
		"HTTP/1.1 200 O\x1bK\r\nId: a\r\n", "HTTP/1.1 200 OK\r\r\nId: a\r\n",
	},
	RuleSize: {"HTTP/1.1 200 OK\r\nId: " + strings.Repeat("a", 8<<10) + "\r\n"},
}

// readers read a response as the clients that use the package do.
var readers = map[string]func(text string) (body string, resp *fasthttp.Response, err error){
	"whole": func(text string) (string, *fasthttp.Response, error) { return readOwn(strings.NewReader(text)) },
	"byte by byte": func(text string) (string, *fasthttp.Response, error) {
		return readOwn(iotest.OneByteReader(strings.NewReader(text)))
	},
	"by the library": readByLibrary,
}

func readOwn(from io.Reader) (string, *fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	if err := ReadResponse(bufio.NewReader(from), resp); err != nil {
		return "", nil, err
	}
	if resp.BodyStream() == nil {
		return "", resp, nil
	}
	body, err := io.ReadAll(resp.BodyStream())
	return string(body), resp, err
}

// textConn is a connection whose peer sends a text and ends.
type textConn struct {
	net.Conn
	text io.Reader
}

// Read implements net.Conn.
func (c textConn) Read(b []byte) (int, error) { return c.text.Read(b) }

// Write implements net.Conn.
func (textConn) Write(b []byte) (int, error) { return len(b), nil }

// readByLibrary reads a response as a client of the library does.
func readByLibrary(text string) (string, *fasthttp.Response, error) {
	var malformed error
	c := NewConn(textConn{text: strings.NewReader(text)}, func(err error) { malformed = err })
	if _, err := c.Write([]byte("a request")); err != nil {
		return "", nil, err
	}
	resp := &fasthttp.Response{}
	if err := resp.Read(bufio.NewReader(c)); err != nil {
		return "", nil, cmp.Or(malformed, err)
	}
	return string(resp.Body()), resp, nil
}

// ends are the ends of a head with a body.
var ends = map[string]string{
	"length":   "Content-Length: 4\r\n\r\nbody",
	"unframed": "\r\nbody",
}

// TestSoundHeadsAreRead guards against a sound server whose heads are unusual and refused.
func TestSoundHeadsAreRead(t *testing.T) {
	for reader, read := range readers {
		for name, head := range soundHeads {
			for framing, end := range ends {
				t.Run(reader+","+name+","+framing, func(t *testing.T) {
					is := is.New(t)
					body, _, err := read(head + end)
					is.NoErr(err)
					is.Equal(body, "body")
				})
			}
		}
	}
}

// TestSoundFramingsAreRead checks the framings of bodies, and statuses without one.
func TestSoundFramingsAreRead(t *testing.T) {
	answers := map[string]string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n":                        "body",
		"HTTP/1.1 200 OK\r\ntransfer-encoding:Chunked \r\n\r\n4;a=b\r\nbody\r\n0\r\nSum: a\r\n\r\n":          "body",
		"HTTP/1.1 200 OK\r\nContent-Length: 0004\r\n\r\nbody":                                                "body",
		"HTTP/1.1 200 OK\r\nCONTENT-LENGTH:4\r\n\r\nbody":                                                    "body",
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody":                                                   "body",
		"HTTP/1.1 204 No Content\r\n\r\n":                                                                    "",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n":                                               "",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n":                                             "",
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody": "body",
	}
	for reader, read := range readers {
		for answer, want := range answers {
			body, _, err := read(answer)
			if err != nil || body != want {
				t.Errorf("%s: %q: %q, %v", reader, answer, body, err)
			}
		}
	}
}

// TestMalformedHeadsAreRefused checks each rule.
func TestMalformedHeadsAreRefused(t *testing.T) {
	for reader, read := range readers {
		for rule, heads := range malformedHeads {
			for _, head := range heads {
				for framing, end := range ends {
					_, _, err := read(head + end)
					if got, ok := RuleOf(err); !ok || got != rule {
						t.Errorf("%s, %s: %q: %v and not %s", reader, framing, head[:min(len(head), 80)], err, rule)
					}
				}
			}
		}
	}
}

// TestAHeadThatEndsEarlyIsNone checks each cut: only where no byte came the error is io.EOF,
// by which a reader knows a connection that was closed while it was idle.
func TestAHeadThatEndsEarlyIsNone(t *testing.T) {
	is := is.New(t)
	for _, head := range soundHeads {
		text := head + "Content-Length: 0\r\n\r\n"
		for cut := range len(text) {
			_, _, err := readOwn(strings.NewReader(text[:cut]))
			is.True(err != nil)
			if cut == 0 {
				is.Equal(err, io.EOF)
			}
		}
	}
}

// TestErrorsAreBounded checks that an error quotes what was sent, and not much of it.
func TestErrorsAreBounded(t *testing.T) {
	is := is.New(t)
	_, _, err := readOwn(strings.NewReader("\x00\x1b[2J" + strings.Repeat("\xff", 1<<10) + "\r\n\r\n"))
	is.True(err != nil)
	is.True(len(err.Error()) < 4*maxShown+100)
	is.True(strings.Contains(err.Error(), `\x00\x1b[2J\xff`))
}

// TestInterimResponsesWithoutEndAreRefused guards against a server that never answers.
func TestInterimResponsesWithoutEndAreRefused(t *testing.T) {
	_, _, err := readOwn(strings.NewReader(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim+1) + "HTTP/1.1 200 OK\r\n\r\n"))
	rule, _ := RuleOf(err)
	is.New(t).Equal(rule, RuleInterim)
}

// TestAByteOfANameIsOneOfATokenOrNone checks each byte at the beginning of a name, within, and
// at its end.
func TestAByteOfANameIsOneOfATokenOrNone(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for b := range 256 {
		for _, name := range []string{string([]byte{byte(b)}) + "Field", "Fi" + string([]byte{byte(b)}) + "eld", "Field" + string([]byte{byte(b)})} {
			isName := strings.IndexByte(token, byte(b)) >= 0
			for reader, read := range readers {
				_, _, err := read("HTTP/1.1 200 OK\r\nId: a\r\n" + name + ": b\r\nContent-Length: 0\r\n\r\n")
				if isName != (err == nil) && b != ':' {
					t.Errorf("%s, %q: %v", reader, name, err)
				}
			}
		}
	}
}
