package peer

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/keys"
)

const (
	kindNote Kind = iota + 1
	kindEcho
	kindFail
	kindHang
	kindPanic
)

// testBound fails a test that would otherwise hang; no result depends on it.
const testBound = 30 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent())
}

type received struct {
	from id.Daemon
	text string
}

// recorder is a Handler that records what it receives.
type recorder struct {
	notes     chan received
	datagrams chan received
	hanging   chan struct{}
	cancelled chan struct{}
}

func newRecorder() *recorder {
	return &recorder{
		notes:     make(chan received, 4096),
		datagrams: make(chan received, 64),
		hanging:   make(chan struct{}, 64),
		cancelled: make(chan struct{}, 64),
	}
}

func (r *recorder) HandleOneWay(from id.Daemon, _ Kind, body []byte) {
	r.notes <- received{from, decodeText(body)}
}

func (r *recorder) HandleDatagram(from id.Daemon, _ Kind, body []byte) {
	r.datagrams <- received{from, decodeText(body)}
}

func (r *recorder) HandleCall(ctx context.Context, _ id.Daemon, kind Kind, body []byte) ([]byte, error) {
	switch kind {
	case kindFail:
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "handler is overloaded").WithRetryAfter(time.Second)
	case kindHang:
		r.hanging <- struct{}{}
		<-ctx.Done()
		r.cancelled <- struct{}{}
		return nil, ctx.Err()
	case kindPanic:
		panic("broken handler")
	default:
		return body, nil
	}
}

func decodeText(body []byte) string {
	var text string
	if err := Decode(body, &text); err != nil {
		return err.Error()
	}
	return text
}

// fleet creates transports with certificates of one CA.
type fleet struct {
	t  testing.TB
	ca *keys.DevCA
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	ca, err := keys.NewDevCA(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{t: t, ca: ca}
}

func (f *fleet) listen(name id.Daemon, change func(*Config)) (*Transport, *recorder) {
	f.t.Helper()
	material, err := f.ca.Peer(name)
	if err != nil {
		f.t.Fatal(err)
	}
	handler := newRecorder()
	cfg := Config{
		Self:    id.Process{Daemon: name, Incarnation: 1},
		Listen:  "127.0.0.1:0",
		Keys:    keys.FromMaterial(material),
		Handler: handler,
	}
	if change != nil {
		change(&cfg)
	}
	transport, err := Listen(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(transport.Close)
	return transport, handler
}

func testContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
	t.Cleanup(cancel)
	return ctx
}

func next(t *testing.T, from chan received) received {
	t.Helper()
	select {
	case r := <-from:
		return r
	case <-time.After(testBound):
		t.Fatal("nothing received")
		return received{}
	}
}

// callUntilConnected calls the peer until a call succeeds; the connection may need
// several dials.
func callUntilConnected(t testing.TB, from *Transport, to id.Daemon) {
	t.Helper()
	ctx := testContext(t)
	for {
		var echo string
		err := from.Call(ctx, to, kindEcho, "up", &echo)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("%s could not reach %s: %v", from.Self(), to, err)
		}
	}
}

// waitDisconnected waits until the given number of the transport's connections have
// ended.
func waitDisconnected(t *testing.T, tr *Transport, ended int) {
	t.Helper()
	ctx := testContext(t)
	for ctx.Err() == nil {
		tr.mu.Lock()
		gone := tr.closedConns >= ended
		tr.mu.Unlock()
		if gone {
			return
		}
		pause(ctx, time.Millisecond)
	}
	t.Fatal("no connection ended")
}
