package sched

import "time"

// slotFilter keeps pairs whose decode slot is free, or predicted to be free,
// when the prefill ends. The service's risk says how sure the prediction must
// be; a start that is somewhat early is delayed to meet the slot.
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

// mustBeFree is true where a predicted release isn't enough.
func mustBeFree(c *cycle, p *pair) bool {
	if p.prefill.endpoint == nil || c.settling {
		return true
	}
	return c.options.Reservation == Early || c.service.wasteWeight >= c.options.CertainWaste
}

// queueAhead is how long the prefill waits for those before it.
func queueAhead(c *cycle, p *pair) time.Duration {
	return max(0, p.prefill.start-c.now)
}
