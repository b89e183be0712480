package calls

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// endpoint is a simulated endpoint: slots, a queue, and refusals beyond.
type endpoint struct {
	w       *simulation
	name    id.Endpoint
	running int
	queue   []job
}

// job is a call at an endpoint; end is called when it ends.
type job struct {
	c   *caller
	end func()
}

// call sends a call to an endpoint; end or full are called when the daemon learns of its end.
func (e *endpoint) call(c *caller, end, full func()) {
	w := e.w
	w.schedule(w.now+w.Hop, func() {
		w.arrived++
		if len(e.queue) >= w.Queue {
			w.full++
			w.schedule(w.now+w.Hop, full)
			return
		}
		e.queue = append(e.queue, job{c: c, end: end})
		e.start()
	})
}

// start starts the queued calls for which slots are free; those whose callers have gone are
// dropped.
func (e *endpoint) start() {
	for e.running < e.w.Slots && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if j.c.done {
			j.end()
			continue
		}
		e.running++
		e.w.count(j.c.work)
		e.w.schedule(e.w.now+j.c.work, func() {
			e.running--
			e.w.schedule(e.w.now+e.w.Hop, j.end)
			e.start()
		})
	}
}

// endpoint returns an endpoint by name.
func (w *simulation) endpoint(name id.Endpoint) *endpoint {
	i := slices.IndexFunc(w.endpoints, func(e *endpoint) bool { return e.name == name })
	return w.endpoints[i]
}

// count adds the use of a slot for some time from now.
func (w *simulation) count(work time.Duration) {
	w.busy += max(0, min(w.now+work, w.To)-max(w.now, w.From))
}
