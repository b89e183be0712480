package forward

import (
	"context"
	"io"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// silentStream brings one event and is silent until it is interrupted or closed.
type silentStream struct {
	emptyStream
	event string
	once  sync.Once
	ended chan struct{}
}

func newSilentStream(event string) *silentStream {
	return &silentStream{event: event, ended: make(chan struct{})}
}

// Read implements io.Reader.
func (s *silentStream) Read(p []byte) (int, error) {
	if n := copy(p, s.event); n > 0 {
		s.event = s.event[n:]
		return n, nil
	}
	<-s.ended
	return 0, os.ErrDeadlineExceeded
}

// SetReadDeadline implements EventStream.
func (s *silentStream) SetReadDeadline(time.Time) error {
	s.once.Do(func() { close(s.ended) })
	return nil
}

// Close implements io.Closer.
func (s *silentStream) Close() error { return s.SetReadDeadline(time.Time{}) }

// silentEngines is silent at the first decode; the others answer with an empty stream after
// late.
type silentEngines struct {
	recordingEngines
	mu     sync.Mutex
	first  *silentStream
	late   time.Duration
	orders int
}

// Prefill implements Endpoints.
func (e *silentEngines) Prefill(context.Context, *Attempt) (KV, *verdict.Error) {
	return KV{Handle: "kv"}, nil
}

// Decode implements Endpoints.
func (e *silentEngines) Decode(context.Context, *Attempt, KV) (*Opened, *verdict.Error) {
	e.mu.Lock()
	e.orders++
	first := e.orders == 1
	e.mu.Unlock()
	if first {
		return &Opened{Status: 200, Events: e.first}, nil
	}
	time.Sleep(e.late)
	return &Opened{Status: 200, Events: emptyStream{}}, nil
}

// Reachable implements Endpoints.
func (e *silentEngines) Reachable(context.Context, registry.Endpoint) Reach { return Reached }

// lockedOwner is a staleOwner for a relay and its search; it refuses from the given pair on.
type lockedOwner struct {
	mu sync.Mutex
	staleOwner
	pairs, refuseFrom int
}

// Pair implements Pairer.
func (o *lockedOwner) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pairs++
	if o.refuseFrom > 0 && o.pairs >= o.refuseFrom {
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no engine is left")
	}
	return o.staleOwner.Pair(ctx, w, patience)
}

// Progress implements Pairer.
func (o *lockedOwner) Progress(p sched.Progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.staleOwner.Progress(p)
}

// newTakeoverTest returns a Forwarder whose streams may run twice.
func newTakeoverTest(t *testing.T, engines *silentEngines, owner *lockedOwner) (*Forwarder, *Request) {
	t.Helper()
	owner.prefills, owner.decodes = []id.Endpoint{"p1"}, []id.Endpoint{"d1", "d2"}
	f, r, _ := newStreamTest(t, &engines.recordingEngines, owner)
	f.Endpoints = engines
	rt := f.View().Routes.Match(r.Host, r.Path)
	rt.Resumable, rt.MaxAttempts = true, 2
	setVersions(f, map[id.Endpoint]id.Software{"d1": "v1", "d2": "v1"})
	return f, r
}

// TestASilentEngineIsGivenUpForOneThatAnswersLate checks that a stream goes on at an engine
// whose header takes longer than both may work. The end of that bound and the stream must not
// be ordered by anything but the time, for the race detector.
func TestASilentEngineIsGivenUpForOneThatAnswersLate(t *testing.T) {
	is := is.New(t)
	engines := &silentEngines{first: newSilentStream("id: 1\ndata: a\n\n"), late: maxOverlap + maxOverlap/3}
	f, r := newTakeoverTest(t, engines, &lockedOwner{})
	reply, err := f.Run(context.Background(), r)
	is.True(err == nil)
	body, readErr := io.ReadAll(reply.Events)
	is.NoErr(readErr)
	is.Equal(string(body), "id: 1\ndata: a\n\n")
	is.NoErr(reply.Events.Close())
}

// TestASearchWithoutAResultReturnsItsRetries guards against retries that stay taken while a
// silent engine is waited for: nobody uses them, and others are refused for want of them.
func TestASearchWithoutAResultReturnsItsRetries(t *testing.T) {
	is := is.New(t)
	engines := &silentEngines{first: newSilentStream("id: 1\ndata: a\n\n")}
	owner := &lockedOwner{refuseFrom: 2}
	f, r := newTakeoverTest(t, engines, owner)
	reply, err := f.Run(context.Background(), r)
	is.True(err == nil)
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.ReadAll(reply.Events)
	}()
	waitUntil(t, "the search is refused", func() bool { return owner.refused() })
	waitUntil(t, "its retries are returned", func() bool { return f.RetryWindows()["s"].Retries[0] == 0 })
	is.NoErr(engines.first.Close())
	<-read
	is.NoErr(reply.Events.Close())
}

// refused reports whether a pair was refused.
func (o *lockedOwner) refused() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.refuseFrom > 0 && o.pairs >= o.refuseFrom
}

// waitUntil waits until a condition holds; what describes it.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until: %s", what)
		}
	}
}
