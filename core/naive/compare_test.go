package naive_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/naive"
	"github.com/samphirequay/samphirequay/core/sched"
)

// fullRate is the rate at which the model's 22 decode slots are all in use,
// in requests a second: each is held for about 0.52 s.
const saturationRate = 42.0

// policy is one of the compared ways.
type policy struct {
	name         string
	shared       bool
	wasteWeight  float64
	newScheduler func(o sched.Options) sched.Scheduler
	reservation  sched.Reservation
}

// policies are the compared ways.
var policies = []policy{
	{name: "naive", shared: true, newScheduler: naive.New},
	{name: "optimistic", newScheduler: sched.NewOptimistic},
	{name: "ledger early 0.2", shared: true, wasteWeight: 0.2, newScheduler: sched.NewLedger, reservation: sched.Early},
	{name: "ledger in time 0.0", shared: true, wasteWeight: 0, newScheduler: sched.NewLedger},
	{name: "ledger in time 0.2", shared: true, wasteWeight: 0.2, newScheduler: sched.NewLedger},
	{name: "ledger in time 0.5", shared: true, wasteWeight: 0.5, newScheduler: sched.NewLedger},
	{name: "ledger in time 0.8", shared: true, wasteWeight: 0.8, newScheduler: sched.NewLedger},
	{name: "ledger in time 1.0", shared: true, wasteWeight: 1, newScheduler: sched.NewLedger},
}

// run measures a policy at a rate.
func (p policy) run(t *testing.T, seed uint64, count int, rate float64, patience time.Duration, strict bool) result {
	t.Helper()
	number := uint64(0)
	m := newSimulation(document(p.wasteWeight, patience), seed, p.shared, func() sched.Scheduler {
		number++
		return p.newScheduler(sched.Options{
			Pool:        pool,
			Self:        id.Process{Daemon: "d", Incarnation: id.Incarnation(number)},
			Seed:        seed*100 + number,
			Reservation: p.reservation,
			Violation:   func(name, detail string) { t.Errorf("%s: %s: %s", p.name, name, detail) },
		})
	})
	m.strict = strict
	return m.run(count, rate)
}

// TestLedgerAndNaiveAnswerTheSame is the differential test: without faults
// and within capacity both answer every request, each once.
func TestLedgerAndNaiveAnswerTheSame(t *testing.T) {
	const count = 500
	for _, p := range policies {
		for seed := range uint64(3) {
			is := is.New(t)
			r := p.run(t, seed, count, saturationRate/8, time.Minute, false)
			t.Logf("%s, seed %d: %+v", p.name, seed, r)
			is.Equal(r.requested, count)
			is.Equal(r.answered, count) // all are answered
			is.Equal(r.duplicates, 0)   // each once
			is.Equal(r.refused, 0)
		}
	}
}

// TestPoliciesCompared measures goodput and wasted prefill near and past the
// pool's capacity, with a patience of one second, on engines that refuse a KV
// cache while they are full and on engines that let it wait.
func TestPoliciesCompared(t *testing.T) {
	for _, strict := range []bool{true, false} {
		for _, load := range []float64{0.7, 0.95, 1.2} {
			t.Run(fmt.Sprintf("strict=%v/load=%.2f", strict, load), func(t *testing.T) {
				t.Parallel()
				comparePolicies(t, strict, load)
			})
		}
	}
}

// requestsVariable sets the number of requests of each run.
const requestsVariable = "SAMPHIREQUAY_SCHED_REQUESTS"

// requestCount is the number of requests of each run.
func requestCount(t *testing.T) int {
	text := os.Getenv(requestsVariable)
	if text == "" {
		return 800
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", requestsVariable, err)
	}
	return n
}

// compare measures every policy at one load.
func comparePolicies(t *testing.T, strict bool, load float64) {
	count := requestCount(t)
	is := is.New(t)
	results := map[string]result{}
	for _, p := range policies {
		var sum result
		for seed := range uint64(2) {
			sum = sum.add(p.run(t, seed, count, load*saturationRate, time.Second, strict))
		}
		results[p.name] = sum
		t.Logf("%-18s in time %5.1f%%, refused %5.1f%%, failed %5.2f%%, wasted prefills %5.2f%%", p.name,
			percentage(sum.inTime, sum.requested), percentage(sum.refused, sum.requested),
			percentage(sum.failed, sum.requested), percentage(sum.wasted, sum.prefills))
	}
	base := results["optimistic"]
	tolerant := results["ledger in time 0.2"]
	careful := results["ledger in time 0.8"]
	early := results["ledger early 0.2"]
	is.True(tolerant.inTime > base.inTime)                      // more goodput than choosing apart
	is.True(percentage(tolerant.wasted, tolerant.prefills) < 8) // within what 0.2 tolerates
	is.True(percentage(careful.wasted, careful.prefills) < 2)   // within what 0.8 tolerates
	is.True(tolerant.inTime >= careful.inTime || load < 0.9)    // risk buys goodput where slots are scarce
	is.True(careful.wasted <= tolerant.wasted)                  // and costs waste
	is.True(tolerant.inTime >= early.inTime || strict)          // in time beats early where KV may wait
	is.Equal(early.wasted, 0)                                   // early reservation wastes nothing
	is.Equal(results["ledger in time 1.0"].wasted, 0)           // nor does full weight
	is.Equal(tolerant.duplicates+careful.duplicates+early.duplicates+base.duplicates, 0)
}

// plus adds up two runs.
func (r result) add(o result) result {
	r.requested += o.requested
	r.answered += o.answered
	r.inTime += o.inTime
	r.refused += o.refused
	r.failed += o.failed
	r.prefills += o.prefills
	r.wasted += o.wasted
	r.duplicates += o.duplicates
	return r
}

// share is a part in per cent.
func percentage(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
