package logstory

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const cityLog = `2.1 city ts=2026-01-02T03:04:05.1Z daemon=city level=info event=granted request=a pairing=1 prefill=i-1 decode=i-2 owner=port#1
ts=2026-01-02T03:04:05.6Z daemon=city level=info event=attempt_failed request=a step=decode endpoint=i-2 code=endpoint_failed why="the exchange broke"
ts=2026-01-02T03:04:05.7Z daemon=city level=info event=request request=a service=s outcome=endpoint_failed status=0 took=700ms why="endpoint_failed (may-have-run): the exchange broke" reason="it may not run again"
ts=2026-01-02T03:04:06Z daemon=city level=info event=granted request=b pairing=1 prefill=i-1 decode=i-2
ts=2026-01-02T03:04:07Z daemon=city level=info event=daemon_started
ts=2026-01-02T03:04:0
`

const portLog = `ts=2026-01-02T03:04:05.3Z daemon=port level=info event=endpoint_gone endpoint=i-2 service=s
ts=2026-01-02T03:04:05.2Z daemon=port level=info event=pool_state pool=s queued=7
ts=2026-01-02T03:04:05.2Z daemon=port level=info event=endpoint_gone endpoint=i-9 service=s
ts=2026-01-02T03:05:05.3Z daemon=port level=info event=health_changed endpoint=i-2 state=ejected
`

func readLogs(t *testing.T) *Logs {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"city.log": cityLog, "port.log": portLog} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var l Logs
	if err := l.ReadPath(dir, nil); err != nil {
		t.Fatal(err)
	}
	return &l
}

func eventNames(lines []Line) string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Event)
	}
	return strings.Join(out, " ")
}

func TestLinesOfSeveralDaemonsAreMerged(t *testing.T) {
	is := is.New(t)
	l := readLogs(t)
	is.Equal(l.Unreadable, 1) // the truncated line
	s, err := l.Explain("a")
	is.NoErr(err)
	is.Equal(eventNames(s.Own), "granted attempt_failed request")
	is.Equal(eventNames(s.Beside), "pool_state endpoint_gone")
	is.Equal(s.Cause, "endpoint_failed after 700ms at city: endpoint_failed (may-have-run): the exchange broke; not tried again: it may not run again")
	is.Equal(len(s.Silent), 0)
}

func TestMissingEndIsReported(t *testing.T) {
	is := is.New(t)
	s, err := readLogs(t).Explain("b")
	is.NoErr(err)
	is.Equal(s.Cause, "its end is not logged; the last line is granted of city")
	is.Equal(s.Silent, []string{"city was started anew at 2026-01-02T03:04:07Z: its former process ended without a word"})
}

// The daemon logged for a while after the request's last line, and then nothing
// while another daemon continued to log.
func TestSilentDaemonIsReported(t *testing.T) {
	is := is.New(t)
	l := &Logs{}
	text := `ts=2026-01-02T03:04:06Z daemon=city level=info event=granted request=b pairing=1 prefill=i-1 decode=i-2
ts=2026-01-02T03:04:06.5Z daemon=city level=info event=granted request=c pairing=1 prefill=i-1 decode=i-2
ts=2026-01-02T03:04:30Z daemon=port level=info event=endpoint_gone endpoint=i-2 service=s
`
	path := filepath.Join(t.TempDir(), "all.log")
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	is.NoErr(l.ReadPath(path, nil))
	s, err := l.Explain("b")
	is.NoErr(err)
	is.Equal(len(s.Silent), 1)
	is.True(strings.HasPrefix(s.Silent[0], "city logs nothing behind 2026-01-02T03:04:06.5Z, others do until 2026-01-02T03:04:30Z"))
}

func TestUnknownRequestIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := readLogs(t).Explain("nobody")
	is.True(errors.Is(err, ErrUnknownRequest))
	var none Logs
	is.True(none.ReadPath(t.TempDir(), nil) != nil)
	is.NoErr(none.ReadPath("-", strings.NewReader(cityLog)))
	_, err = none.Explain("a")
	is.NoErr(err)
}

// TestLimitsAndCrashesOfItsEndpointsAreRelated checks that a request is explained beside
// the rate limit that its endpoint named, and beside another request's crash of it.
func TestLimitsAndCrashesOfItsEndpointsAreRelated(t *testing.T) {
	is := is.New(t)
	l := &Logs{}
	text := `ts=2026-01-02T03:04:05Z daemon=city level=info event=endpoint_limit endpoint=i-1 per_second=5.3 origin=answer
ts=2026-01-02T03:04:05Z daemon=city level=info event=endpoint_leaving endpoint=i-1 origin=answer request=c
ts=2026-01-02T03:04:05Z daemon=port level=info event=crash_recorded request=b print=d9 endpoint=i-1 crashes=3 standing=held
ts=2026-01-02T03:04:05Z daemon=port level=info event=crash_recorded request=b print=d9 endpoint=i-2 crashes=2 standing=isolated
ts=2026-01-02T03:04:06Z daemon=city level=info event=request request=a attempts=1 endpoint=i-1 outcome=endpoint_failed status=0
`
	is.NoErr(l.Read("all.log", strings.NewReader(text)))
	s, err := l.Explain("a")
	is.NoErr(err)
	is.Equal(eventNames(s.Beside), "endpoint_limit endpoint_leaving crash_recorded")
}

// TestBackoffsOfItsEndpointsAreRelated checks that a request is explained beside the time in
// which its endpoint wanted no requests, as another request was told.
func TestBackoffsOfItsEndpointsAreRelated(t *testing.T) {
	is := is.New(t)
	l := &Logs{}
	text := `ts=2026-01-02T03:04:05Z daemon=city level=info event=endpoint_backoff endpoint=i-1 request=b step=call asked=3s until=2026-01-02T03:04:08Z began=true
ts=2026-01-02T03:04:05Z daemon=city level=info event=endpoint_backoff endpoint=i-2 request=b step=call asked=3s until=2026-01-02T03:04:08Z began=true
ts=2026-01-02T03:04:06Z daemon=city level=info event=request request=a attempts=1 endpoint=i-1 outcome=endpoint_failed status=0
`
	is.NoErr(l.Read("all.log", strings.NewReader(text)))
	s, err := l.Explain("a")
	is.NoErr(err)
	is.Equal(eventNames(s.Beside), "endpoint_backoff")
}

// TestACallsQueueIsExplained checks that the state of a call's queue and the silence of its
// owner stand beside the call.
func TestACallsQueueIsExplained(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	text := `ts=2026-01-02T03:04:04.9Z daemon=city level=info event=call_owner_silent owner=port
ts=2026-01-02T03:04:05Z daemon=port level=info event=call_pool_state pool=s queued=7 refused_forecast=3
ts=2026-01-02T03:04:05Z daemon=port level=info event=call_pool_state pool=other queued=1
ts=2026-01-02T03:04:05.1Z daemon=city level=info event=call_granted request=a route=r service=s endpoint=i-2 owner=port#1 waited=30ms
ts=2026-01-02T03:04:05.7Z daemon=city level=info event=request request=a service=s outcome=answered status=200 took=90ms waited=30ms
`
	is.NoErr(os.WriteFile(filepath.Join(dir, "all.log"), []byte(text), 0o600))
	var l Logs
	is.NoErr(l.ReadPath(dir, nil))
	s, err := l.Explain("a")
	is.NoErr(err)
	is.Equal(eventNames(s.Own), "call_granted request")
	is.Equal(eventNames(s.Beside), "call_owner_silent call_pool_state")
}
