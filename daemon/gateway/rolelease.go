package gateway

import (
	"time"

	"github.com/samphirequay/samphirequay/core/lease"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// Halt makes the daemon stop trusting the lease immediately.
func (o *orderer) Halt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease != nil {
		// The returned actions are ignored: the next order checks the lease itself.
		o.lease.Halt(o.d.now())
	}
}

// leaseConfig separates the orders of two holders: a holder stops trusting its lease
// Bounds.LeaseMS and two order timeouts before another daemon may take it.
func (o *orderer) leaseConfig() lease.Config {
	apart := Milliseconds(o.d.set.Bounds.LeaseMS)
	trust := apart
	cfg := lease.DefaultConfig()
	cfg.TTL = trust + apart + 2*orderTimeout
	cfg.Safety = float64(trust) / float64(cfg.TTL)
	cfg.RenewEvery = trust / 3
	cfg.WatchEvery = 500 * time.Millisecond
	cfg.FormerEnded = true
	return cfg
}

// maxOrderDelay returns the time after an order during which another holder must not
// send one.
func (o *orderer) maxOrderDelay() time.Duration {
	return Milliseconds(o.d.set.Bounds.LeaseMS) + orderTimeout
}

// releaseSafe reports whether another holder may send orders at once.
func (o *orderer) releaseSafe(now time.Duration) bool { return now >= o.releaseSafeAt }

// leaseWhileNeeded contends for the lease while there are orders to send, and releases
// it leaseIdleTimeout after the last one.
func (o *orderer) leaseWhileNeeded(now time.Duration) {
	needed := false
	for _, p := range o.pools {
		for _, c := range p.changes {
			needed = needed || !c.ordered
		}
	}
	if needed {
		o.idleSince = now
	}
	switch {
	case needed && o.lease == nil:
		o.mu.Lock()
		o.lease = lease.New(o.leaseConfig(), leaseRoles, o.f.self, now, o.d.newRand())
		o.gate = lease.NewOrderGate(lease.GateConfig{MaxOrderDelay: o.maxOrderDelay(), LapseExceedsOrderDelay: true}, o.lease)
		o.mu.Unlock()
	case !needed && o.lease != nil && now-o.idleSince >= leaseIdleTimeout && o.releaseSafe(now):
		o.releaseLease(now)
	}
}

func (o *orderer) releaseLease(now time.Duration) {
	if o.lease == nil {
		return
	}
	o.mu.Lock()
	actions := o.lease.Release(now, o.releaseSafe(now))
	o.mu.Unlock()
	o.perform(now, actions)
}

func (o *orderer) tickLease(now time.Duration) {
	if o.lease == nil {
		return
	}
	o.mu.Lock()
	actions := o.lease.Tick(now)
	stopped := o.lease.Stopped()
	o.mu.Unlock()
	o.perform(now, actions)
	if stopped {
		o.mu.Lock()
		o.lease, o.gate = nil, nil
		o.mu.Unlock()
	}
}

// perform carries out the actions that the lease returned.
func (o *orderer) perform(now time.Duration, actions []lease.Action) {
	for _, a := range actions {
		switch {
		case a.Request != nil:
			o.runRequest(*a.Request)
		case a.Acquired != nil:
			o.mu.Lock()
			// Consecutive fencing numbers: no other process held the lease in
			// between, so only orders of this process can be in flight.
			a.Acquired.Own = o.lastFence != 0 && a.Acquired.Fence == o.lastFence+1
			o.lastFence = a.Acquired.Fence
			o.gate.Acquired(now, *a.Acquired)
			o.mu.Unlock()
			o.fence.Set(float64(a.Acquired.Fence))
			o.d.logger.Event("role_lease_acquired", "fence", a.Acquired.Fence, "previous", a.Acquired.Previous)
		case a.Lost != nil:
			o.fence.Set(0)
			o.d.logger.Event("role_lease_lost", "fence", a.Lost.Fence, "why", a.Lost.Reason)
		}
	}
}

func (o *orderer) runRequest(q table.Request) {
	requester := o.lease
	o.store.Do(o.duty.Context(), q, func(reply table.Reply) {
		o.duty.Post(func(now time.Duration) {
			if o.lease != requester {
				return
			}
			o.mu.Lock()
			actions := o.lease.Handle(now, reply)
			o.mu.Unlock()
			o.perform(now, actions)
		})
	})
}
