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

// saturationRate is the rate, in requests a second, at which all 22 decode slots
// of the simulation are in use: each request holds a slot for about 0.52 s.
const saturationRate = 42.0

// policy is a scheduling policy with its configuration.
type policy struct {
	name         string
	shared       bool
	wasteWeight  float64
	newScheduler func(o sched.Options) sched.Scheduler
	reservation  sched.Reservation
}

// policies are the compared policies.
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

// run simulates a policy at a request rate.
func (p policy) run(t *testing.T, seed uint64, count int, rate float64, patience time.Duration, strict bool) result {
	t.Helper()
	number := uint64(0)
	s := newSimulation(document(p.wasteWeight, patience), seed, p.shared, func() sched.Scheduler {
		number++
		return p.newScheduler(sched.Options{
			Pool:        pool,
			Self:        id.Process{Daemon: "d", Incarnation: id.Incarnation(number)},
			Seed:        seed*100 + number,
			Reservation: p.reservation,
			Violation:   func(name, detail string) { t.Errorf("%s: %s: %s", p.name, name, detail) },
		})
	})
	s.strict = strict
	return s.run(count, rate)
}

// TestLedgerAndNaiveAnswerTheSame is a differential test: without faults and
// within capacity every policy answers each request exactly once.
func TestLedgerAndNaiveAnswerTheSame(t *testing.T) {
	const count = 500
	for _, p := range policies {
		for seed := range uint64(3) {
			is := is.New(t)
			r := p.run(t, seed, count, saturationRate/8, time.Minute, false)
			t.Logf("%s, seed %d: %+v", p.name, seed, r)
			is.Equal(r.requested, count)
			is.Equal(r.answered, count)
			is.Equal(r.duplicates, 0)
			is.Equal(r.refused, 0)
		}
	}
}

// TestPoliciesCompared measures goodput and wasted prefills below and above the
// pool's capacity, with a patience of one second, on engines that refuse a KV
// cache while all slots are in use and on engines that queue it.
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

// requestsVariable is the environment variable that sets the number of requests of
// each run.
const requestsVariable = "SAMPHIREQUAY_SCHED_REQUESTS"

// requestCount returns the number of requests of each run.
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

// comparePolicies simulates every policy at one load, as a fraction of
// saturationRate.
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
	is.True(tolerant.inTime > base.inTime)                      // more goodput than daemons that schedule independently
	is.True(percentage(tolerant.wasted, tolerant.prefills) < 8) // within the limit of weight 0.2
	is.True(percentage(careful.wasted, careful.prefills) < 2)   // within the limit of weight 0.8
	is.True(tolerant.inTime >= careful.inTime || load < 0.9)    // a lower weight gains goodput when slots are scarce
	is.True(careful.wasted <= tolerant.wasted)                  // but wastes more prefills
	is.True(tolerant.inTime >= early.inTime || strict)          // reserving in time gives no less goodput than early if a KV cache may wait
	is.Equal(early.wasted, 0)                                   // early reservation wastes no prefill
	is.Equal(results["ledger in time 1.0"].wasted, 0)           // nor does weight 1
	is.Equal(tolerant.duplicates+careful.duplicates+early.duplicates+base.duplicates, 0)
}

// add returns the sum of two results.
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

// percentage returns part as a percentage of whole.
func percentage(part, whole int) float64 { return 100 * float64(part) / float64(max(1, whole)) }
