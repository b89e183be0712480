package gateway

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/freshness"
)

const (
	// walledWait takes the place of feedWait for the configuration where there are
	// teams: a reader's proof that it is the newest is as old as the reader's last
	// call to the store.
	teamsConfigWait = 800 * time.Millisecond
	// revokeMargin is kept free of the bound on revoked keys.
	revokeMargin = 50 * time.Millisecond
	// staleShare of that bound may pass until a daemon sends callers elsewhere:
	// what they were told is good for a while.
	staleFraction = 0.7
	// behindAfter is how old the configuration may be for an unknown key to be
	// taken for one that nobody has.
	unknownKeyMaxAge = 2500 * time.Millisecond
	// refreshPause is the least time between two reads for unknown keys.
	refreshInterval = 2 * time.Second
	// timeEvery is the time between two looks at the store's clock.
	clockReadInterval = 10 * time.Minute
)

// configFreshness is how old the configuration may be. It is safe for concurrent
// use.
type configFreshness struct {
	mu      sync.Mutex
	tracker freshness.Tracker
	// refreshAt is when the next read for unknown keys may begin.
	refreshAt time.Duration
}

func (c *configFreshness) setVersion(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.InForce(version)
}

func (c *configFreshness) sample(sent, received, shown time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Sample(sent, received, shown)
}

func (c *configFreshness) confirm(since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Confirm(since)
}

func (c *configFreshness) learn(now time.Duration, p freshness.Proof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Learn(now, p)
}

// proof is the one to hand on; nil for none.
func (c *configFreshness) proof() *freshness.Proof {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.tracker.Newest()
	if !ok {
		return nil
	}
	return &p
}

// age is how old the configuration may be; ok is false where that is not known.
func (c *configFreshness) age(now time.Duration) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, ok := c.tracker.Since()
	return now - since, ok
}

func (c *configFreshness) behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Behind()
}

// mayRefresh says whether it is time for another read for unknown keys.
func (c *configFreshness) mayRefresh(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now < c.refreshAt {
		return false
	}
	c.refreshAt = now + refreshInterval
	return true
}

// walled says whether the configuration in force has teams.
func (d *Daemon) hasTeams() bool {
	routes := d.tables.current().Routes
	return routes != nil && routes.Walled()
}

// configWait is how long a call waits for a change of the configuration.
func (d *Daemon) configWait() time.Duration {
	if d.hasTeams() {
		return teamsConfigWait
	}
	return feedWait
}

// configConfirmed notes that the store had nothing newer when a call began. Those
// that read for others tell them.
func (d *Daemon) configConfirmed(since time.Duration) {
	d.freshness.confirm(since)
	f := d.fleet.Load()
	if f == nil || !f.broadcasts.Load() {
		return
	}
	p := d.proofToSend()
	if p == nil {
		return
	}
	for _, other := range f.members.Others() {
		// What is lost comes with the next heartbeats.
		_ = f.transport.Datagram(other, kindProof, p)
	}
}

// proofToTell is what other daemons are told of the configuration in force; nil
// where there are no teams, or nothing is proved.
func (d *Daemon) proofToSend() *freshness.Proof {
	if !d.hasTeams() {
		return nil
	}
	return d.freshness.proof()
}

func (d *Daemon) learnProof(p freshness.Proof) { d.freshness.learn(d.now(), p) }

// keepTime looks at the store's clock now and then: the daemon's own runs at
// another pace.
func (d *Daemon) syncStoreClock() {
	d.every(clockReadInterval, func() {
		if _, err := d.read(keyAuthority); err != nil {
			d.logger.Warn("store_clock_not_read", "why", err)
		}
	})
}

// stale says whether callers with keys had better go to other daemons.
func (d *Daemon) stale() bool {
	if !d.hasTeams() || d.set.Bounds.RevokeMS == 0 {
		return false
	}
	age, ok := d.freshness.age(d.now())
	return !ok || age > time.Duration(staleFraction*float64(Milliseconds(d.set.Bounds.RevokeMS)))
}

// freshnessOf implements forward.Freshness.
type freshnessAdapter struct{ d *Daemon }

// Fresh implements forward.Freshness.
func (f freshnessAdapter) Fresh() (bool, time.Duration) {
	age, ok := f.d.freshness.age(f.d.now())
	if f.d.set.Bounds.RevokeMS == 0 {
		return true, age
	}
	return ok && age <= Milliseconds(f.d.set.Bounds.RevokeMS)-revokeMargin, age
}

// Behind implements forward.Freshness.
func (f freshnessAdapter) Behind() bool {
	age, ok := f.d.freshness.age(f.d.now())
	return !ok || age > unknownKeyMaxAge || f.d.freshness.behind()
}

// Refresh implements forward.Freshness. While the store does not answer it is
// asked again and again anyway.
func (f freshnessAdapter) Refresh() {
	if !f.d.configs.Lost() && f.d.freshness.mayRefresh(f.d.now()) {
		f.d.configs.Refresh()
	}
}
