package metrics

import (
	"bytes"
	"encoding/json"
	"expvar"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func TestRegistriesAreIndependent(t *testing.T) {
	is := is.New(t)
	a, b := New("a"), New("b")
	a.Counter("requests", UnitCount, "Requests.").Add(3)
	b.Counter("requests", UnitCount, "Requests.").Inc()
	is.Equal(a.Counter("requests", UnitCount, "Requests.").Value(), int64(3)) // a second declaration returns the same counter
	is.Equal(b.Get("requests").String(), "1")
}

func TestHandlerServesJSON(t *testing.T) {
	is := is.New(t)
	r := New("kuryk-1")
	r.Counter("requests", UnitCount, "Requests.").Inc()
	r.CounterMap("sent", UnitBytes, "Bytes by kind.").Add("grant", 7)
	r.Gauge("depth", UnitCount, "Depth.").Set(2.5)
	r.GaugeFunc("share", UnitRatio, "Share.", func() float64 { return 0.25 })
	latency := r.Latency("first_token", "Time to the first token.")
	for i := range 100 {
		latency.Record(time.Duration(i+1) * time.Millisecond)
	}

	var ctx fasthttp.RequestCtx
	r.Handler()(&ctx)
	var got struct {
		Daemon     string           `json:"daemon"`
		Requests   int              `json:"requests"`
		Sent       map[string]int   `json:"sent"`
		Depth      float64          `json:"depth"`
		Share      float64          `json:"share"`
		FirstToken Summary          `json:"first_token"`
		Violations map[string]int64 `json:"invariant_violations"`
	}
	is.NoErr(json.Unmarshal(ctx.Response.Body(), &got))
	is.Equal(got.Daemon, "kuryk-1")
	is.Equal(got.Requests, 1)
	is.Equal(got.Sent["grant"], 7)
	is.Equal(got.Depth, 2.5)
	is.Equal(got.Share, 0.25)
	is.Equal(got.FirstToken.Count, int64(100))
	is.True(got.FirstToken.P50 >= 49 && got.FirstToken.P50 <= 52)
	is.True(got.FirstToken.P95 >= 94 && got.FirstToken.P95 <= 97)
	is.True(got.FirstToken.P99 >= 98 && got.FirstToken.P99 <= 101)
	is.Equal(len(got.Violations), 0)
}

func TestLatencyRecordsAnyDuration(t *testing.T) {
	is := is.New(t)
	l := New("d").Latency("l", "Any.")
	for _, d := range []time.Duration{-time.Second, 0, time.Nanosecond, time.Hour} {
		l.Record(d)
	}
	is.Equal(l.Summary().Count, int64(4))
}

func TestDescribeListsEveryMetric(t *testing.T) {
	is := is.New(t)
	r := New("d")
	r.Latency("b", "Second.")
	r.Counter("a", UnitBytes, "First.")
	is.Equal(r.Describe(), []Description{
		{"a", TypeCounter, UnitBytes, "First."},
		{"b", TypeLatency, UnitMilliseconds, "Second."},
		{"invariant_violations", TypeCounterMap, UnitCount, "Violated invariants, by name; any but zero is a fault of the program."},
	})
	defer func() { is.True(recover() != nil) }()
	r.Gauge("a", UnitBytes, "Of another type.")
}

func TestViolationsAreCountedReportedAndFatalInTests(t *testing.T) {
	is := is.New(t)
	r := New("d")
	var reported string
	r.OnViolation(func(name, detail string) { reported = name + ": " + detail })
	r.Violation("answered_twice", "request 1")
	r.Violation("slot_leak", "e1")
	is.Equal(reported, "slot_leak: e1")
	is.Equal(r.Violations(), uint64(2))
	var text bytes.Buffer
	is.NoErr(r.WriteJSON(&text))
	is.True(bytes.Contains(text.Bytes(), []byte(`"answered_twice": 1`)))

	r.PanicOnViolation()
	defer func() {
		is.True(recover() != nil)
		is.Equal(r.Violations(), uint64(3))
	}()
	r.Violation("slot_leak", "e2")
}

func TestPublishGloballyOnce(t *testing.T) {
	is := is.New(t)
	// The namespace is global, so that each run of the test in a process needs
	// another name.
	name := "published"
	for expvar.Get(name) != nil {
		name += "+"
	}
	is.NoErr(New(name).PublishGlobally())
	is.True(New(name).PublishGlobally() != nil)
}
