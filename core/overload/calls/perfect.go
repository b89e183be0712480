package calls

import (
	"github.com/samphirequay/samphirequay/core/verdict"
)

// perfect is one queue before the places of all endpoints that needs no messages and knows
// how long each call will take: the bound of what any way can do with calls in the order of
// their arrival.
type perfect struct {
	w       *simulation
	running int
	queue   []*caller
}

// Perfect creates the way of one perfect queue.
func Perfect(w *simulation) way { return &perfect{w: w} }

func (p *perfect) send(c *caller) {
	p.queue = append(p.queue, c)
	p.start()
}

// start starts waiting calls; one that would be late is refused instead.
func (p *perfect) start() {
	w := p.w
	for p.running < w.Endpoints*w.Slots && len(p.queue) > 0 {
		c := p.queue[0]
		p.queue = p.queue[1:]
		if w.now+c.work+2*w.Hop-c.sentAt > w.Target {
			w.refused(c, verdict.TransientRetryAfter)
			continue
		}
		p.running++
		w.count(c.work)
		w.schedule(w.now+c.work, func() {
			p.running--
			p.start()
		})
		w.schedule(w.now+c.work+2*w.Hop, func() { w.answered(c) })
	}
}
