package experiment

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/standin"
)

// roundTrip is a transport that calls a function for every request.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// brokenBody ends with an error.
type brokenBody struct{ io.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// exchange sends one request through an observer and reads the answer to its end.
func exchange(t *testing.T, x *observer, path string, header, answer http.Header, body io.Reader) {
	t.Helper()
	x.base = roundTrip(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Header: answer, Body: io.NopCloser(body)}, nil
	})
	req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header
	resp, err := x.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the observer has to record how it ends
}

func headerOf(name, value string) http.Header {
	h := http.Header{}
	h.Set(name, value)
	return h
}

func stream() http.Header { return headerOf("Content-Type", "text/event-stream") }

const errorEvent = "event: error\ndata: {\"error\":{\"verdict\":\"not-run\",\"code\":\"overloaded\",\"request\":\"r1\"}}\n\n"

func TestObserverDetectsHowStreamsEnd(t *testing.T) {
	is := is.New(t)
	x := newObserver(nil)
	exchange(t, x, opapi.PathCompletions, http.Header{}, stream(), strings.NewReader("data: {}\n\ndata: [DONE]\n\n"))
	is.Equal(x.brokenCount(), 0)
	exchange(t, x, opapi.PathCompletions, http.Header{}, stream(), strings.NewReader(errorEvent))
	is.Equal(x.brokenCount(), 0)
	is.Equal(x.refusedRequests(), []string{"r1"})
	exchange(t, x, opapi.PathCompletions, http.Header{}, stream(), strings.NewReader("data: {}\n\n"))
	is.Equal(x.brokenCount(), 1) // ended without its last line
	exchange(t, x, opapi.PathCompletions, http.Header{}, stream(), brokenBody{strings.NewReader("data: {}\n\n")})
	is.Equal(x.brokenCount(), 2)
}

func TestObserverChecksOnlyNewRequestsAndAllAttemptsOfAKey(t *testing.T) {
	is := is.New(t)
	x := newObserver(nil)
	resumed := headerOf(opapi.HeaderLastEventID, "token")
	exchange(t, x, opapi.PathCompletions, resumed, stream(), strings.NewReader(errorEvent))
	is.Equal(len(x.refusedRequests()), 0) // the resumed request had already run
	refused := headerOf(opapi.HeaderVerdict, verdict.NotRun.String())
	key := headerOf(opapi.HeaderIdempotencyKey, "k1")
	exchange(t, x, "/services/desk/x", key, refused, strings.NewReader(""))
	is.Equal(x.refusedKeys(), []string{"k1"})
	exchange(t, x, "/services/desk/x", key, http.Header{}, strings.NewReader(""))
	is.Equal(len(x.refusedKeys()), 0) // the second attempt ran
}

func TestObserverCountsConnectionsButNotEntryRequests(t *testing.T) {
	is := is.New(t)
	x := newObserver(roundTrip(func(*http.Request) (*http.Response, error) { return nil, io.ErrUnexpectedEOF }))
	for _, path := range []string{opapi.PathEntry, opapi.PathCompletions} {
		req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1"+path, nil)
		is.NoErr(err)
		_, err = x.RoundTrip(req)
		is.True(err != nil)
	}
	is.Equal(x.brokenCount(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1"+opapi.PathCompletions, nil)
	is.NoErr(err)
	_, err = x.RoundTrip(req)
	is.True(err != nil)
	is.Equal(x.brokenCount(), 1) // the caller itself hung up
}

func TestAttemptLogJoinsRequestsAndAttempts(t *testing.T) {
	is := is.New(t)
	l := newAttemptLog()
	for _, line := range []string{
		"ts=1 daemon=d1 level=info event=paired kind=request id=R attempt=A1 prefill=p decode=d",
		"ts=2 daemon=d2 level=info event=paired kind=request id=R attempt=A2 prefill=p decode=d",
		"ts=3 daemon=d1 level=error event=invariant_violated name=slots",
	} {
		n, err := l.Write([]byte(line + "\n"))
		is.NoErr(err)
		is.Equal(n, len(line)+1)
	}
	is.Equal(l.attemptsOf("R"), []string{"A1", "A2"})
	is.Equal(len(l.errorLines), 1)
	is.True(anyDecoded(l.attemptsOf("R"), map[string]int{"A2": 1}))
	is.True(!anyDecoded(l.attemptsOf("R"), map[string]int{"B": 1}))
}

// recorded returns a driver whose requests were answered in time, except for those
// that arrived between badFrom and badTo.
func recorded(badFrom, badTo time.Duration) *driver {
	x := &driver{spec: load.Spec{Duration: 10 * time.Second, FirstTokenTarget: time.Second, PaceTarget: time.Second}}
	for at := time.Duration(0); at < x.spec.Duration; at += 20 * time.Millisecond {
		rec := load.Record{At: at, Outcome: load.OutcomeAnswered}
		if at >= badFrom && at < badTo {
			rec.FirstToken = 2 * time.Second
		}
		x.records = append(x.records, requestRecord{Record: rec})
	}
	return x
}

func TestRecoveryTimeFindsTheEndOfABadPeriod(t *testing.T) {
	is := is.New(t)
	x := recorded(4*time.Second, 6*time.Second)
	is.Equal(x.perSecond(window{0, 4 * time.Second}), 50.0)
	is.Equal(x.perSecond(window{4 * time.Second, 6 * time.Second}), 0.0)
	recovery := x.recoveryTime(4*time.Second, 10*time.Second, 0.95)
	is.True(recovery >= 1800 && recovery <= 2000) // the start of the first second with 95% good completions
	is.Equal(x.recoveryTime(7*time.Second, 10*time.Second, 0.95), int64(0))
	is.Equal(recorded(4*time.Second, 10*time.Second).recoveryTime(4*time.Second, 10*time.Second, 0.95), int64(notRecovered))
}

func TestLostAreAnswersThatBeganAndWereNotCompleted(t *testing.T) {
	is := is.New(t)
	begun := load.Record{OutputTokens: 3, Outcome: load.OutcomeFailed}
	is.True(requestRecord{Record: begun}.lost(nil))
	is.True(!requestRecord{Record: begun, HungUp: true}.lost(nil))
	is.True(!requestRecord{Record: load.Record{Outcome: load.OutcomeRefused}}.lost(nil))
	call := load.Record{Plain: true, Key: "k", Outcome: load.OutcomeAnswered}
	is.True(requestRecord{Record: call}.lost(nil)) // answered, but it never ran
	is.True(!requestRecord{Record: call}.lost(map[string]int{"k": 1}))
	is.Equal(answerFault("a b ", "a b "), load.FaultNone)
	is.Equal(answerFault("a ", "a b "), load.FaultLost)
	is.Equal(answerFault("a b b ", "a b "), load.FaultDoubled)
	is.Equal(answerFault("a x ", "a b "), load.FaultWrong)
}

func TestAnomaliesAreFaultsOfTheReport(t *testing.T) {
	is := is.New(t)
	r := &Report{}
	r.addFaultRun(FaultFigures{Fault: "calm"})
	is.Equal(len(r.Faults), 0)
	r.addFaultRun(FaultFigures{Fault: "bad", Anomalies: Anomalies{Orphans: 1}})
	is.Equal(len(r.Faults), 1)
	is.True(strings.HasPrefix(r.Lines[1], "fault=bad lost=0 doubled=0 ran_twice=0 orphans=1 "))
}

func TestFaultCasesHaveUniqueNames(t *testing.T) {
	is := is.New(t)
	var names []string
	for _, c := range faultCases() {
		is.True(!slices.Contains(names, c.name))
		names = append(names, c.name)
	}
}

func TestSiteWithoutADomain(t *testing.T) {
	is := is.New(t)
	site := standin.Bunker()
	rest := withoutDomain(site, site.Domains[0])
	is.Equal(len(site.Engines), 18)
	is.Equal(len(rest.Engines), 13)
	for _, e := range rest.Engines {
		is.True(e.Domain != site.Domains[0])
	}
}

func TestPoisonReportListsFaults(t *testing.T) {
	is := is.New(t)
	good := PoisonFigures{Runs: []PoisonRun{{Poisons: 1, Crashes: 3}, {Poisons: 3, Crashes: 9}}, Lifted: true}
	is.Equal(len(poisonReport(Env{}, good).Faults), 0)
	bad := PoisonFigures{Runs: []PoisonRun{{Poisons: 1, Crashes: 4}, {Poisons: 1, QuarantinedMS: notRecovered}}, WronglyQuarantined: 1}
	is.Equal(len(poisonReport(Env{}, bad).Faults), 4)
}

func TestRollingReportListsFaults(t *testing.T) {
	is := is.New(t)
	is.Equal(len(rollingReport(Env{}, RollingFigures{Drained: 4, Undrained: 4}).Faults), 0)
	bad := RollingFigures{Interrupted: 1, Drained: 4, Undrained: 4, WorkAfterLeave: 1, Anomalies: Anomalies{Lost: 1}}
	is.Equal(len(rollingReport(Env{}, bad).Faults), 3)
}
