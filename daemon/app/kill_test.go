package app

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/platform/standin"
)

// TestKilledDaemonTellsItsCallersNothing kills a daemon in the midst of
// streams: their callers must see broken connections, as when a process dies,
// and no error event that would keep them from resuming.
func TestKilledDaemonTellsItsCallersNothing(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 2, standin.Bunker(), nil)
	f.slowTokens(4)
	var bodies []io.ReadCloser
	for i := range 8 {
		resp := f.startStream(f.daemons[0], fmt.Sprintf("packet %d", i), 500)
		bodies = append(bodies, resp.Body)
	}
	f.daemons[0].Kill()
	for _, body := range bodies {
		text, err := io.ReadAll(body)
		is.True(err != nil) // the connection broke
		is.True(!strings.Contains(string(text), "event: error"))
		is.NoErr(body.Close())
	}
}
