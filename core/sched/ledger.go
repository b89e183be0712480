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

// never is the time of what isn't due.
const never = time.Duration(math.MaxInt64)

// Ledger is the scheduler of a pool's owner. It knows every grant of the pool
// and so keeps slots, links and shares exact over all daemons.
type Ledger struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	// settled is when the settling period ends; it begins with the first event.
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
	// standing is the cycle in which the standing filters are asked.
	staticCycle cycle
	pipeline    pipeline
	pool        poolEstimate
	// awaited counts the granted requests that have yet to give a first token.
	awaitingFirstToken int
	// relaxed is when estimates were last looked at for their age.
	decayedAt time.Duration
	blocked   bool
	// full are the endpoints that refused for lack of room lately.
	fullEndpoints []*endpoint
	activeSum     timedSum
	pressure      pressure
	// borrowers are the reservations that rely on a predicted release.
	awaitingSlot []*reservation
	// promoted reservations have got their slots and aren't told yet.
	promoted []*reservation
	// virtual is the last seen virtual time, for the invariant.
	virtual float64
}

// outcome is what is remembered of a request that ended.
type outcome struct {
	refusal *Refusal
	// expired is a reservation that ended without a Progress.
	expired *reservation
}

// weighed is a sum of weights with its time.
type timedSum struct {
	sum float64
	at  time.Duration
}

// NewLedger returns the scheduler of a pool's owner.
func NewLedger(o Options) Scheduler {
	o = o.withDefaults()
	ended, err := simplelru.NewLRU[id.Request, outcome](max(1, o.Remembered), nil)
	if err != nil {
		panic("sched: memory of ended requests: " + err.Error())
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

// begin takes the time of an event.
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

// finish does what the event made possible or due and checks the invariants.
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

// unqueue takes a request out of the queue, without a charge.
func (l *Ledger) unqueue(w *waiting) {
	l.queue.remove(w)
	delete(l.waiting, w.want.Request)
}

// settling is true until a new owner may rely on what it has heard.
func (l *Ledger) settling() bool { return l.now < l.settled }
