package sched

// domainScorer prefers to stay within a failure domain, primarily for the
// transfer and to a lesser degree for the path to the caller.
type domainScorer struct{}

// callerShare is the weight of the path to the caller relative to the transfer.
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
