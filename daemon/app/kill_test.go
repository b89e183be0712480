package app

import (
	"bufio"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/standin"
)

// linesAfterKill is how much of the stream is read while its connection is
// held open: two lines to an event and an empty one.
const linesAfterKill = 60

// TestKilledDaemonTellsItsCallersNothing kills a daemon in the midst of a
// stream and holds back the breaking of its connection: the caller must not be
// told of an error, which a process that dies can't do and which would keep it
// from resuming, but see the connection break.
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
	told := false
	for range linesAfterKill {
		told = told || !lines.Scan() || strings.HasPrefix(lines.Text(), "event: error")
	}
	d.connections.mu.Unlock()
	is.True(!told)
	for lines.Scan() {
		is.True(!strings.HasPrefix(lines.Text(), "event: error"))
	}
	is.True(lines.Err() != nil) // it broke
	<-killed
}
