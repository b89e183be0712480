package sched

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// optimisticLife is how long an optimistic grant counts as in flight after
// its last Progress.
const optimisticLife = 30 * time.Second

// Optimistic is a scheduler that each daemon runs on its own: of two random
// endpoints it chooses the less loaded one, by the last report and the daemon's
// own grants. It grants at once, without a queue or reservations.
type Optimistic struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	model     string
	services  map[id.Service]live.ServiceType
	endpoints map[id.Endpoint]*endpoint
	roles     map[live.Role][]*endpoint
	filters   map[live.Role][]endpointFilter
	inFlight  map[id.Endpoint]int
	granted   map[id.Request]*reservation
	expiry    indexedHeap[*reservation]
	serial    uint64
}

// NewOptimistic returns the scheduler that a daemon runs on its own.
func NewOptimistic(o Options) Scheduler {
	o = o.withDefaults()
	return &Optimistic{
		options:   o,
		random:    rand.New(rand.NewPCG(o.Seed, uint64(len(o.Pool)))),
		services:  map[id.Service]live.ServiceType{},
		endpoints: map[id.Endpoint]*endpoint{},
		roles:     map[live.Role][]*endpoint{},
		filters:   optimisticFilters(),
		inFlight:  map[id.Endpoint]int{},
		granted:   map[id.Request]*reservation{},
	}
}

// Configure implements Scheduler.
func (o *Optimistic) Configure(now time.Duration, doc *live.Document) []Action {
	o.now = now
	o.services = map[id.Service]live.ServiceType{}
	for i := range doc.Services {
		o.services[doc.Services[i].Name] = doc.Services[i].Type
	}
	o.configureEndpoints(doc)
	return nil
}

// configureEndpoints applies the pool's endpoints; reports are kept.
func (o *Optimistic) configureEndpoints(doc *live.Document) {
	endpoints := map[id.Endpoint]*endpoint{}
	o.roles = map[live.Role][]*endpoint{}
	pool := FindPool(doc, o.options.Pool)
	if pool == nil {
		o.endpoints = endpoints
		return
	}
	found, err := PoolEndpoints(doc, pool)
	if err != nil {
		if o.options.Violation != nil {
			o.options.Violation("configuration", err.Error())
		}
		return
	}
	o.model = pool.Model
	for _, d := range found {
		e := o.endpoints[d.Name]
		if e == nil {
			e = &endpoint{name: d.Name}
		}
		e.inPool = true
		e.labelRole = LabelledRole(d)
		e.labelLeaving = live.IsLeaving(d)
		endpoints[d.Name] = e
		o.roles[e.role()] = append(o.roles[e.role()], e)
	}
	o.endpoints = endpoints
}

// Want implements Scheduler; it always answers at once.
func (o *Optimistic) Want(now time.Duration, w Want) []Action {
	o.Tick(now)
	if r := o.granted[w.Request]; r != nil {
		grant := r.grant
		return []Action{{To: w.From, Grant: &grant}}
	}
	r := o.choose(&w)
	if r == nil {
		return []Action{{To: w.From, Refusal: &Refusal{
			Request:    w.Request,
			Code:       verdict.CodeNoEndpoint,
			RetryAfter: boundRetry(o.options.ReportLag),
			Reason:     "no ready endpoint of a role that the service needs",
		}}}
	}
	o.hold(r)
	grant := r.grant
	return []Action{{To: w.From, Grant: &grant}}
}

// choose returns a reservation with a grant, or nil if there is no endpoint for a
// role.
func (o *Optimistic) choose(w *Want) *reservation {
	r := &reservation{want: *w}
	role := live.RolePlain
	if o.services[w.Service] != live.ServicePlain {
		role = live.RoleDecode
		r.prefill = o.pick(live.RolePrefill, w)
		if r.prefill == nil {
			return nil
		}
		r.grant.Prefill = r.prefill.name
	}
	r.decode = o.pick(role, w)
	if r.decode == nil {
		return nil
	}
	o.serial++
	r.number = o.serial
	r.grant.Request = w.Request
	r.grant.Decode = r.decode.name
	r.grant.Reservation = r.number
	r.grant.Owner = o.options.Self
	r.grant.ExpiresIn = o.options.ExpiresIn
	r.grant.Reason = "less loaded of two random endpoints"
	r.expires = o.now + o.options.ExpiresIn + expiryGrace
	return r
}

// pick returns the less loaded of two random eligible endpoints.
func (o *Optimistic) pick(role live.Role, w *Want) *endpoint {
	a := o.draw(role, w)
	b := o.draw(role, w)
	if a != nil && o.load(b) < o.load(a) {
		return b
	}
	return a
}

// draw returns the first eligible endpoint from a random position on, or nil if
// there is none.
func (o *Optimistic) draw(role live.Role, w *Want) *endpoint {
	list := o.roles[role]
	if len(list) == 0 {
		return nil
	}
	c := cycle{now: o.now, options: &o.options, want: w, model: o.model}
	from := o.random.IntN(len(list))
	for i := range list {
		e := list[(from+i)%len(list)]
		if keepAll(o.filters[role], &c, e) {
			return e
		}
	}
	return nil
}

// optimisticFilters returns by role the filters that need no ledger.
func optimisticFilters() map[live.Role][]endpointFilter {
	filters := map[live.Role][]endpointFilter{}
	for _, role := range []live.Role{live.RolePrefill, live.RoleDecode, live.RolePlain} {
		filters[role] = append(staticFilters(role), healthFilter{}, avoidFilter{})
	}
	return filters
}

// load returns the load of the last report plus the daemon's own grants.
func (o *Optimistic) load(e *endpoint) int {
	return e.report.Running + e.report.Waiting + o.inFlight[e.name]
}

// hold records a grant as in flight.
func (o *Optimistic) hold(r *reservation) {
	o.granted[r.want.Request] = r
	heap.Push(&o.expiry, r)
	o.inFlight[r.decode.name]++
	if r.prefill != nil {
		o.inFlight[r.prefill.name]++
	}
}

// release records a grant as ended.
func (o *Optimistic) release(r *reservation) {
	delete(o.granted, r.want.Request)
	heap.Remove(&o.expiry, r.expiryIndex)
	o.inFlight[r.decode.name]--
	o.endPrefill(r)
}

// endPrefill records a prefill as ended.
func (o *Optimistic) endPrefill(r *reservation) {
	if r.prefill == nil {
		return
	}
	o.inFlight[r.prefill.name]--
	r.prefill = nil
}

// Withdraw implements Scheduler.
func (o *Optimistic) Withdraw(now time.Duration, request id.Request) []Action {
	o.now = now
	if r := o.granted[request]; r != nil && !r.begun {
		o.release(r)
	}
	return nil
}

// Progress implements Scheduler.
func (o *Optimistic) Progress(now time.Duration, p Progress) []Action {
	o.now = now
	r := o.granted[p.Request]
	if r == nil || r.grant.Reservation != p.Reservation {
		return nil
	}
	r.begun = true
	if p.Phase >= PhaseDone {
		o.release(r)
		o.recordLeaving(&p)
		return nil
	}
	if p.Phase >= PhaseTransferring {
		o.endPrefill(r)
	}
	r.expires = now + optimisticLife
	heap.Fix(&o.expiry, r.expiryIndex)
	return nil
}

// recordLeaving marks the endpoint as leaving if it refused for that reason.
func (o *Optimistic) recordLeaving(p *Progress) {
	e := o.endpoints[p.Endpoint]
	if e == nil || !p.Leaving {
		return
	}
	e.refusedLeaving = true
	e.refusedAt = o.now
}

// Adopt implements Scheduler; it has no effect, since other daemons' grants are
// not recorded.
func (o *Optimistic) Adopt(time.Duration, Adopt) []Action { return nil }

// Load implements Scheduler.
func (o *Optimistic) Load(now time.Duration, report Load) []Action {
	o.now = now
	e := o.endpoints[report.Endpoint]
	if e == nil || (report.Reachable && report.Incarnation < e.report.Incarnation) {
		return nil
	}
	e.reported = true
	if !report.Reachable {
		e.report.Reachable = false
		return nil
	}
	if !report.Leaving && now-e.refusedAt >= o.options.LeavingHold {
		e.refusedLeaving = false
	}
	before := e.role()
	e.report = report
	if e.role() != before {
		o.regroup()
	}
	return nil
}

// regroup lists the endpoints by their current role; endpoints of the same former
// role keep their order.
func (o *Optimistic) regroup() {
	old := o.roles
	o.roles = map[live.Role][]*endpoint{}
	for _, role := range []live.Role{live.RolePrefill, live.RoleDecode, live.RolePlain, ""} {
		for _, e := range old[role] {
			o.roles[e.role()] = append(o.roles[e.role()], e)
		}
	}
}

// Cache implements Scheduler; cache events are not used.
func (o *Optimistic) Cache(time.Duration, id.Endpoint, []CacheEvent, bool) {}

// ProcessGone implements Scheduler; it has no effect, since only the daemon's own
// grants are recorded.
func (o *Optimistic) ProcessGone(time.Duration, id.Process) []Action { return nil }

// Tick implements Scheduler.
func (o *Optimistic) Tick(now time.Duration) []Action {
	o.now = now
	for len(o.expiry) > 0 && o.expiry[0].expires <= now {
		o.release(o.expiry[0])
	}
	return nil
}

// Next implements Scheduler.
func (o *Optimistic) Next() time.Duration {
	if len(o.expiry) == 0 {
		return never
	}
	return o.expiry[0].expires
}
