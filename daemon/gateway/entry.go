package gateway

import (
	"math/rand/v2"
	"slices"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// maxEntryAddresses bounds the addresses in an entry answer. Callers pick one of them
// at random, so the answer contains all daemons of a fleet of up to this size.
const maxEntryAddresses = 64

// ready reports whether the daemon accepts requests, and the reason if it does not.
func (d *Daemon) ready() (bool, string) {
	switch {
	case d.stopping.Load() != nil:
		return false, "leaving"
	case d.tables.current().Routes == nil:
		return false, "no configuration yet"
	case d.fleet.Load() == nil:
		return false, "not enrolled in the fleet yet"
	case !d.evidenceGate.isOpen():
		return false, "crash evidence of the other daemons not known yet"
	}
	if ok, why := d.accepting(); !ok {
		return false, why
	}
	return true, "ready"
}

// entryAnswer returns the addresses that a caller should use. It returns false if the
// daemon has not enrolled or knows no address.
func (d *Daemon) entryAnswer() (entry.Answer, bool) {
	f := d.fleet.Load()
	if f == nil {
		return entry.Answer{}, false
	}
	lifetime := d.set.entryLifetime()
	cfg := entry.Config{Lifetime: lifetime, MinLifetime: lifetime, MaxAddresses: maxEntryAddresses}
	// Each call has its own random source, since calls run concurrently.
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	answer := entry.NewAnswer(cfg, d.candidates(f), f.self.Daemon, rng)
	if s := d.stopping.Load(); s != nil && containsDaemon(answer, f.self.Daemon) {
		s.RecordNamed(d.now())
	}
	return answer, len(answer.Addresses) > 0
}

func containsDaemon(a entry.Answer, self id.Daemon) bool {
	return slices.ContainsFunc(a.Addresses, func(x entry.Address) bool { return x.Daemon == self })
}

// candidates returns the daemons that can serve callers: the daemon itself and those
// that have a configuration. Daemons whose configuration may be too old to check keys
// are left out, unless that holds for all that are alive.
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

// count counts the daemons of the fleet as the quotas need it.
func (f *fleet) count() quotas.Fleet { return quotas.CountFleet(f.members.Entries()) }

// daemons returns the number of daemons that share the fleet-wide bounds. It includes
// silent daemons, which may still be serving requests.
func (d *Daemon) daemons() int {
	f := d.fleet.Load()
	if f == nil {
		return 1
	}
	return max(1, f.count().Daemons)
}
