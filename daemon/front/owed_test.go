package front

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// TestAnAnswerThatIsBeingReadIsOwed guards against a planned stop that cuts an answer whose
// request has been served and whose caller reads slowly.
func TestAnAnswerThatIsBeingReadIsOwed(t *testing.T) {
	is := is.New(t)
	s := New(Deps{Metrics: metrics.New("d1"), OverLimit: func(net.Conn) bool { return false }})
	s.http.NoDefaultDate = true
	// A pipe holds nothing back: the answer is written as its caller reads it.
	caller, served := net.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.http.ServeConn(served) // ends when the caller has gone
	}()
	_, err := io.WriteString(caller, "GET "+opapi.PathHealth+" HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	from := bufio.NewReaderSize(caller, 16)
	_, err = from.Peek(1)
	is.NoErr(err)
	is.Equal(s.InFlight(), 0)
	is.Equal(s.Owed(), 1)
	var resp fasthttp.Response
	is.NoErr(resp.Read(bufio.NewReader(from)))
	for end := time.Now().Add(30 * time.Second); s.Owed() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("an answer that was read is still owed")
		}
	}
	is.NoErr(caller.Close())
	<-ended
}
