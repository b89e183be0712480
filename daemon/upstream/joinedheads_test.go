package upstream

import (
	"fmt"
	"testing"
)

// TestASecondHeadNeverCompletesTheFirst guards against a head that broke off and is read on
// in the head of an answer to another request, whose body it would be given.
func TestASecondHeadNeverCompletesTheFirst(t *testing.T) {
	r := startReciter(t)
	const head = ownHead + "Keep-Alive: timeout=5\r\nServer: one\r\n"
	others := map[string]string{
		"length":   otherHead + "Content-Length: 5\r\n\r\nother",
		"chunks":   otherHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n",
		"unframed": otherHead + "\r\nother",
		"empty":    otherHead + "Content-Length: 0\r\n\r\n",
	}
	for name, w := range ways {
		t.Run(name, func(t *testing.T) {
			p := w.pool(t)
			var wrong []string
			for framing, other := range others {
				for cut := range len(head) + 1 {
					if got := w.ask(t, p, r, head[:cut]+other); got.whole {
						wrong = append(wrong, fmt.Sprintf("%s behind %q: body %q", framing, head[:cut], got.body))
					}
				}
			}
			if len(wrong) > 0 {
				t.Errorf("%d of %d are whole, such as %s", len(wrong), len(others)*(len(head)+1), wrong[0])
			}
		})
	}
}
