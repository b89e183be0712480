package sched

import "time"

// slotFilter keeps pairs whose decode slot is free now or predicted to be free
// when the prefill ends. The service's risk sets the margin added to the
// prediction; a start that is too early is delayed until the slot is expected.
type slotFilter struct{}

func (slotFilter) name() string { return "slot" }

func (slotFilter) keepPair(c *cycle, p *pair) bool {
	p.delay = 0
	p.wait = 0
	p.deviation = 0
	at, deviation, ok := p.decode.slotFreeAt(c.now)
	if !ok {
		return false
	}
	if p.decode.free(c.now) > 0 {
		return true
	}
	if mustBeFree(c, p) {
		return false
	}
	safe := at + c.service.estimate.risk.margin(deviation, c.options.KVLife)
	p.delay = max(0, safe-p.prefillEnd())
	p.wait = max(0, at-p.prefillEnd())
	p.deviation = deviation
	return p.prefill.start+p.delay-c.now <= c.options.Horizon+queueAhead(c, p)
}

// mustBeFree is true if the request needs a slot that is free now: a plain call,
// a new owner's settling period, early reservation or a high waste weight.
func mustBeFree(c *cycle, p *pair) bool {
	if p.prefill.endpoint == nil || c.settling {
		return true
	}
	return c.options.Reservation == Early || c.service.wasteWeight >= c.options.FreeSlotWaste
}

// queueAhead returns the time that the prefill waits for earlier prefills.
func queueAhead(c *cycle, p *pair) time.Duration {
	return max(0, p.prefill.start-c.now)
}
