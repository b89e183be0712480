package kvsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// avoiding returns a want that must not use the first two prefill engines.
func avoiding(name string, prompt, output int) sched.Want {
	w := want(name, prompt, output)
	w.Avoid = []id.Endpoint{"prefill-0", "prefill-1"}
	return w
}

// runStream lets a stream run on the only decode engine.
func runStream(l *Ledger, name string, prompt, output int, pause time.Duration) {
	w := want(name, prompt, output)
	w.Pause = pause
	l.Adopt(start, sched.Adopt{
		Want:  w,
		Grant: sched.Grant{Request: w.Request, Decode: "decode-0", Reservation: 1},
		Phase: sched.PhaseDecoding,
	})
}

// TestADecodeEngineReadsAtOnceWithoutAUsablePrefillEngine: streams whose daemon left out all
// prefill engines, since they were in backoff, waited in vain for one of them.
func TestADecodeEngineReadsAtOnceWithoutAUsablePrefillEngine(t *testing.T) {
	for _, prefills := range []int{1, 2} {
		is := is.New(t)
		l := newLedger(t, document(prefills, 1, 100000))
		granted := grants(l.Want(start, avoiding("a", 1000, 100)))
		is.Equal(len(granted), 1)
		is.Equal(granted[0].Prefill, id.Endpoint(""))
		is.Equal(granted[0].Decode, id.Endpoint("decode-0"))
		late := avoiding("late", 1000, 100)
		late.Age = time.Second // past its target, in a pool with room to spare
		granted = grants(append(l.Want(start+50*time.Millisecond, late), l.Tick(start+100*time.Millisecond)...))
		is.Equal(len(granted), 1) // after the first prompt is read
		is.Equal(granted[0].Request, id.Request("late"))
	}
}

// TestAnEjectedPrefillEngineIsNotWaitedFor: requests waited for an engine that gets no
// requests since it has failed.
func TestAnEjectedPrefillEngineIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(1, 1, 100000))
	l.options.Health = ejected("prefill-0")
	granted := grants(l.Want(start, want("a", 1000, 100)))
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Prefill, id.Endpoint(""))
}

// ejected is a health view that allows all endpoints but one.
type ejected id.Endpoint

func (e ejected) Allowed(name id.Endpoint) bool            { return name != id.Endpoint(e) }
func (e ejected) Doubt(time.Duration, id.Endpoint) float64 { return 0 }

// TestARequestThatNoEngineCanReadIsRefusedAtOnce: it was held until its patience ended,
// although neither a prefill engine nor a decode engine could read its prompt.
func TestARequestThatNoEngineCanReadIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		run    func(l *Ledger)
		prompt int
		// after bounds the Retry-After, but for its jitter.
		least, most time.Duration
	}{
		"its reading would pause a stream": {func(l *Ledger) { runStream(l, "running", 100, 600, 300*time.Millisecond) }, 6600,
			2 * time.Second, 2 * time.Second}, // 600 tokens at the initial decode rate
		"little memory is free":                     {func(l *Ledger) { runStream(l, "running", 70000, 30, 0) }, 9000, minRetryAfter, minRetryAfter},
		"larger than what a decode engine may read": {func(*Ledger) {}, 80000, verdict.TransientRetryAfter, verdict.TransientRetryAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger(t, document(2, 1, 100000))
			test.run(l)
			refused := refusals(l.Want(start, avoiding("a", test.prompt, 100)))
			is.Equal(len(refused), 1)
			is.Equal(refused[0].Code, verdict.CodeOverloaded)
			is.Equal(refused[0].Reason, causeNoReader)
			is.True(float64(refused[0].RetryAfter) >= (1-retryJitter)*float64(test.least))
			is.True(float64(refused[0].RetryAfter) <= (1+retryJitter)*float64(test.most))
			is.Equal(l.Demand(start).Queued, 0)
			is.Equal(len(grants(l.Want(start, want("b", 1000, 100)))), 1) // not held up by it
		})
	}
}

// TestARequestWaitsForADecodeEngineThatReadsAnother: of streams that come at once while all
// prefill engines are in backoff, only the first was to be served.
func TestARequestWaitsForADecodeEngineThatReadsAnother(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(2, 1, 100000))
	is.Equal(len(grants(l.Want(start, avoiding("a", 1000, 100)))), 1)
	is.Equal(len(l.Want(start, avoiding("b", 1000, 100))), 0)
	is.Equal(len(grants(l.Want(start, want("with engines", 1000, 100)))), 1) // not held up by it
	granted := grants(l.Tick(start + 100*time.Millisecond))                  // the first prompt is read
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Request, id.Request("b"))
}

// TestAUsablePrefillEngineIsWaitedFor guards against prompts that decode engines read since
// some prefill engines can't be used, or are full for a moment.
func TestAUsablePrefillEngineIsWaitedFor(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(3, 1, 100000))
	for _, e := range l.order {
		if e.role == live.RolePrefill {
			e.addPrefill(start, &reservation{want: sched.Want{PromptTokens: 2000}})
		}
	}
	is.Equal(len(l.Want(start, avoiding("a", 1000, 100))), 0)
	granted := grants(l.Tick(l.endpoints["prefill-2"].busyUntil))
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Prefill, id.Endpoint("prefill-2"))
}
