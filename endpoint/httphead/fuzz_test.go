package httphead

import (
	"bufio"
	"regexp"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// strictHead is a head by the grammar, without the rules of framing.
var strictHead = regexp.MustCompile(`\AHTTP/1\.[01] ([1-5][0-9][0-9])( [\t -~\x{80}-\x{ff}]*)?\r\n` +
	"([-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t -~\\x{80}-\\x{ff}]*\\r\\n)*" + `\r\n`)

// latin1 returns a text that has a rune for each byte.
func latin1(text string) string {
	var b strings.Builder
	for i := range len(text) {
		b.WriteRune(rune(text[i]))
	}
	return b.String()
}

// FuzzHead checks that what is read as a response begins with heads by the grammar, and that
// the library has read just these.
func FuzzHead(f *testing.F) {
	for _, head := range soundHeads {
		f.Add(head + "Content-Length: 4\r\n\r\nbody")
		f.Add(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	}
	for _, heads := range malformedHeads {
		for _, head := range heads {
			f.Add(head + "\r\nbody")
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := bufio.NewReaderSize(strings.NewReader(text), 4096)
		resp := &fasthttp.Response{SkipBody: true}
		if ReadResponse(r, resp) != nil {
			return
		}
		left := r.Buffered()
		rest, _ := r.Peek(left)
		all := text
		for {
			at := strictHead.FindStringSubmatchIndex(latin1(all))
			if at == nil {
				t.Fatalf("%q is read as a head", all)
			}
			wide := latin1(all)
			status, size := wide[at[2]:at[3]], len([]rune(wide[:at[1]]))
			all = all[size:]
			if status[0] != '1' {
				break
			}
		}
		if !strings.HasPrefix(all, string(rest)) {
			t.Fatalf("%q is left of %q, and not %q", rest, text, all)
		}
	})
}

// benchHead is the head of a usual answer.
const benchHead = "HTTP/1.1 200 OK\r\nId: 9c41d07be2a35f68\r\nStamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
	"Content-Type: application/json\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody"

// BenchmarkReadResponse measures the reading of a head; the library alone is the base.
func BenchmarkReadResponse(b *testing.B) {
	for name, read := range map[string]func(*bufio.Reader, *fasthttp.Response) error{
		"checked": ReadResponse,
		"library": func(r *bufio.Reader, resp *fasthttp.Response) error {
			resp.StreamBody = true
			return resp.ReadLimitBody(r, 0)
		},
	} {
		b.Run(name, func(b *testing.B) {
			text := strings.NewReader(benchHead)
			r := bufio.NewReader(text)
			resp := &fasthttp.Response{}
			for b.Loop() {
				text.Reset(benchHead)
				r.Reset(text)
				resp.Reset()
				if err := read(r, resp); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
