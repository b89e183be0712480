package app

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/standin"
)

// linesAfterKill is how many lines of the stream are read while its connection is
// kept open. An event has two lines and an empty one.
const linesAfterKill = 60

// TestKilledDaemonSendsNoErrorEvent kills a daemon during a stream and delays the
// reset of its connection. A crashed process can send no error event, and a caller
// that receives one does not resume, so the caller must only see the connection
// break.
func TestKilledDaemonSendsNoErrorEvent(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, standin.Bunker(), nil)
	d := f.daemons[0]
	resp := f.startStream(d, "packet", 500)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)

	d.connections.mu.Lock()
	killed := make(chan struct{})
	go func() {
		defer close(killed)
		d.Kill()
	}()
	f.waitFor("the kill has begun", func() bool {
		conn, err := net.Dial("tcp", d.CallerAddr())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	failed := false
	for range linesAfterKill {
		failed = failed || !lines.Scan() || strings.HasPrefix(lines.Text(), "event: error")
	}
	d.connections.mu.Unlock()
	is.True(!failed)
	for lines.Scan() {
		is.True(!strings.HasPrefix(lines.Text(), "event: error"))
	}
	is.True(lines.Err() != nil) // the connection broke
	<-killed
}
