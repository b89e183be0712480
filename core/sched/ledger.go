package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// never is the time of an event that is not scheduled.
const never = time.Duration(math.MaxInt64)

// Ledger is the scheduler of a pool's owner. It records every grant of the pool
// and thus accounts for slots, links and shares exactly over all daemons.
type Ledger struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	// settled is the end of the settling period, which begins with the first event.
	settled time.Duration
	started bool

	model     string
	services  map[id.Service]*service
	teams     map[id.Team]*team
	endpoints map[id.Endpoint]*endpoint
	links     map[linkKey]*link
	limits    []live.Link

	queue   fairQueue
	waiting map[id.Request]*waiting
	granted map[id.Request]*reservation
	expiry  indexedHeap[*reservation]
	ended   *simplelru.LRU[id.Request, outcome]
	serial  uint64

	fleet   fleet
	caches  *cacheIndex
	scratch candidates
	cycle   cycle
	// staticCycle is the cycle in which the static filters are evaluated.
	staticCycle cycle
	pipeline    pipeline
	pool        poolEstimate
	// awaitingFirstToken counts the granted requests that have a prefill endpoint
	// and have not produced their first token.
	awaitingFirstToken int
	// decayedAt is the time of the last decay of the estimates.
	decayedAt time.Duration
	blocked   bool
	// fullEndpoints lists the endpoints that recently refused for lack of capacity.
	fullEndpoints []*endpoint
	activeSum     timedSum
	pressure      pressure
	// awaitingSlot lists the reservations that wait for a predicted slot release.
	awaitingSlot []*reservation
	// promoted lists the reservations that have received a slot and whose Binding
	// is not sent yet.
	promoted []*reservation
	// virtualTime is the virtual time at the last check, for the invariant that it
	// never decreases.
	virtualTime float64
}

// outcome is the record of a request that has ended.
type outcome struct {
	refusal *Refusal
	// expired is the reservation if it ended for lack of a Progress.
	expired *reservation
}

// timedSum is a sum of weights and the time at which it was computed.
type timedSum struct {
	sum float64
	at  time.Duration
}

// NewLedger returns the scheduler of a pool's owner.
func NewLedger(o Options) Scheduler {
	o = o.withDefaults()
	ended, err := simplelru.NewLRU[id.Request, outcome](max(1, o.MaxEnded), nil)
	if err != nil {
		panic("sched: cache of ended requests: " + err.Error())
	}
	return &Ledger{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, uint64(len(o.Pool)))),
		services:  map[id.Service]*service{},
		teams:     map[id.Team]*team{},
		endpoints: map[id.Endpoint]*endpoint{},
		links:     map[linkKey]*link{},
		waiting:   map[id.Request]*waiting{},
		granted:   map[id.Request]*reservation{},
		ended:     ended,
		fleet:     newFleet(),
		caches:    newCacheIndex(),
		pipeline:  newPipeline(),
		pool:      newPoolEstimate(),
		serial:    o.FirstReservation,
	}
}

// begin sets the current time at the start of an event.
func (l *Ledger) begin(now time.Duration) {
	if !l.started {
		l.started = true
		l.settled = now + l.options.Settle
	}
	if now < l.now {
		l.violate("time", fmt.Sprintf("went back from %v to %v", l.now, now))
		return
	}
	l.now = now
	l.decayEstimates()
}

// finish expires, rebinds, refuses and grants as the event allows, and checks the
// invariants.
func (l *Ledger) finish(actions []Action) []Action {
	l.expire()
	l.recheckFull()
	l.rebind()
	actions = l.bind(actions)
	actions = l.refuseLate(actions)
	actions = l.dispatch(actions)
	l.check()
	return actions
}

// Tick implements Scheduler.
func (l *Ledger) Tick(now time.Duration) []Action {
	l.begin(now)
	return l.finish(nil)
}

// Next implements Scheduler.
func (l *Ledger) Next() time.Duration {
	next := never
	if len(l.expiry) > 0 {
		next = min(next, l.expiry[0].expires)
	}
	if len(l.queue.latest) > 0 {
		next = min(next, l.queue.latest[0].latest+1)
	}
	if l.blocked {
		next = min(next, l.now+l.options.Poll)
	}
	return next
}

// Withdraw implements Scheduler.
func (l *Ledger) Withdraw(now time.Duration, r id.Request) []Action {
	l.begin(now)
	if w := l.waiting[r]; w != nil {
		l.unqueue(w)
	}
	held := l.granted[r]
	if held != nil && !held.begun {
		l.release(held)
	}
	if held == nil {
		l.ended.Add(r, outcome{})
	}
	return l.finish(nil)
}

// ProcessGone implements Scheduler.
func (l *Ledger) ProcessGone(now time.Duration, p id.Process) []Action {
	l.begin(now)
	for _, w := range l.waitingInOrder() {
		if w.want.From == p {
			l.unqueue(w)
			l.ended.Add(w.want.Request, outcome{})
		}
	}
	for _, r := range l.grantedInOrder() {
		if r.want.From == p {
			l.release(r)
		}
	}
	return l.finish(nil)
}

// unqueue removes a request from the queue without charging its team.
func (l *Ledger) unqueue(w *waiting) {
	l.queue.remove(w)
	delete(l.waiting, w.want.Request)
}

// settling is true during the settling period of a new owner, in which grants of
// former owners may not have been adopted yet.
func (l *Ledger) settling() bool { return l.now < l.settled }
