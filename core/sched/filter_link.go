package sched

import "time"

// linkFilter keeps pairs whose transfer is predicted to end within the lifetime
// of the KV cache without making another transfer late.
type linkFilter struct{}

func (linkFilter) name() string { return "link" }

func (linkFilter) keepPair(c *cycle, p *pair) bool {
	if p.link == nil {
		return true
	}
	took, fits := c.predictTransfer(p.link, p.prefillEnd())
	p.transfer = took
	return fits
}

// predictTransfer predicts a transfer and caches the result for each link and
// start.
func (c *cycle) predictTransfer(l *link, start time.Duration) (time.Duration, bool) {
	for _, m := range c.memo {
		if m.link == l && m.start == start {
			return m.took, m.fits
		}
	}
	took, fits := l.fits(c.now, start, c.kvBytes, c.options.KVLife)
	c.memo = append(c.memo, linkMemo{link: l, start: start, took: took, fits: fits})
	return took, fits
}
