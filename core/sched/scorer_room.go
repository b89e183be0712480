package sched

// roomWeight is the score of an empty decode endpoint, in seconds.
const roomWeight = 0.002

// roomScorer spreads work over the decode endpoints by their free slots.
type roomScorer struct{}

func (roomScorer) name() string { return "room" }

func (roomScorer) score(c *cycle, p *pair) float64 {
	slots := p.decode.slots()
	if slots <= 0 {
		return 0
	}
	return roomWeight * float64(p.decode.free(c.now)) / float64(slots)
}
