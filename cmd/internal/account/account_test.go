package account

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// dayLog is part of a real day's log with names replaced.
const dayLog = "testdata/day.log"

func readLogs(t *testing.T, text string) *logstory.Logs {
	t.Helper()
	var logs logstory.Logs
	if err := logs.Read("test", strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	return &logs
}

func readDayLog(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(dayLog)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func findRoute(a *Summary, name string) Route {
	for _, r := range a.Routes {
		if r.Name == name {
			return r
		}
	}
	return Route{}
}

// The expected figures come from a separate count of the requests' last lines by
// fingerprint, made without this code.
func TestAccountOfADay(t *testing.T) {
	is := is.New(t)
	a, err := Summarize(readLogs(t, readDayLog(t)), Options{})
	is.NoErr(err)
	is.Equal(a.Lines, 125)
	is.Equal(a.Unreadable, 0.0)
	is.Equal(findRoute(a, "route-1").Counts, Counts{Requests: 9, InTime: 7, Failed: 2})
	is.Equal(findRoute(a, "route-2").Counts, Counts{Requests: 10, InTime: 8, Failed: 2})
	is.Equal(findRoute(a, "route-3").Counts, Counts{Requests: 20, InTime: 7, Late: 3, Refused: 6, Failed: 1, Disconnected: 2, NoEnd: 1})
	is.Equal(findRoute(a, "route-3").Refusals.Retried, 3)
	is.Equal(findRoute(a, "route-3").LateTime.Paused, 3)
	is.Equal(a.Wasted[0], WastedPrompts{Cause: "no decode: overloaded", Count: 3, Tokens: 11226})
	sum := Counts{}
	for _, s := range a.Seconds {
		sum.Requests += s.Requests
	}
	is.Equal(sum.Requests, 45)
	is.Equal(len(a.Pools), 7) // the eighth was logged before the first arrival
}

// A retried request counts once, by the outcome of its last attempt and from its
// first arrival.
func TestRetriedRequestCountsOnce(t *testing.T) {
	is := is.New(t)
	line := func(at, id, end string) string {
		return "ts=2026-12-03T10:00:" + at + "Z daemon=d level=info event=request request=" + id +
			" route=r service=s kind=stream target=900ms print=aa took=100ms first=80ms waited=10ms read=40ms " + end + "\n"
	}
	refused := line("01.1", "x1", "outcome=overloaded verdict=not-run status=0 reason=full")
	answered := line("03.1", "x2", "outcome=answered status=200 in_time=true")
	a, err := Summarize(readLogs(t, refused+answered), Options{})
	is.NoErr(err)
	is.Equal(a.Routes[0].Counts, Counts{Requests: 1, Late: 1})
	is.Equal(a.Routes[0].Retried, 1)
	is.Equal(a.Routes[0].RetriedAnswered, 1)
	is.Equal(a.Routes[0].LateTime.RetryDelay, 2000.0)
	is.Equal(a.Routes[0].Refusals, RefusalTimes{Count: 1, P50: 100, P90: 100, Max: 100, Retried: 1})
	// An attempt of another caller, or after an answer, is another request.
	again := line("04.1", "x3", "outcome=answered status=200 in_time=true")
	a, err = Summarize(readLogs(t, refused+answered+again), Options{})
	is.NoErr(err)
	is.Equal(a.Routes[0].Counts, Counts{Requests: 2, InTime: 1, Late: 1})
}

func TestSpanExcludesArrivalsOutsideIt(t *testing.T) {
	is := is.New(t)
	whole, err := Summarize(readLogs(t, readDayLog(t)), Options{})
	is.NoErr(err)
	middle := whole.From.Add(20 * time.Second)
	first, err := Summarize(readLogs(t, readDayLog(t)), Options{To: middle})
	is.NoErr(err)
	second, err := Summarize(readLogs(t, readDayLog(t)), Options{From: middle})
	is.NoErr(err)
	asked := func(a *Summary) (n int) {
		for i := range a.Routes {
			n += a.Routes[i].Requests
		}
		return n
	}
	is.True(asked(first) > 0 && asked(second) > 0)
	is.True(asked(first)+asked(second) >= asked(whole)) // a request retried across the bound counts on both sides
	_, err = Summarize(readLogs(t, readDayLog(t)), Options{From: whole.To.Add(time.Hour)})
	is.True(errors.Is(err, ErrNoRequests))
}

// Truncated lines, lines that are not text and lines with fields that can't be
// parsed are skipped and counted.
func TestUnreadableLinesAreSkippedAndCounted(t *testing.T) {
	is := is.New(t)
	text := readDayLog(t)
	bad := "ts=2026-03-24T23:44:50Z daemon=d level=info event=pool_state pool=p prefills=many\n" + "\xff\xfe\x00\n" + text[:200] + "\n"
	a, err := Summarize(readLogs(t, bad+text), Options{})
	is.NoErr(err)
	is.True(a.Unreadable > 2.0/130 && a.Unreadable < 4.0/125)
	is.Equal(findRoute(a, "route-3").Requests, 20)
	_, err = Summarize(readLogs(t, "no log at all\n"), Options{})
	is.True(errors.Is(err, ErrNoRequests))
}

func TestAccountIsWrittenWithPlots(t *testing.T) {
	is := is.New(t)
	a, err := Summarize(readLogs(t, readDayLog(t)), Options{})
	is.NoErr(err)
	dir := t.TempDir()
	is.NoErr(a.Report().Write(dir))
	for _, name := range []string{"account.json", "memory.svg", "roles.svg", "outcomes-stream.svg", "outcomes-idempotent.svg", "outcomes-non-idempotent.svg"} {
		info, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
}
