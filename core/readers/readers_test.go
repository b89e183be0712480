package readers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/id"
)

// fleet lists n daemons in the given number of failure domains.
func fleet(n, domains int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{
			Daemon: id.Daemon(fmt.Sprintf("d%d", i)),
			Domain: id.Domain(fmt.Sprintf("z%d", i%domains)),
		})
	}
	return out
}

func without(all []Candidate, names ...id.Daemon) []Candidate {
	gone := map[id.Daemon]bool{}
	for _, n := range names {
		gone[n] = true
	}
	var out []Candidate
	for _, c := range all {
		if !gone[c.Daemon] {
			out = append(out, c)
		}
	}
	return out
}

func TestReadersAreInDifferentFailureDomains(t *testing.T) {
	is := is.New(t)
	for _, domains := range []int{3, 4, 5} {
		all := fleet(60, domains)
		seen := map[id.Domain]bool{}
		for _, d := range Choose(all) {
			for _, c := range all {
				if c.Daemon == d {
					seen[c.Domain] = true
				}
			}
		}
		is.Equal(len(seen), Count)
	}
	is.Equal(len(Choose(fleet(9, 1))), Count) // a single domain suffices
	is.Equal(len(Choose(fleet(2, 2))), 2)
}

func TestDaemonWithoutTheStoreIsNotChosen(t *testing.T) {
	is := is.New(t)
	all := fleet(9, 4)
	first := Choose(all)[0]
	for i := range all {
		all[i].StoreLost = all[i].Daemon == first
	}
	chosen := Choose(all)
	is.Equal(len(chosen), Count)
	for _, d := range chosen {
		is.True(d != first)
	}
}

func TestDaemonReadsUntilOthersAreChosenForSettleTime(t *testing.T) {
	is := is.New(t)
	all := fleet(9, 4)
	chosen := Choose(all)
	var idle id.Daemon
	for _, c := range all {
		if !slices.Contains(chosen, c.Daemon) {
			idle = c.Daemon
		}
	}
	d := NewDecision(idle)
	d.Decide(0, all[:1], false)
	is.True(d.Decide(startupWait, all[:1], false)) // it has discovered no other daemon yet
	is.True(d.Broadcasts())
	discovered := startupWait + time.Second
	is.True(d.Decide(discovered, all, false))
	is.True(!d.Broadcasts()) // it reads for itself only: the others were chosen just now
	is.True(d.Decide(discovered+settleTime-1, all, false))
	is.True(!d.Decide(discovered+settleTime, all, false))
	// Two readers fail and are replaced: the daemon reads only if it is one of the
	// replacements.
	left := without(all, chosen[0], chosen[1])
	is.Equal(d.Decide(10*time.Second, left, false), slices.Contains(Choose(left), idle))
	// All others fail: the daemon reads at once.
	is.True(d.Decide(20*time.Second, []Candidate{{Daemon: idle}}, false))
}

func TestChosenDaemonKeepsReading(t *testing.T) {
	is := is.New(t)
	all := fleet(9, 4)
	d := NewDecision(Choose(all)[0])
	d.Decide(0, all, false)
	for s := range 100 {
		is.True(d.Decide(startupWait+time.Duration(s)*time.Second, all, false))
		is.True(d.Broadcasts())
	}
}

// When a whole fleet starts, daemons must not follow the store until they have
// discovered one another: each change of its tables would cost a call per daemon.
func TestOnlyCountDaemonsReadWhileTheFleetStarts(t *testing.T) {
	is := is.New(t)
	all := fleet(60, 5)
	reading := map[id.Daemon]bool{}
	for _, c := range all {
		d := NewDecision(c.Daemon)
		for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
			known := all
			if now < time.Second {
				known = all[:1+int(now/(100*time.Millisecond))] // they discover one another within a second
			}
			if d.Decide(now, known, false) {
				reading[c.Daemon] = true
			}
			is.True(now >= startupWait || !d.Broadcasts())
		}
	}
	is.Equal(len(reading), Count)
}

// A reader sends each change to all other daemons, which takes a second on a slow
// link. So daemons on large hosts must be preferred.
func TestReadersAreOnTheLargestHosts(t *testing.T) {
	is := is.New(t)
	all := fleet(60, 5)
	large := map[id.Daemon]bool{}
	for i := range all {
		all[i].Capacity = capacity.Capacity{Cores: 0.192, LinkMbps: 10}
		if i%12 == 0 {
			all[i].Capacity = capacity.Capacity{Cores: 0.8, LinkMbps: 200}
			large[all[i].Daemon] = true
		}
	}
	for _, d := range Choose(all) {
		is.True(large[d])
	}
	// Two large hosts are fewer than Count: daemons on all hosts may read.
	few := slices.DeleteFunc(slices.Clone(all), func(c Candidate) bool { return large[c.Daemon] && c.Daemon != "d0" && c.Daemon != "d12" })
	is.Equal(len(Choose(few)), Count)
}
