package broker

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
)

// SetMembers sets the live daemons, including this one. The manager of a pool that has
// another owner now is dropped: the requesters report to the new owner what is in use.
func (b *Broker) SetMembers(members []id.Daemon) {
	b.duty.Post(func(now time.Duration) {
		b.output(now, b.requester.SetMembers(now, members))
		for _, p := range b.sortedPools() {
			if !b.owns(p) {
				b.sendLearned(now, b.requester.Owner(p), p)
				delete(b.managers, p)
			}
		}
		b.createOwnedManagers(now)
	})
}

// createOwnedManagers creates the managers of the pools that this daemon owns. Created
// in advance, a manager learns from the other daemons what is in use before the first
// request, instead of delaying that request.
func (b *Broker) createOwnedManagers(now time.Duration) {
	for i := range b.doc.Pools {
		if p := b.doc.Pools[i].Name; b.owns(p) {
			b.manager(now, p)
		}
	}
}

// ProcessGone releases the grants of a dead process in this daemon's pools.
func (b *Broker) ProcessGone(p id.Process) {
	b.duty.Post(func(now time.Duration) {
		for _, name := range b.sortedPools() {
			b.actions(now, name, b.managers[name].ProcessGone(now, p))
		}
	})
}

// SetDocument applies a new configuration.
func (b *Broker) SetDocument(doc *live.Document) {
	b.duty.Post(func(now time.Duration) { b.setDocument(now, doc) })
}

func (b *Broker) setDocument(now time.Duration, doc *live.Document) {
	former := b.doc
	b.doc = doc
	b.configured = poolNames(doc)
	maps.DeleteFunc(b.learned, func(p id.Pool, _ learnedAt) bool { return !b.configured[p] })
	for _, p := range b.sortedPools() {
		if !b.configured[p] || isPlain(former, p) != isPlain(doc, p) {
			delete(b.managers, p)
			continue
		}
		b.actions(now, p, b.managers[p].Configure(now, doc))
	}
	b.createOwnedManagers(now)
}

// isPlain reports whether a pool has a plain service, whose scheduler differs from that of
// engines.
func isPlain(doc *live.Document, p id.Pool) bool {
	return slices.ContainsFunc(doc.Services, func(s live.Service) bool { return s.Pool == p && s.Type == live.ServicePlain })
}

// Drain makes a pool's owner stop new work for an endpoint, or allow it again.
func (b *Broker) Drain(p id.Pool, e id.Endpoint, on bool) {
	b.duty.Post(func(now time.Duration) {
		b.sendTo(now, b.requester.Owner(p), &Envelope{Drain: &Drain{Pool: p, Endpoint: e, On: on}})
	})
}

// Load applies an endpoint's load report for one of its pools.
func (b *Broker) Load(p id.Pool, l sched.Load) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.actions(now, p, b.manager(now, p).Load(now, l))
		}
	})
}

// Holding applies an endpoint's report of the requests that it holds.
func (b *Broker) Holding(p id.Pool, e id.Endpoint, held map[id.Request]bool) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.actions(now, p, b.manager(now, p).ReconcileHeld(now, e, held))
		}
	})
}

// Cache applies an endpoint's cache events for one of its pools.
func (b *Broker) Cache(p id.Pool, e id.Endpoint, events []sched.CacheEvent, gap bool) {
	b.duty.Post(func(now time.Duration) {
		if b.schedules(p) {
			b.manager(now, p).Cache(now, e, events, gap)
		}
	})
}

// schedules reports whether this daemon schedules a pool: it is the owner, or other
// daemons consider it the owner and send it their Wants.
func (b *Broker) schedules(p id.Pool) bool { return b.owns(p) || b.managers[p] != nil }

// Scheduled returns those of the pools that this daemon schedules.
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

func (b *Broker) owns(p id.Pool) bool { return b.requester.Owner(p) == b.cfg.Self.Daemon }

// Owners returns the owner of each of the pools, by this daemon's view of the
// membership.
func (b *Broker) Owners(pools []id.Pool) []id.Daemon {
	owners := make([]id.Daemon, len(pools))
	b.duty.Query(func(time.Duration) {
		for i, p := range pools {
			owners[i] = b.requester.Owner(p)
		}
	})
	return owners
}

// Demand returns the demand for the roles of a pool; ok is false for a pool that this
// daemon does not own, or whose scheduler does not report it.
func (b *Broker) Demand(p id.Pool) (d sched.Demand, ok bool) {
	b.duty.Query(func(now time.Duration) {
		if m := b.managers[p]; m != nil && b.owns(p) {
			d, ok = m.Demand(now)
		}
	})
	return d, ok
}

// Pools returns the status of the pools that this daemon schedules.
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

// manager returns the manager of a pool. It creates it on the first message, whose
// sender considers this daemon the owner.
func (b *Broker) manager(now time.Duration, p id.Pool) *pool.Manager {
	m, ok := b.managers[p]
	if ok {
		return m
	}
	m = b.cfg.NewManager(p)
	b.managers[p] = m
	b.actions(now, p, m.Configure(now, b.doc))
	b.restore(now, p, m)
	return m
}

func poolNames(doc *live.Document) map[id.Pool]bool {
	names := make(map[id.Pool]bool, len(doc.Pools))
	for i := range doc.Pools {
		names[doc.Pools[i].Name] = true
	}
	return names
}
