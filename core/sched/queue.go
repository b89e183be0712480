package sched

import (
	"container/heap"
	"time"
)

// waiting is a queued Want.
type waiting struct {
	want    Want
	service *service
	team    *team
	arrived time.Duration
	// latest is the last moment at which a grant could still be in time.
	latest time.Duration
	cost   cost
	// least is the shortest time to the first output at the pool's best.
	minFirstToken time.Duration
	index         int
	seq           uint64
	// blocked names what held the request up when it was last tried; empty if
	// it stood behind others.
	blocked string
	// gone is set once it left the queue.
	gone bool
}

// level returns the request's priority within its team.
func (w *waiting) level() int { return clampPriority(w.want.Priority) }

// clampPriority bounds a caller's priority to those that exist.
func clampPriority(p int) int { return min(max(p, 0), priorities-1) }

// fairQueue is a start-time fair queue over teams: the team that is furthest
// behind its share is served first, by priority and age within the team.
type fairQueue struct {
	teams  indexedHeap[*team]
	latest indexedHeap[*waiting]
	// virtual is the place in virtual time of the last team served.
	virtualTime float64
	queued      int
	backlog     cost
	// weights is the sum over the teams that have requests waiting.
	weights float64
	seq     uint64
}

// push adds a request.
func (q *fairQueue) push(w *waiting) {
	q.seq++
	w.seq = q.seq
	t := w.team
	t.add(w)
	q.backlog.add(w.cost, 1)
	q.queued++
	heap.Push(&q.latest, w)
	if t.queued == 1 {
		t.startTag = max(q.virtualTime, t.finishTag)
		q.weights += t.weight
		heap.Push(&q.teams, t)
	}
}

// remove takes a request out, without a charge.
func (q *fairQueue) remove(w *waiting) {
	t := w.team
	t.drop(w)
	q.backlog.add(w.cost, -1)
	q.queued--
	heap.Remove(&q.latest, w.index)
	if t.queued == 0 {
		q.weights -= t.weight
		heap.Remove(&q.teams, t.index)
	}
	if q.queued == 0 {
		q.backlog = cost{}
		q.weights = 0
	}
}

// serve takes a request out and charges its team.
func (q *fairQueue) serve(w *waiting, charge float64) {
	t := w.team
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.finishTag = max(t.startTag, t.finishTag) + charge/t.weight
	q.remove(w)
	q.reposition(t)
}

// heavyFactor is how far over the mean a team's holdings must be for the team
// to count as heavy.
const heavyFactor = 1.25

// weigh finds out which teams are heavy, given the grants in use and the
// weights of all teams at work.
func (q *fairQueue) markHeavy(granted int, weights float64) {
	bound := heavyFactor * float64(granted) / max(weights, minCharge)
	changed := false
	for _, t := range q.teams {
		heavy := t.holding() > bound
		changed = changed || heavy != t.heavy
		t.heavy = heavy
	}
	if changed {
		heap.Init(&q.teams)
	}
}

// correct changes what a team was charged, once its request has ended.
func (q *fairQueue) correct(t *team, difference float64) {
	t.finishTag += difference / t.weight
	q.reposition(t)
}

// settle moves a backlogged team to the place that its charges give it.
func (q *fairQueue) reposition(t *team) {
	if t.queued == 0 {
		return
	}
	t.startTag = max(q.virtualTime, t.finishTag)
	heap.Fix(&q.teams, t.index)
}

// reweigh changes a team's weight.
func (q *fairQueue) reweigh(t *team, weight float64) {
	if t.queued > 0 {
		q.weights += weight - t.weight
	}
	t.weight = weight
}

// setAside takes a team out of the order until restore.
func (q *fairQueue) setAside(t *team) { heap.Remove(&q.teams, t.index) }

// restore puts a team that was set aside back into the order.
func (q *fairQueue) restore(t *team) { heap.Push(&q.teams, t) }
