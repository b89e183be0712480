package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counter is a count that only grows.
type Counter struct{ value expvar.Int }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Inc adds one.
func (c *Counter) Inc() { c.value.Add(1) }

// Value returns the count.
func (c *Counter) Value() int64 { return c.value.Value() }

// String implements expvar.Var.
func (c *Counter) String() string { return c.value.String() }

// Counter declares a counter.
func (r *Registry) Counter(name string, unit Unit, help string) *Counter {
	return declare(r, Description{name, TypeCounter, unit, help}, func() *Counter { return new(Counter) })
}

// CounterMap is a set of counters by key. The keys must come from a bounded set.
type CounterMap struct{ values expvar.Map }

// Add adds n to the counter of key.
func (c *CounterMap) Add(key string, n int64) { c.values.Add(key, n) }

// Value returns the value of key's counter, or 0 if there is none.
func (c *CounterMap) Value(key string) int64 {
	v, ok := c.values.Get(key).(*expvar.Int)
	if !ok {
		return 0
	}
	return v.Value()
}

// Do calls f for each key, in sorted order, with the value of its counter.
func (c *CounterMap) Do(f func(key string, n int64)) {
	c.values.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			f(kv.Key, v.Value())
		}
	})
}

// Total returns the sum over all keys.
func (c *CounterMap) Total() int64 {
	var total int64
	c.Do(func(_ string, n int64) { total += n })
	return total
}

// String implements expvar.Var.
func (c *CounterMap) String() string { return c.values.String() }

// CounterMap declares a set of counters.
func (r *Registry) CounterMap(name string, unit Unit, help string) *CounterMap {
	return declare(r, Description{name, TypeCounterMap, unit, help}, func() *CounterMap { return new(CounterMap) })
}

// Gauge is a value that goes up and down.
type Gauge struct{ value expvar.Float }

// Set sets the value.
func (g *Gauge) Set(v float64) { g.value.Set(v) }

// Add adds v, which may be negative.
func (g *Gauge) Add(v float64) { g.value.Add(v) }

// Value returns the value.
func (g *Gauge) Value() float64 { return g.value.Value() }

// String implements expvar.Var.
func (g *Gauge) String() string { return g.value.String() }

// Gauge declares a gauge.
func (r *Registry) Gauge(name string, unit Unit, help string) *Gauge {
	return declare(r, Description{name, TypeGauge, unit, help}, func() *Gauge { return new(Gauge) })
}

// gaugeFunc computes its value at each access. It is used by pointer, so that a
// later declaration of the same name returns the first one.
type gaugeFunc struct{ read func() float64 }

func (g *gaugeFunc) String() string {
	text, err := json.Marshal(g.read())
	if err != nil {
		return "0"
	}
	return string(text)
}

// GaugeFunc declares a gauge whose value is the result of read at each access.
// Later declarations of the same name have no effect.
func (r *Registry) GaugeFunc(name string, unit Unit, help string, read func() float64) {
	declare(r, Description{name, TypeGauge, unit, help}, func() expvar.Var { return &gaugeFunc{read: read} })
}

// gaugeMapFunc computes its values at each access.
type gaugeMapFunc struct{ read func() map[string]float64 }

func (g *gaugeMapFunc) String() string {
	text, err := json.Marshal(g.read())
	if err != nil {
		return "{}"
	}
	return string(text)
}

// GaugeMapFunc declares a set of gauges by key whose values are the result of read at each
// access. The keys must come from a bounded set. Later declarations of the same name have no
// effect.
func (r *Registry) GaugeMapFunc(name string, unit Unit, help string, read func() map[string]float64) {
	declare(r, Description{name, TypeGaugeMap, unit, help}, func() expvar.Var { return &gaugeMapFunc{read: read} })
}

// Range and resolution of latencies: a duration beyond the range is recorded as
// the closest bound.
const (
	lowestLatency       = time.Microsecond
	highestLatency      = 10 * time.Minute
	significantFigures  = 2
	percentileMedian    = 50
	percentileHigh      = 95
	percentileVeryHigh  = 99
	microsPerMilli      = 1000.0
	highestMicroseconds = int64(highestLatency / time.Microsecond)
)

// Latency is a histogram of durations.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Summary summarizes a histogram. Times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Record adds one duration, clamped to between 1 µs and 10 minutes.
func (l *Latency) Record(d time.Duration) {
	micros := min(max(int64(d/time.Microsecond), 1), highestMicroseconds)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the histogram's range, so RecordValue cannot fail.
	_ = l.histogram.RecordValue(micros)
}

// Summary summarizes all recorded durations.
func (l *Latency) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.histogram
	millis := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) / microsPerMilli
	}
	return Summary{
		Count: h.TotalCount(),
		Mean:  h.Mean() / microsPerMilli,
		P50:   millis(percentileMedian),
		P95:   millis(percentileHigh),
		P99:   millis(percentileVeryHigh),
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

// String implements expvar.Var.
func (l *Latency) String() string {
	text, err := json.Marshal(l.Summary())
	if err != nil {
		return "{}"
	}
	return string(text)
}

// Latency declares a histogram of durations, shown in milliseconds.
func (r *Registry) Latency(name, help string) *Latency {
	return declare(r, Description{name, TypeLatency, UnitMilliseconds, help}, newLatency)
}

func newLatency() *Latency {
	lowest := int64(lowestLatency / time.Microsecond)
	return &Latency{histogram: hdrhistogram.New(lowest, highestMicroseconds, significantFigures)}
}
