package logline

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newLogger(t *testing.T, cfg Config) *Logger {
	t.Helper()
	cfg.Daemon = "kuryk-1"
	cfg.Now = func() time.Time { return testTime }
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestOneLinePerEvent(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := newLogger(t, Config{Output: &out})
	l.Event("granted", "id", "01J", "reason", "two words\nand a break", "wait", 5*time.Millisecond)
	l.Debug("hidden")
	l.Error("odd", "key_without_value")
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.Equal(lines[0], `ts=2026-01-02T03:04:05Z daemon=kuryk-1 level=info event=granted id=01J reason="two words\nand a break" wait=5ms`)
	is.True(strings.Contains(lines[1], "level=error"))
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	entered, release chan struct{}
	once             sync.Once
	lines            int
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.entered) })
	<-s.release
	s.lines++
	return len(p), nil
}

func TestBlockedOutputDropsLinesWithoutBlocking(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{entered: make(chan struct{}), release: make(chan struct{})}
	registry := metrics.New("d")
	l := newLogger(t, Config{Output: out, RingSize: 4, Registry: registry})
	l.Event("first")
	<-out.entered // the output blocks on the first line
	for i := range 10 {
		l.Event("more", "i", i)
	}
	is.Equal(l.Dropped(), uint64(6))
	is.Equal(registry.Get("ring_log_dropped").String(), "6")
	close(out.release)
	l.Close()
	is.Equal(out.lines, 5)
}

func TestUnknownLevelIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := New(Config{Output: &bytes.Buffer{}, Level: "loud"})
	is.True(err != nil)
}

func TestDecisionsAreLoggedAndFound(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := newLogger(t, Config{Output: &out})
	journal, err := NewJournal(100)
	is.NoErr(err)
	d := NewDecisions(l, journal)
	d.Decide(SubjectRequest, "01J", "paired", "prefill", "e1", "reason", "least loaded")
	d.Decide(SubjectRequest, "01J", "delivered", "tokens", 12)
	d.Decide(SubjectEndpoint, "01J", "ejected") // the same id, another subject
	l.Close()

	found := d.Find(SubjectRequest, "01J")
	is.Equal(len(found), 2)
	is.Equal(found[0], Decision{At: testTime, Subject: SubjectRequest, ID: "01J", Event: "paired", Text: `prefill=e1 reason="least loaded"`})
	is.Equal(found[1].Event, "delivered")
	is.Equal(len(d.Find(SubjectRequest, "other")), 0)
	is.True(strings.Contains(out.String(), `event=paired kind=request id=01J prefill=e1`))
}

func TestJournalIsBounded(t *testing.T) {
	is := is.New(t)
	const capacity = 200
	j, err := NewJournal(capacity)
	is.NoErr(err)
	for i := range 1000 {
		j.Add(Decision{Subject: SubjectRequest, ID: fmt.Sprint(i), Text: strings.Repeat("x", 2*MaxDecisionText)})
		is.True(j.Len() <= capacity)
	}
	is.Equal(j.Len(), capacity)
	is.Equal(len(j.Find(SubjectRequest, "0")), 0) // the oldest id was evicted first
	last := j.Find(SubjectRequest, "999")
	is.Equal(len(last), 1)
	is.Equal(len(last[0].Text), MaxDecisionText)

	// Many decisions about one id do not evict other ids.
	for i := range 1000 {
		j.Add(Decision{Subject: SubjectEndpoint, ID: "e1", Event: fmt.Sprint(i)})
	}
	busy := j.Find(SubjectEndpoint, "e1")
	is.Equal(len(busy), MaxDecisionsPerID)
	is.Equal(busy[len(busy)-1].Event, "999")
	is.Equal(len(j.Find(SubjectRequest, "999")), 1)
	is.Equal(j.Len(), capacity)

	_, err = NewJournal(MaxDecisionsPerID - 1)
	is.True(err != nil)
}

// TestRoutineLinesAreDroppedFirst checks that half of the ring stays available
// for lines that explain failures when the output blocks.
func TestRoutineLinesAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{entered: make(chan struct{}), release: make(chan struct{})}
	registry := metrics.New("kuryk-1")
	l := newLogger(t, Config{Output: out, RingSize: 8, Registry: registry})
	l.Event("first")
	<-out.entered
	for range 20 {
		l.Routine("answered")
	}
	for range 3 {
		l.Event("failed")
	}
	is.Equal(l.Dropped(), uint64(0))
	is.Equal(registry.Counter("log_routine_dropped", metrics.UnitCount, "").Value(), int64(15))
	close(out.release)
	l.Close()
	is.Equal(out.lines, 9) // the first line, five routine lines, three failures
}
