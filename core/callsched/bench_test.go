package callsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// benchmarkCalls measures the life of a call in the ledger, want, grant and end, while every
// place is in use and so many calls wait.
func benchmarkCalls(b *testing.B, endpoints, teams, queued int) {
	var weights []live.Team
	for i := range teams {
		weights = append(weights, live.Team{Name: id.Team(fmt.Sprint(i)), Weight: 1})
	}
	l := New(Options{Pool: "p", Self: daemon})
	l.Configure(0, document(endpoints, weights...))
	now := time.Second
	var running []*sched.Grant
	send := func(n int) {
		w := want(fmt.Sprint(n))
		w.Team = id.Team(fmt.Sprint(n % teams))
		w.Target, w.Patience, w.Lifetime = time.Hour, time.Hour, time.Hour
		running = appendGrants(running, l.Want(now, w))
	}
	sent := 0
	for len(l.queue) < queued || len(running) == 0 {
		send(sent)
		sent++
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now += ms / 5
		g := running[0]
		running = running[1:]
		end := sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseDone, ServiceTime: 50 * ms}
		running = appendGrants(running, l.Progress(now, end))
		send(sent)
		sent++
	}
}

func appendGrants(grants []*sched.Grant, actions []sched.Action) []*sched.Grant {
	for _, a := range actions {
		if a.Grant != nil {
			grants = append(grants, a.Grant)
		}
	}
	return grants
}

// BenchmarkCalls measures the cost of a call in the ledger.
func BenchmarkCalls(b *testing.B) {
	for _, s := range [][3]int{{3, 16, 0}, {3, 16, 50}, {60, 16, 50}, {60, 400, 500}} {
		b.Run(fmt.Sprintf("endpoints=%d/teams=%d/queued=%d", s[0], s[1], s[2]), func(b *testing.B) {
			benchmarkCalls(b, s[0], s[1], s[2])
		})
	}
}
