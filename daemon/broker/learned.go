package broker

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/daemon/duty"
)

// handoverInterval is the interval at which the owner of a pool of calls tells the daemon
// that would be its next owner what it has learned of the endpoints: what was learned longer
// ago than some seconds is worth little.
const handoverInterval = 2 * time.Second

// Learned is what the owner of a pool has learned of its endpoints.
type Learned struct {
	Pool      id.Pool               `cbor:"1,keyasint"`
	Endpoints []concurrency.Learned `cbor:"2,keyasint"`
}

// learnedAt is what was received of an owner, and when.
type learnedAt struct {
	endpoints []concurrency.Learned
	at        time.Duration
}

// tellLearned sends what the managers have learned to the next owners, if that is due, and
// returns the time at which it is due again.
func (b *Broker) tellLearned(now time.Duration) time.Duration {
	if !b.learns() {
		return duty.Never
	}
	if now < b.tellAt {
		return b.tellAt
	}
	b.tellAt = now + handoverInterval
	for _, p := range b.sortedPools() {
		if next := b.requester.NextOwner(p); b.owns(p) && next != "" {
			b.sendLearned(now, next, p)
		}
	}
	return b.tellAt
}

// learns reports whether any pool's manager learns of its endpoints.
func (b *Broker) learns() bool {
	for _, m := range b.managers {
		if m.Learns() {
			return true
		}
	}
	return false
}

// sendLearned sends what a pool's manager has learned to a daemon.
func (b *Broker) sendLearned(now time.Duration, to id.Daemon, p id.Pool) {
	if learned := b.managers[p].Learned(now); len(learned) > 0 {
		b.sendTo(now, to, &Envelope{Learned: &Learned{Pool: p, Endpoints: learned}})
	}
}

// learn takes over what another owner of a pool has learned, now or when this daemon becomes
// its owner.
func (b *Broker) learn(now time.Duration, l *Learned) {
	if m := b.managers[l.Pool]; m != nil {
		m.Restore(now, l.Endpoints)
		return
	}
	b.learned[l.Pool] = learnedAt{endpoints: l.Endpoints, at: now}
}

// restore passes a new manager what was received for it.
func (b *Broker) restore(now time.Duration, p id.Pool, m *pool.Manager) {
	known, ok := b.learned[p]
	if !ok {
		return
	}
	delete(b.learned, p)
	endpoints := slices.Clone(known.endpoints)
	for i := range endpoints {
		endpoints[i].AgeMS += (now - known.at).Milliseconds()
	}
	m.Restore(now, endpoints)
}

// Calls returns the states of the pools of plain services that this daemon owns.
func (b *Broker) Calls() []pool.CallStatus {
	var out []pool.CallStatus
	b.duty.Query(func(now time.Duration) {
		for _, p := range b.sortedPools() {
			if s, ok := b.managers[p].CallStatus(now); ok && b.owns(p) {
				out = append(out, s)
			}
		}
	})
	return out
}
