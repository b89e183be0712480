package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
)

// nineCandidates returns nine hosts in four failure domains, one of which has a
// single host.
func nineCandidates() []Candidate {
	domains := []id.Domain{"a", "a", "a", "b", "b", "c", "c", "c", "d"}
	out := make([]Candidate, len(domains))
	for i, d := range domains {
		name := id.Daemon(fmt.Sprintf("h%d", i))
		out[i] = Candidate{Daemon: name, Domain: d, Address: "10.0.0.1:" + fmt.Sprint(i+1), State: member.Alive}
	}
	return out
}

func source() *rand.Rand { return rand.New(rand.NewPCG(4, 2)) }

func TestCallersSpreadEvenlyOverHosts(t *testing.T) {
	is := is.New(t)
	first := map[id.Daemon]int{}
	rng := source()
	for range 9000 {
		a := NewAnswer(DefaultConfig(), nineCandidates(), "h0", rng)
		first[a.Addresses[0].Daemon]++
		is.Equal(len(a.Addresses), 6)
		domains := map[id.Domain]bool{}
		for _, address := range a.Addresses[:4] {
			domains[address.Domain] = true
		}
		is.Equal(len(domains), 4) // the first four are in four domains
	}
	for _, c := range nineCandidates() {
		is.True(first[c.Daemon] > 850 && first[c.Daemon] < 1150)
	}
}

func TestOnlyLiveHostsAreNamed(t *testing.T) {
	is := is.New(t)
	view := nineCandidates()
	view[1].State, view[2].State, view[3].State, view[4].State = member.Leaving, member.Dead, member.Partitioned, member.Paused
	view[5].State = member.Suspect
	view[6].StopsIn = 500 * time.Millisecond // too soon for any answer
	view[7].StopsIn = 4 * time.Second
	rng := source()
	for range 200 {
		a := NewAnswer(DefaultConfig(), view, "h0", rng)
		is.Equal(len(a.Addresses), 3)       // h0, h7, h8
		is.Equal(a.Lifetime, 4*time.Second) // shortened to the announced stop
	}
	for i := range view {
		view[i].State = member.Leaving
	}
	a := NewAnswer(DefaultConfig(), view, "h0", rng)
	is.Equal(len(a.Addresses), 1) // the answering daemon is running
	is.Equal(a.Addresses[0].Daemon, id.Daemon("h0"))
}

func TestBusyHostsAreDrawnLessOften(t *testing.T) {
	is := is.New(t)
	view := nineCandidates()
	view[0].InFlight = 1000
	first := map[id.Daemon]int{}
	rng := source()
	for range 9000 {
		first[NewAnswer(DefaultConfig(), view, "h0", rng).Addresses[0].Daemon]++
	}
	is.True(first["h0"] > 100 && first["h0"] < 450)
}

func TestStopWaitsForCachedAnswersCallersAndStreams(t *testing.T) {
	is := is.New(t)
	cfg := DefaultStopConfig()
	p := NewStopPlan(cfg, 0)
	end := cfg.PropagationDelay + cfg.Lifetime
	check := func(now time.Duration, inFlight int, want bool, why StopReason) {
		t.Helper()
		ok, reason := p.MayClose(now, inFlight)
		is.Equal(ok, want)
		is.Equal(reason, why)
	}
	check(end-1, 0, false, StopAnswers)
	check(end, 3, false, StopStreams)
	check(end, 0, true, StopDone)
	p.RecordCaller(end)
	check(end, 0, false, StopCallers)
	is.Equal(p.Earliest(), end+cfg.QuietPeriod)
	p.RecordNamed(end + time.Second)
	check(end+2*time.Second, 0, false, StopAnswers)
	check(cfg.MaxDuration, 3, true, StopLimit)
}

// Callers query a daemon that receives the announcement of a stop late, and use
// each answer until its lifetime ends. None may be sent to a closed daemon.
func TestNoCallerIsSentToAClosedDaemon(t *testing.T) {
	is := is.New(t)
	cfg, stop := DefaultConfig(), DefaultStopConfig()
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		plan := NewStopPlan(stop, 0)
		closesAt := plan.Earliest()
		for range 50 {
			askedAt := time.Duration(rng.Int64N(int64(20 * time.Second)))
			informedAt := time.Duration(rng.Int64N(int64(stop.PropagationDelay)))
			view := nineCandidates()
			if askedAt >= informedAt {
				view[3].State = member.Leaving
			}
			a := NewAnswer(cfg, view, "h0", rng)
			for _, address := range a.Addresses {
				is.True(address.Daemon != "h3" || askedAt+a.Lifetime <= closesAt)
			}
		}
	}
}
