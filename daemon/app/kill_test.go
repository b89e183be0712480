package app

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/platform/standin"
)

const (
	// streams that are cut; the site has slots for 36.
	streams = 32
	// idleConnections is below the bound for one IP number.
	idleConnections = 900
)

// TestKilledDaemonTellsItsCallersNothing kills a daemon in the midst of
// streams: their callers must see broken connections, as when a process dies,
// and no error event that would keep them from resuming.
func TestKilledDaemonTellsItsCallersNothing(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, standin.Bunker(), nil)
	f.slowTokens(4)
	// Many connections take long to break, so that a daemon which ended its
	// requests before would still get word through to some caller.
	for range idleConnections {
		conn, err := net.Dial("tcp", f.daemons[0].CallerAddr())
		is.NoErr(err)
		defer conn.Close()
	}
	told := make(chan string, streams)
	for i := range streams {
		resp := f.startStream(f.daemons[0], fmt.Sprintf("packet %d", i), 500)
		go func() {
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			if err == nil {
				text = append(text, "the stream ended without a break"...)
			}
			told <- string(text)
		}()
	}
	f.daemons[0].Kill()
	for range streams {
		text := <-told
		is.True(!strings.Contains(text, "event: error"))
		is.True(!strings.Contains(text, "without a break"))
	}
}
