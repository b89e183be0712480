package upstream

import (
	"strings"
	"testing"

	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	ownHead   = "HTTP/1.1 200 OK\r\nId: mine\r\nStamp: stamp.a\r\nContent-Type: text/plain\r\n"
	otherHead = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: stamp.b\r\n"
	interims  = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nId: mine\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// framedAnswer is a whole answer.
type framedAnswer struct {
	text, body string
	// unframed is set if only the end of the connection ends the body.
	unframed bool
}

// framedAnswers are answers of all framings.
var framedAnswers = map[string]framedAnswer{
	"length":           {text: ownHead + "Content-Length: 12\r\n\r\nanswer of me", body: "answer of me"},
	"chunks":           {text: ownHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n6\r\n of me\r\n0\r\n\r\n", body: "answer of me"},
	"extensions":       {text: ownHead + "Transfer-Encoding: chunked\r\n\r\n6;a=b\r\nanswer\r\n06;c\r\n of me\r\n0;last=1\r\n\r\n", body: "answer of me"},
	"trailers":         {text: ownHead + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\nc\r\nanswer of me\r\n0\r\nSum: abc\r\nMore: d\r\n\r\n", body: "answer of me"},
	"empty length":     {text: ownHead + "Content-Length: 0\r\n\r\n"},
	"no content":       {text: "HTTP/1.1 204 No Content\r\nId: mine\r\nStamp: stamp.a\r\n\r\n"},
	"behind interims":  {text: interims + ownHead + "Content-Length: 12\r\n\r\nanswer of me", body: "answer of me"},
	"behind another's": {text: otherHead + "Content-Length: 5\r\n\r\nother" + ownHead + "Content-Length: 12\r\n\r\nanswer of me", body: "answer of me"},
	"unframed":         {text: ownHead + "\r\nanswer of me", body: "answer of me", unframed: true},
}

// TestAnAnswerCutAtAnyByteIsNeverWhole guards against an answer whose head or framing broke
// off reaching its caller as a whole one.
func TestAnAnswerCutAtAnyByteIsNeverWhole(t *testing.T) {
	r := startReciter(t)
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			p := w.pool(t)
			for framing, a := range framedAnswers {
				for cut := range len(a.text) {
					checkCut(t, framing, a, cut, w.ask(t, p, r, a.text[:cut]))
				}
				got := w.ask(t, p, r, a.text)
				if wantWhole := !a.unframed || !w.resets; got.whole != wantWhole || wantWhole && got.body != a.body {
					t.Errorf("%s, not cut: %+v", framing, got)
				}
			}
		})
	}
}

// checkCut checks what became of an answer of which only the first bytes came. What is cut
// behind the head of an unframed one can't be told from a whole one.
func checkCut(t *testing.T, framing string, a framedAnswer, cut int, got received) {
	t.Helper()
	where := a.text[:cut]
	switch inBody := a.unframed && cut >= len(a.text)-len(a.body); {
	case got.failure != nil && got.failure.Verdict != verdict.MayHaveRun:
		t.Errorf("%s: verdict %s behind %q", framing, got.failure.Verdict, where)
	case got.whole && !inBody:
		t.Errorf("%s: whole behind %q: status %d, body %q", framing, where, got.status, got.body)
	case got.whole && got.framed:
		t.Errorf("%s: framed behind %q", framing, where)
	}
}

// TestTheRestOfAHeadIsNeverAFramedAnswer checks heads that broke off and were ended all the
// same: none is whole and framed. What is left may be the head of an unframed answer, whose
// users must not take an empty body for a whole one.
func TestTheRestOfAHeadIsNeverAFramedAnswer(t *testing.T) {
	r := startReciter(t)
	heads := map[string]string{
		"length": ownHead + "Content-Length: 12",
		"chunks": ownHead + "Transfer-Encoding: chunked",
	}
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			p := w.pool(t)
			for framing, head := range heads {
				for cut := range len(head) + 1 {
					left := strings.TrimSuffix(head[:cut], "\r\n") + "\r\n\r\n"
					if got := w.ask(t, p, r, left); got.whole && (got.framed || got.body != "") {
						t.Errorf("%s: whole behind %q: status %d, body %q", framing, left, got.status, got.body)
					}
				}
			}
		})
	}
}
