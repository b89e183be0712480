package gateway

import (
	"math/rand/v2"
	"slices"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// maxNamed bounds the addresses of an entry answer; callers pick among them at
// random, so that all daemons are named where they are not too many.
const maxEntryAddresses = 64

// ready says whether the daemon takes requests, and if not, why.
func (d *Daemon) ready() (bool, string) {
	switch {
	case d.stopping.Load() != nil:
		return false, "leaving"
	case d.tables.current().Routes == nil:
		return false, "no configuration yet"
	case d.fleet.Load() == nil:
		return false, "not enrolled in the fleet yet"
	default:
		return true, "ready"
	}
}

// entryAnswer tells a caller which addresses to use.
func (d *Daemon) entryAnswer() (entry.Answer, bool) {
	f := d.fleet.Load()
	if f == nil {
		return entry.Answer{}, false
	}
	lifetime := d.set.entryLifetime()
	cfg := entry.Config{Lifetime: lifetime, MinLifetime: lifetime, MaxAddresses: maxEntryAddresses}
	// The random source of a call is its own: callers ask at the same time.
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	answer := entry.Make(cfg, d.candidates(f), f.self.Daemon, rng)
	if s := d.stopping.Load(); s != nil && containsDaemon(answer, f.self.Daemon) {
		s.Named(d.now())
	}
	return answer, len(answer.Addresses) > 0
}

func containsDaemon(a entry.Answer, self id.Daemon) bool {
	return slices.ContainsFunc(a.Addresses, func(x entry.Address) bool { return x.Daemon == self })
}

// candidates are the daemons that can serve: those that have a configuration, and
// unless none is left know that it is fresh enough to take keys.
func (d *Daemon) candidates(f *fleet) []entry.Candidate {
	var out []entry.Candidate
	entries := f.members.Entries()
	allStale := !slices.ContainsFunc(entries, func(e member.Entry) bool { return e.State == member.Alive && !e.Stale })
	for _, e := range entries {
		if e.Revision == 0 && e.Process.Daemon != f.self.Daemon {
			continue
		}
		if e.Stale && !allStale {
			continue
		}
		out = append(out, entry.Candidate{
			Daemon:  e.Process.Daemon,
			Domain:  e.Domain,
			Address: e.CallerAddress,
			State:   e.State,
		})
	}
	return out
}

// count counts the daemons of the fleet.
func (f *fleet) count() quotas.Fleet { return quotas.Count(f.members.Entries()) }

// daemons is how many daemons share the bounds that hold for all together. One
// that is silent may still be at work.
func (d *Daemon) daemons() int {
	f := d.fleet.Load()
	if f == nil {
		return 1
	}
	return max(1, f.count().Daemons)
}
