package sched

// domainScorer prefers to stay within a failure domain: most of all for the
// transfer, and a little for the way to the caller.
type domainScorer struct{}

// callerShare is what the way to the caller counts against the transfer.
const callerShare = 0.2

func (domainScorer) name() string { return "domain" }

func (domainScorer) score(c *cycle, p *pair) float64 {
	bonus := c.options.DomainBonus.Seconds()
	total := 0.0
	if p.prefill.endpoint != nil && p.prefill.endpoint.domain == p.decode.domain {
		total += bonus
	}
	if p.decode.domain == c.want.Domain {
		total += bonus * callerShare
	}
	return total
}
