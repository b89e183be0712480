package account

import (
	"testing"

	"github.com/matryer/is"
)

// An on-call engineer must see whether the daemon died during the request, or only
// the line of its end is missing.
func TestMissingEndHasAReason(t *testing.T) {
	is := is.New(t)
	line := func(at, daemon, rest string) string {
		return "ts=2026-12-03T10:00:" + at + "Z daemon=" + daemon + " level=info " + rest + "\n"
	}
	granted := func(at, daemon, id string) string {
		return line(at, daemon, "event=granted request="+id+" route=r print="+id)
	}
	ended := line("20.0", "d3", "event=request request=x4 route=r service=s kind=stream target=900ms print=x4 took=100ms first=80ms outcome=answered status=200 in_time=true")
	text := granted("01.0", "d1", "x1") + line("02.0", "d1", "event=daemon_started") + line("20.0", "d1", "event=pool_lost") +
		granted("03.0", "d2", "x2") +
		granted("04.0", "d3", "x3") + ended
	a, err := Summarize(readLogs(t, text), Options{})
	is.NoErr(err)
	is.Equal(a.Routes[0].Counts, Counts{Requests: 4, InTime: 1, NoEnd: 3})
	why := map[string]int{}
	for _, r := range a.Reasons {
		is.Equal(r.Outcome, outcomeNoEnd)
		why[r.Reason] = r.Count
	}
	is.Equal(why, map[string]int{reasonRestarted: 1, reasonSilent: 1, reasonNotLogged: 1})
}

// A daemon_started line before the grant belongs to the process that logged the
// grant: the request was not lost by a restart.
func TestStartBeforeGrantIsNoRestart(t *testing.T) {
	is := is.New(t)
	text := "ts=2026-12-03T10:00:01Z daemon=d1 level=info event=daemon_started\n" +
		"ts=2026-12-03T10:00:02Z daemon=d1 level=info event=granted request=x route=r print=x\n" +
		"ts=2026-12-03T10:00:03Z daemon=d1 level=info event=request request=y route=r service=s kind=stream target=900ms print=y took=100ms outcome=answered status=200 in_time=true\n"
	a, err := Summarize(readLogs(t, text), Options{})
	is.NoErr(err)
	is.Equal(a.Reasons[0].Reason, reasonNotLogged)
}

// A decode that broke loses its KV cache, so its prompt counts as wasted. A refused
// decode leaves the cache to another engine.
func TestBrokenDecodeCountsPromptAsWasted(t *testing.T) {
	is := is.New(t)
	failed := func(step, verdict, code string) string {
		return "ts=2026-12-03T10:00:02Z daemon=d1 level=info event=attempt_failed request=x step=" + step +
			" took=10ms tokens=3000 verdict=" + verdict + " code=" + code + "\n"
	}
	text := failed("decode", "may-have-run", "endpoint_failed") + failed("decode", "not-run", "overloaded") +
		failed("prefill", "may-have-run", "endpoint_failed") +
		"ts=2026-12-03T10:00:03Z daemon=d1 level=info event=request request=y route=r service=s kind=stream target=900ms print=y took=2s outcome=answered status=200 in_time=true\n"
	a, err := Summarize(readLogs(t, text), Options{})
	is.NoErr(err)
	is.Equal(a.Wasted, []WastedPrompts{{Cause: "decode failed: endpoint_failed", Count: 1, Tokens: 3000}})
}

// A call that was granted an endpoint is known although its daemon was killed before the
// end, and keeps the kind of its route. Its wait for the owner counts as time in the queue.
func TestAGrantedCallWithoutAnEndIsCounted(t *testing.T) {
	is := is.New(t)
	text := "ts=2026-12-03T10:00:01Z daemon=d1 level=info event=call_granted request=x route=r kind=idempotent print=x service=s endpoint=i-1 waited=5ms\n" +
		"ts=2026-12-03T10:00:02Z daemon=d1 level=info event=daemon_started\n" +
		"ts=2026-12-03T10:00:03Z daemon=d1 level=info event=request request=y route=r service=s kind=idempotent target=100ms print=y took=200ms waited=150ms outcome=answered status=200 in_time=false\n"
	a, err := Summarize(readLogs(t, text), Options{})
	is.NoErr(err)
	is.Equal(a.Routes[0].Kind, "idempotent")
	is.Equal(a.Routes[0].Counts, Counts{Requests: 2, Late: 1, NoEnd: 1})
	is.Equal(a.Routes[0].LateTime.Queue, 150.0)
	is.Equal(a.Reasons[0].Reason, reasonRestarted)
}
