package broker

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
)

// SetMembers takes the live daemons, this one among them. A manager whose pool
// moved away is dropped: the askers tell the new owner of all that is in use.
func (b *Broker) SetMembers(members []id.Daemon) {
	b.duty.Post(func(now time.Duration) {
		b.output(now, b.asker.Members(now, members))
		for _, p := range b.sortedPools() {
			if !b.owns(p) {
				delete(b.managers, p)
			}
		}
		b.createOwnedManagers(now)
	})
}

// takeOwned makes the managers of the pools that this daemon owns: they settle
// while the other daemons tell them what is in use, not when the first request
// comes.
func (b *Broker) createOwnedManagers(now time.Duration) {
	for i := range b.doc.Pools {
		if p := b.doc.Pools[i].Name; b.owns(p) {
			b.manager(now, p)
		}
	}
}

// ProcessGone releases what a dead process held in this daemon's pools.
func (b *Broker) ProcessGone(p id.Process) {
	b.duty.Post(func(now time.Duration) {
		for _, name := range b.sortedPools() {
			b.actions(now, name, b.managers[name].ProcessGone(now, p))
		}
	})
}

// SetDocument takes a new configuration.
func (b *Broker) SetDocument(doc *live.Document) {
	b.duty.Post(func(now time.Duration) {
		b.doc = doc
		b.configured = poolNames(doc)
		for _, p := range b.sortedPools() {
			if !b.configured[p] {
				delete(b.managers, p)
				continue
			}
			b.actions(now, p, b.managers[p].Configure(now, doc))
		}
		b.createOwnedManagers(now)
	})
}

// Drain tells a pool's owner to keep new work off an endpoint, or let it in.
func (b *Broker) Drain(p id.Pool, e id.Endpoint, on bool) {
	b.duty.Post(func(now time.Duration) {
		b.sendTo(now, b.asker.Owner(p), &Envelope{Drain: &Drain{Pool: p, Endpoint: e, On: on}})
	})
}

// Load takes an endpoint's report for one of its pools.
func (b *Broker) Load(p id.Pool, l sched.Load) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.actions(now, p, b.manager(now, p).Load(now, l))
		}
	})
}

// Holding takes the requests that an endpoint holds, by its own list.
func (b *Broker) Holding(p id.Pool, e id.Endpoint, held map[id.Request]bool) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.actions(now, p, b.manager(now, p).Holding(now, e, held))
		}
	})
}

// Cache takes an endpoint's cache events for one of its pools.
func (b *Broker) Cache(p id.Pool, e id.Endpoint, events []sched.CacheEvent, gap bool) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.manager(now, p).Cache(now, e, events, gap)
		}
	})
}

// schedules is true for the owner of a pool, and for a daemon that others take
// for it and so send their Wants.
func (b *Broker) schedules(p id.Pool) bool { return b.owns(p) || b.managers[p] != nil }

// Scheduled lists those of the pools that this daemon schedules.
func (b *Broker) Scheduled(pools []id.Pool) []id.Pool {
	var out []id.Pool
	b.duty.Query(func(time.Duration) {
		for _, p := range pools {
			if b.schedules(p) {
				out = append(out, p)
			}
		}
	})
	return out
}

func (b *Broker) owns(p id.Pool) bool { return b.asker.Owner(p) == b.cfg.Self.Daemon }

// Owners returns the daemon that schedules each of the pools, as this daemon
// sees it.
func (b *Broker) Owners(pools []id.Pool) []id.Daemon {
	owners := make([]id.Daemon, len(pools))
	b.duty.Query(func(time.Duration) {
		for i, p := range pools {
			owners[i] = b.asker.Owner(p)
		}
	})
	return owners
}

// Demand is what the roles of a pool have to do; ok is false for a pool that
// this daemon does not own, or whose scheduler does not tell.
func (b *Broker) Demand(p id.Pool) (d sched.Demand, ok bool) {
	b.duty.Query(func(now time.Duration) {
		if m := b.managers[p]; m != nil && b.owns(p) {
			d, ok = m.Demand(now)
		}
	})
	return d, ok
}

// Pools reads the state of the pools that this daemon owns.
func (b *Broker) Pools() []pool.Status {
	var out []pool.Status
	b.duty.Query(func(now time.Duration) {
		for _, p := range b.sortedPools() {
			out = append(out, b.managers[p].Status(now))
		}
	})
	return out
}

func (b *Broker) sortedPools() []id.Pool {
	pools := make([]id.Pool, 0, len(b.managers))
	for p := range b.managers {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	return pools
}

// manager returns the manager of a pool, making it on the first message: the
// sender takes this daemon for the owner.
func (b *Broker) manager(now time.Duration, p id.Pool) *pool.Manager {
	m, ok := b.managers[p]
	if ok {
		return m
	}
	m = b.cfg.NewManager(p)
	b.managers[p] = m
	b.actions(now, p, m.Configure(now, b.doc))
	return m
}

func poolNames(doc *live.Document) map[id.Pool]bool {
	names := make(map[id.Pool]bool, len(doc.Pools))
	for i := range doc.Pools {
		names[doc.Pools[i].Name] = true
	}
	return names
}
