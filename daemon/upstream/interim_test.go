package upstream

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAnInterimAnswerIsNeverTheAnswer guards against an endpoint that breaks off behind an
// interim answer which bears all that an answer needs.
func TestAnInterimAnswerIsNeverTheAnswer(t *testing.T) {
	r := startReciter(t)
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := w.pool(t)
			for _, status := range []string{"100 Continue", "101 Switching Protocols", "102 Processing", "103 Early Hints", "199 Other", "099 None"} {
				interim := strings.Replace(ownHead, "200 OK", status, 1)
				for _, framing := range []string{"\r\n", "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
					got := w.ask(t, p, r, interim+framing)
					is.True(!got.whole) // status and framing
				}
			}
		})
	}
}
