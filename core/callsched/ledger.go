package callsched

import (
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/fairshare"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
)

// never is the due time of an event that is not scheduled.
const never = time.Duration(math.MaxInt64)

// queuePollInterval is the interval at which waiting calls are looked at again: their
// targets and the holds of endpoints pass without an event.
const queuePollInterval = 5 * time.Millisecond

// stallThreshold is the delay of an expiry from which the owner counts as having been
// stalled.
const stallThreshold = 100 * time.Millisecond

// Ledger is the scheduler of one pool. It is not safe for concurrent use.
type Ledger struct {
	options Options
	limiter concurrency.Limiter
	now     time.Duration
	settled time.Duration
	started bool

	services  map[id.Service]*service
	endpoints map[id.Endpoint]*endpoint
	// order lists the endpoints by name, so that no decision depends on map order.
	order []*endpoint
	// room is the capacity of the endpoints as of roomAt.
	room   capacity
	roomAt time.Duration

	shares *fairshare.Shares
	teams  teams
	// offered is the load of all calls, whether admitted or not; usual is its average.
	offered load
	usual   usualLoad
	// queue is sorted as of the last dispatch; calls that came since are at its end.
	queue   []*waiting
	waiting map[id.Request]*waiting
	granted map[id.Request]*grant
	// nextExpiry is no later than the earliest expiry of a grant's lease.
	nextExpiry time.Duration
	// ended holds the refusals of refused calls and nil for other ended ones.
	ended *simplelru.LRU[id.Request, *sched.Refusal]
	// lapsed holds the grants whose leases have expired without a report of their end.
	lapsed *simplelru.LRU[id.Request, *grant]
	serial uint64
	// dispatchDue is set after an event that may let a waiting call be granted, or keep
	// it from being served in time.
	dispatchDue bool

	overload overload
	// bookedUntil is when all the refused calls that were told to return are served, if
	// they come as told.
	bookedUntil time.Duration
	forecasts   forecasts
	stats       Stats
}

// New returns the scheduler of a pool's owner.
func New(o Options) *Ledger {
	o = o.withDefaults()
	l := &Ledger{
		options:    o,
		limiter:    o.Limiter,
		services:   map[id.Service]*service{},
		endpoints:  map[id.Endpoint]*endpoint{},
		shares:     fairshare.NewShares(),
		teams:      newTeams(),
		waiting:    map[id.Request]*waiting{},
		granted:    map[id.Request]*grant{},
		nextExpiry: never,
		ended:      newMemory[*sched.Refusal](o.MaxEnded),
		lapsed:     newMemory[*grant](o.MaxEnded),
		serial:     o.FirstReservation,
	}
	if l.limiter == nil {
		l.limiter = concurrency.NewFixed()
	}
	return l
}

// newMemory returns a bounded memory of requests.
func newMemory[T any](size int) *simplelru.LRU[id.Request, T] {
	memory, err := simplelru.NewLRU[id.Request, T](max(1, size), nil)
	if err != nil {
		panic("callsched: memory of requests: " + err.Error())
	}
	return memory
}

// begin advances the ledger's time to that of an event.
func (l *Ledger) begin(now time.Duration) {
	if !l.started {
		l.started = true
		l.settled = now + l.options.Settle
	}
	l.now = max(l.now, now)
	if l.now > l.nextExpiry && l.now-l.nextExpiry > stallThreshold {
		l.extendLeases()
	}
}

// finish carries out the consequences of an event.
func (l *Ledger) finish(actions []sched.Action) []sched.Action {
	l.expireLeases()
	if l.dispatchDue {
		l.dispatchDue = false
		actions = l.dispatch(actions)
	}
	l.judgeRefusals()
	l.checkInvariants()
	return actions
}

// Tick implements sched.Scheduler.
func (l *Ledger) Tick(now time.Duration) []sched.Action {
	l.begin(now)
	l.dispatchDue = true
	return l.finish(nil)
}

// Next implements sched.Scheduler.
func (l *Ledger) Next() time.Duration {
	if len(l.queue) > 0 {
		return min(l.now+queuePollInterval, l.nextExpiry)
	}
	return l.nextExpiry
}

// Cache implements sched.Scheduler; calls have no cache.
func (l *Ledger) Cache(time.Duration, id.Endpoint, []sched.CacheEvent, bool) {}

// checkInvariants compares the endpoints' counts with the grants.
func (l *Ledger) checkInvariants() {
	if l.options.Violation == nil {
		return
	}
	held := 0
	for _, e := range l.order {
		held += e.inFlight
	}
	if held > len(l.granted) {
		l.options.Violation("callsched_in_flight", fmt.Sprintf("endpoints hold %d calls for %d grants", held, len(l.granted)))
	}
}
