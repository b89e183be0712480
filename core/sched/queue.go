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
	// latest is the latest time at which a grant can still be in time.
	latest time.Duration
	cost   cost
	// minFirstToken is the shortest time to the first output at the pool's best
	// rates.
	minFirstToken time.Duration
	index         int
	seq           uint64
	// blocked is the cause that blocked the request at the last attempt; empty
	// if it was not attempted.
	blocked string
	// gone is set once the request has left the queue.
	gone bool
}

// level returns the request's priority within its team.
func (w *waiting) level() int { return clampPriority(w.want.Priority) }

// clampPriority limits a caller's priority to the valid range.
func clampPriority(p int) int { return min(max(p, 0), priorities-1) }

// fairQueue is a start-time fair queue over teams: the team with the smallest
// start tag is served first, and heavy teams last. Within a team, requests are
// ordered by priority and then by the latest time of a grant.
type fairQueue struct {
	teams  indexedHeap[*team]
	latest indexedHeap[*waiting]
	// virtualTime is the start tag of the last team served.
	virtualTime float64
	queued      int
	backlog     cost
	// weights is the sum of the weights of the teams that have requests waiting.
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

// remove removes a request without charging its team.
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

// serve removes a request and charges its team.
func (q *fairQueue) serve(w *waiting, charge float64) {
	t := w.team
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.finishTag = max(t.startTag, t.finishTag) + charge/t.weight
	q.remove(w)
	q.reposition(t)
}

// heavyFactor is the ratio of a team's grants per weight to the mean above which
// the team counts as heavy.
const heavyFactor = 1.25

// markHeavy marks the heavy teams, given the number of grants in use and the sum
// of the weights of all active teams.
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

// correct adjusts a team's charge after its request has ended.
func (q *fairQueue) correct(t *team, difference float64) {
	t.finishTag += difference / t.weight
	q.reposition(t)
}

// reposition updates the start tag and the position of a backlogged team.
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

// setAside removes a team from the order until restore.
func (q *fairQueue) setAside(t *team) { heap.Remove(&q.teams, t.index) }

// restore adds a team that was set aside to the order again.
func (q *fairQueue) restore(t *team) { heap.Push(&q.teams, t) }
