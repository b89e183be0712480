package sched

import (
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// priorities is the number of priorities within a team.
const priorities = 10

// team is the state of one team in the fair queue.
type team struct {
	name        id.Team
	labels      live.Labels
	weight      float64
	maxInFlight int
	// known is false after the team is removed from the configuration.
	known bool

	levels  [priorities]level
	queued  int
	granted int
	index   int
	// startTag is the team's start tag in virtual time while it has requests
	// waiting; finishTag is its finish tag, the virtual time up to which its
	// charges have used its share.
	startTag float64
	// heavy is set while the team holds clearly more grants per weight than the
	// mean of the active teams; see fairQueue.markHeavy.
	heavy     bool
	finishTag float64
}

// level holds the waiting requests of one priority, in the order of the latest
// time at which each can be granted in time.
type level struct {
	list    []*waiting
	gone    int
	backlog cost
}

// holding returns the team's grants in use per unit of weight.
func (t *team) holding() float64 { return float64(t.granted) / t.weight }

// inFlight counts the team's requests in the pool.
func (t *team) inFlight() int { return t.queued + t.granted }

// add inserts a request into its level by the latest time of its grant, so that a
// long prompt, which has little time to wait, is not queued after short prompts
// that have more.
func (t *team) add(w *waiting) {
	l := &t.levels[w.level()]
	at := len(l.list)
	for at > 0 && !l.list[at-1].gone && l.list[at-1].latest > w.latest {
		at--
	}
	l.list = slices.Insert(l.list, at, w)
	l.backlog.add(w.cost, 1)
	t.queued++
}

// drop marks a request as gone and compacts its level.
func (t *team) drop(w *waiting) {
	l := &t.levels[w.level()]
	w.gone = true
	l.gone++
	l.backlog.add(w.cost, -1)
	t.queued--
	l.compact()
}

// compact removes gone requests from the front, and all gone requests once they
// are more than half of the list.
func (l *level) compact() {
	for len(l.list) > 0 && l.list[0].gone {
		l.list[0] = nil
		l.list = l.list[1:]
		l.gone--
	}
	if 2*l.gone > len(l.list) {
		kept := make([]*waiting, 0, len(l.list)-l.gone)
		for _, w := range l.list {
			if !w.gone {
				kept = append(kept, w)
			}
		}
		l.list = kept
		l.gone = 0
	}
	if len(l.list) == 0 {
		l.list = nil
		l.backlog = cost{}
	}
}

// nth returns the request n places after the team's next one, or nil if there is
// none.
func (t *team) nth(n int) *waiting {
	for p := priorities - 1; p >= 0; p-- {
		for _, w := range t.levels[p].list {
			if w.gone {
				continue
			}
			if n == 0 {
				return w
			}
			n--
		}
	}
	return nil
}

// backlog returns the cost of the requests that are served before a new request
// of the given priority.
func (t *team) backlog(priority int) cost {
	var sum cost
	for p := priority; p < priorities; p++ {
		sum.add(t.levels[p].backlog, 1)
	}
	return sum
}
