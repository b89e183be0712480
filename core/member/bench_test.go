package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkFleet measures the cost of one daemon in a converged fleet: bytes sent
// per second (CBOR, without transport headers) and the processing time per period,
// without encoding.
func BenchmarkFleet(b *testing.B) {
	for _, mode := range []Mode{Mesh, Partial} {
		for _, n := range []int{9, 60, 120, 420} {
			b.Run(fmt.Sprintf("%s/%d", mode, n), func(b *testing.B) {
				f := newFleet(mode, n, 5, 1)
				took, _ := f.until(2*time.Minute, f.converged)
				f.run(30 * time.Second) // until the updates of the start have been sent
				f.count = true
				f.run(10 * time.Second)
				f.count = false
				daemonSeconds := 10 * float64(n)
				b.ResetTimer()
				for b.Loop() {
					f.run(f.cfg.Period)
				}
				b.ReportMetric(float64(f.bytes)/daemonSeconds, "bytes/s/daemon")
				b.ReportMetric(float64(f.messages)/daemonSeconds, "msgs/s/daemon")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "µs/period/daemon")
				b.ReportMetric(took.Seconds(), "s-to-meet")
			})
		}
	}
}

// BenchmarkDetection measures the time until the first daemon, and until all
// daemons, declare a killed daemon dead.
func BenchmarkDetection(b *testing.B) {
	for _, mode := range []Mode{Mesh, Partial} {
		for _, n := range []int{9, 60, 120, 420} {
			b.Run(fmt.Sprintf("%s/%d", mode, n), func(b *testing.B) {
				var first, all []time.Duration
				rng := rand.New(rand.NewPCG(5, 5))
				for b.Loop() {
					f := newFleet(mode, n, 5, rng.Uint64())
					f.until(2*time.Minute, f.converged)
					f.run(time.Duration(rng.Int64N(int64(time.Second))))
					victim := f.names[rng.IntN(n)]
					f.stopped[victim] = true
					start := f.now
					f.until(30*time.Second, func() bool { return f.states(victim)[Dead] > 0 })
					first = append(first, f.now-start)
					f.until(30*time.Second, func() bool { return f.allSeeOne(victim, Dead) })
					all = append(all, f.now-start)
				}
				b.ReportMetric(percentile(first, 0.5).Seconds(), "s-first-p50")
				b.ReportMetric(percentile(all, 0.5).Seconds(), "s-all-p50")
				b.ReportMetric(percentile(all, 1).Seconds(), "s-all-max")
			})
		}
	}
}
