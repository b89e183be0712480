package daemoncmd

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/cli/exit"
	"github.com/samphirequay/samphirequay/daemon/gateway"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// signalBound ends a test that would otherwise hang.
const signalBound = 30 * time.Second

// output collects what a daemon writes. It is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) has(event string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.text.String(), "event="+event+" ")
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(signalBound); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

// platformSettings returns the settings of a daemon that stops as soon as nobody needs it.
func platformSettings(t *testing.T, store string) *gateway.Settings {
	t.Helper()
	ports := platformtest.NewPorts(15000, 20000)
	address := func() string {
		free, err := ports.Free()
		if err != nil {
			t.Fatal(err)
		}
		return free
	}
	return &gateway.Settings{
		Daemon: "d1", Domain: "north", Store: store, FirstStart: true, MemoryMB: 128,
		Listen: gateway.Listen{Callers: address(), Ready: address(), Entry: address(), Peers: address(), Metrics: address()},
		Log:    settings.Log{Level: "info"},
		Bounds: gateway.Bounds{GraceS: 10, EntryLifetimeS: 0.2, LeaseMS: 300, RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindowS: 10},
	}
}

// TestARepeatedSIGTERMDoesNotEndAPlannedStop guards against a supervisor that sends SIGTERM twice:
// the second one ended the process at once, in the middle of the answers that the stop waits for.
// The failure ends the test's process.
func TestARepeatedSIGTERMDoesNotEndAPlannedStop(t *testing.T) {
	is := is.New(t)
	store, err := platformtest.StartStore()
	is.NoErr(err)
	defer store.Close()
	store.Configure(platformtest.Config(5, []any{}, []any{}, []any{}))
	set := platformSettings(t, store.Address())
	encoded, err := json.Marshal(set)
	is.NoErr(err)
	path := writeSettings(t, string(encoded))
	out, code := &output{}, make(chan int, 1)
	go func() { code <- Main([]string{"platform", "--settings", path}, out, out) }()
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(out.text.String())
		}
	})
	eventually(t, "the daemon is ready", func() bool { return platformtest.Ready(context.Background(), set.Listen.Ready) })
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	eventually(t, "the stop has begun", func() bool { return out.has("daemon_leaving") })
	for range 3 {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	}
	select {
	case got := <-code:
		is.Equal(got, exit.OK)
	case <-time.After(signalBound):
		t.Fatal("the daemon did not stop")
	}
	is.True(out.has("daemon_closing"))
}
