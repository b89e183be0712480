package kvsched

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/booking"
	"github.com/samphirequay/samphirequay/core/fairshare"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// never is the due time of an event that is not scheduled.
const never = time.Duration(math.MaxInt64)

// queuePollInterval is the interval at which a blocked queue is scanned again:
// the predicted end of a prefill passes without an event.
const queuePollInterval = 5 * time.Millisecond

// Ledger is the scheduler of one pool. It is not safe for concurrent use.
type Ledger struct {
	options Options
	now     time.Duration
	settled time.Duration
	started bool

	services  map[id.Service]*live.Service
	endpoints map[id.Endpoint]*endpoint
	// order lists the endpoints by name, so that no decision depends on map
	// order.
	order []*endpoint

	queue   []*waiting
	waiting map[id.Request]*waiting
	granted map[id.Request]*reservation
	ended   *simplelru.LRU[id.Request, *sched.Refusal]
	serial  uint64

	shares      *fairshare.Shares
	releaseRate releaseRate
	serviceRate serviceRate
	decodeRate  decodeRate
	firstToken  firstToken
	answers     answerLengths
	arrivals    arrivals
	// enginesReviewed is the number of decode engines at the last review of the queue.
	enginesReviewed int
	// book holds the callers that were told when to come back.
	book        *booking.Book
	teamWeights map[id.Team]float64
	outlook     outlook
	// forecastError counts and learns from the errors of the forecasts.
	forecastError forecastError
	// outputMean covers the guesses of all requests received.
	outputMean outputMean
	// nextExpiry is no later than the earliest expiry of a reservation.
	nextExpiry time.Duration
	// scanDue is set after an event that may let a waiting request be granted.
	scanDue bool
	// scan holds the results of the current scan of the queue.
	scan queueScan
	// exhaustive makes scans evaluate everything anew: the reference of a differential test.
	exhaustive bool
	// prefillWork is the predicted engine time of all granted prefills.
	prefillWork time.Duration
	// tried counts the engines evaluated for requests; repeated counts the
	// wants received again while their request waited.
	tried    uint64
	repeated uint64
}

// waiting is a request in the queue.
type waiting struct {
	want sched.Want
	// tokens is the memory that the request holds at its end; output is the
	// expected length of its answer. Both are in tokens.
	tokens int
	output float64
	// tooLate reports whether the request would miss its target if granted, as
	// of the last scan.
	tooLate bool
	arrived time.Duration
	// startTag orders the requests of one priority by their teams' shares.
	startTag float64
	// target is when the first token is due, patience when the wait ends, and
	// lifetime when the caller no longer accepts an answer.
	target, patience, lifetime time.Duration
	// blocked is the cause for which the last scan did not grant the request.
	blocked string
	urgency urgency
	// rankTarget is the target by which requests of one priority are ordered; 0 if it
	// doesn't count.
	rankTarget time.Duration
	// place is the arrival by which the request is ordered: its own, or the first one of a
	// caller that came back at its time, for which booked is set.
	place  time.Duration
	booked bool
	// promised is set once the forecast has let the request wait beyond its second look.
	promised bool
	// overdue reports whether a promised request would miss its target, as of the last scan.
	overdue bool
	// reviewed is set once a forecast has let the request wait; forecast is the wait that it
	// predicted.
	reviewed bool
	forecast time.Duration
}

// limited reports whether the request may not use all engines, so that the engines it finds
// say nothing about other requests.
func (w *waiting) limited() bool { return len(w.want.Avoid) > 0 || w.want.Software != "" }

// reservation is a granted request.
type reservation struct {
	want   sched.Want
	grant  sched.Grant
	tokens int
	output float64
	phase  sched.Phase
	// decodingAt is when decoding began; 0 before.
	decodingAt time.Duration
	// adopted is set for work granted by a former owner of the pool.
	adopted      bool
	prefill      *endpoint
	decode       *endpoint
	grantedAt    time.Duration
	prefillStart time.Duration
	expires      time.Duration
	lifetime     time.Duration
}

// New returns the scheduler of a pool's owner.
func New(o Options) *Ledger {
	o = o.withDefaults()
	ended, err := simplelru.NewLRU[id.Request, *sched.Refusal](max(1, o.MaxEnded), nil)
	if err != nil {
		panic("kvsched: memory of ended requests: " + err.Error())
	}
	return &Ledger{
		options:   o,
		services:  map[id.Service]*live.Service{},
		endpoints: map[id.Endpoint]*endpoint{},
		waiting:   map[id.Request]*waiting{},
		granted:   map[id.Request]*reservation{},
		ended:     ended,
		serial:    o.FirstReservation,
		shares:    fairshare.NewShares(),
		book:      booking.New(booking.Options{}),

		nextExpiry: never,
	}
}

// begin advances the ledger's time to that of an event.
func (l *Ledger) begin(now time.Duration) {
	if !l.started {
		l.started = true
		l.settled = now + l.options.Settle
	}
	l.now = max(l.now, now)
}

// finish carries out the consequences of an event. The queue is scanned only if
// scanDue is set: many events, such as a repeated want or the start of a
// prefill, do not let any request be granted.
func (l *Ledger) finish(actions []sched.Action) []sched.Action {
	l.dropExpired()
	if l.scanDue {
		actions = l.grantWaiting(actions)
		l.scanDue = false
		actions = l.reviewQueue(actions)
	}
	actions = l.refuseExpired(actions)
	l.serviceRate.observe(l.now, len(l.queue) > 0)
	l.arrivals.observe(l.now, len(l.queue) > 0)
	l.checkInvariants()
	return actions
}

// Configure implements sched.Scheduler.
func (l *Ledger) Configure(now time.Duration, doc *live.Document) []sched.Action {
	l.begin(now)
	l.services = map[id.Service]*live.Service{}
	for i := range doc.Services {
		if doc.Services[i].Pool == l.options.Pool {
			l.services[doc.Services[i].Name] = &doc.Services[i]
		}
	}
	l.shares.Configure(doc.Teams)
	l.configureTeams(doc)
	l.configureEndpoints(doc)
	l.outlook.stale = true
	l.scanDue = true
	return l.finish(nil)
}

func (l *Ledger) configureEndpoints(doc *live.Document) {
	var listed []*live.Endpoint
	if pool := sched.FindPool(doc, l.options.Pool); pool != nil {
		// An invalid selector leaves the pool without endpoints; the check of
		// the configuration has reported it.
		listed, _ = sched.PoolEndpoints(doc, pool)
	}
	old := l.endpoints
	l.endpoints = make(map[id.Endpoint]*endpoint, len(listed))
	l.order = l.order[:0]
	for _, c := range listed {
		e := old[c.Name]
		if e == nil {
			e = newEndpoint(c, l.options.MemoryShare)
		}
		e.configure(c, l.options.MemoryShare)
		l.endpoints[c.Name] = e
		l.order = append(l.order, e)
	}
	slices.SortFunc(l.order, func(a, b *endpoint) int { return strings.Compare(string(a.name), string(b.name)) })
}

// Tick implements sched.Scheduler. The passage of time alone lets requests be
// granted: engines become free as predicted, and the time in which a request
// may be bypassed ends.
func (l *Ledger) Tick(now time.Duration) []sched.Action {
	l.begin(now)
	l.scanDue = true
	return l.finish(nil)
}

// Next implements sched.Scheduler.
func (l *Ledger) Next() time.Duration {
	if len(l.queue) > 0 {
		return min(max(l.now+queuePollInterval, l.settled), l.nextExpiry)
	}
	return l.nextExpiry
}

// Withdraw implements sched.Scheduler.
func (l *Ledger) Withdraw(now time.Duration, request id.Request) []sched.Action {
	l.begin(now)
	if w := l.waiting[request]; w != nil {
		l.unqueue(w)
	}
	if r := l.granted[request]; r != nil {
		l.release(r)
	}
	l.ended.Add(request, nil)
	return l.finish(nil)
}

// ProcessGone implements sched.Scheduler.
func (l *Ledger) ProcessGone(now time.Duration, p id.Process) []sched.Action {
	l.begin(now)
	for _, w := range slices.Clone(l.queue) {
		if w.want.From == p {
			l.unqueue(w)
		}
	}
	for _, r := range l.sortedReservations() {
		if r.want.From == p {
			l.release(r)
		}
	}
	return l.finish(nil)
}

// Load implements sched.Scheduler. Only reachability and the drained state are
// taken from a report; its figures are older than the ledger's.
func (l *Ledger) Load(now time.Duration, report sched.Load) []sched.Action {
	l.begin(now)
	if e := l.endpoints[report.Endpoint]; e != nil {
		e.down = !report.Reachable
		if report.Reachable {
			e.drained = report.Leaving
		}
		l.outlook.stale = true
		l.scanDue = true
	}
	return l.finish(nil)
}

// Cache implements sched.Scheduler; it ignores its arguments, as this scheduler
// does not track prefixes.
func (l *Ledger) Cache(time.Duration, id.Endpoint, []sched.CacheEvent, bool) {}

// dropExpired releases the reservations whose lease has expired. Expiry times
// only ever move later, so the reservations are scanned only once the earliest
// may be due.
func (l *Ledger) dropExpired() {
	if l.now < l.nextExpiry {
		return
	}
	l.nextExpiry = never
	for _, r := range l.sortedReservations() {
		if l.now < r.expires {
			l.nextExpiry = min(l.nextExpiry, r.expires)
			continue
		}
		l.release(r)
		l.ended.Add(r.want.Request, nil)
	}
}

// addReservation adds a reservation.
func (l *Ledger) addReservation(r *reservation) {
	l.granted[r.want.Request] = r
	l.nextExpiry = min(l.nextExpiry, r.expires)
}

// release releases everything that a reservation holds.
func (l *Ledger) release(r *reservation) {
	if r.prefill != nil {
		r.prefill.endPrefill(l.now, r, false)
	}
	r.decode.removeDecode(r)
	delete(l.granted, r.want.Request)
	l.scanDue = true
}

func (l *Ledger) unqueue(w *waiting) {
	i := slices.Index(l.queue, w)
	l.queue = slices.Delete(l.queue, i, i+1)
	delete(l.waiting, w.want.Request)
	l.scanDue = true
}

func (l *Ledger) sortedReservations() []*reservation {
	out := make([]*reservation, 0, len(l.granted))
	for _, r := range l.granted {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *reservation) int {
		return strings.Compare(string(a.want.Request), string(b.want.Request))
	})
	return out
}

// checkInvariants compares the engines' lists with the reservations.
func (l *Ledger) checkInvariants() {
	if l.options.Violation == nil {
		return
	}
	held := 0
	for _, e := range l.order {
		held += len(e.decodes)
	}
	if held > len(l.granted) {
		l.options.Violation("kvsched_places", fmt.Sprintf("engines hold %d slots for %d reservations", held, len(l.granted)))
	}
}
