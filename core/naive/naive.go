// Package naive implements the simplest scheduling policy: round robin over the
// pool's endpoints, without reservations, affinity or fairness. It is the
// reference for differential tests and the baseline for measurements.
package naive

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// expiresIn is the lifetime of a grant; the naive policy releases nothing when it
// expires.
const expiresIn = time.Minute

// never is the time of the next Tick, since none is ever due.
const never = time.Duration(math.MaxInt64)

// Policy is the naive scheduler.
type Policy struct {
	options         sched.Options
	services        map[id.Service]live.ServiceType
	rings           map[live.Role]*ring
	grants          map[id.Request]*sched.Grant
	lastReservation uint64
}

// ring iterates over its endpoints cyclically.
type ring struct {
	endpoints []id.Endpoint
	position  int
}

// next returns the next endpoint, or false if the ring is empty.
func (r *ring) next() (id.Endpoint, bool) {
	if r == nil || len(r.endpoints) == 0 {
		return "", false
	}
	e := r.endpoints[r.position%len(r.endpoints)]
	r.position++
	return e, true
}

// New returns a naive scheduler. It uses only the options Pool and Self.
func New(o sched.Options) sched.Scheduler {
	return &Policy{
		options:  o,
		services: map[id.Service]live.ServiceType{},
		rings:    map[live.Role]*ring{},
		grants:   map[id.Request]*sched.Grant{},
	}
}

// Configure implements sched.Scheduler.
func (p *Policy) Configure(_ time.Duration, doc *live.Document) []sched.Action {
	pool := sched.FindPool(doc, p.options.Pool)
	if pool == nil {
		p.rings = map[live.Role]*ring{}
		return nil
	}
	endpoints, err := sched.PoolEndpoints(doc, pool)
	if err != nil {
		return nil
	}
	p.services = map[id.Service]live.ServiceType{}
	for i := range doc.Services {
		p.services[doc.Services[i].Name] = doc.Services[i].Type
	}
	p.rings = buildRings(endpoints, p.rings)
	return nil
}

// buildRings groups the endpoints that aren't leaving by role. Each ring continues
// at the position of the previous ring of its role.
func buildRings(endpoints []*live.Endpoint, old map[live.Role]*ring) map[live.Role]*ring {
	rings := map[live.Role]*ring{}
	for _, e := range endpoints {
		if live.IsLeaving(e) {
			continue
		}
		role := sched.LabelledRole(e)
		if rings[role] == nil {
			rings[role] = &ring{}
			if old[role] != nil {
				rings[role].position = old[role].position
			}
		}
		rings[role].endpoints = append(rings[role].endpoints, e.Name)
	}
	return rings
}

// Want implements sched.Scheduler: it grants or refuses immediately.
func (p *Policy) Want(_ time.Duration, w sched.Want) []sched.Action {
	if g := p.grants[w.Request]; g != nil {
		return []sched.Action{{To: w.From, Grant: g}}
	}
	g := p.choose(w)
	if g == nil {
		return []sched.Action{{To: w.From, Refusal: &sched.Refusal{
			Request: w.Request,
			Code:    verdict.CodeNoEndpoint,
			Reason:  "no endpoint of a role that the service needs",
		}}}
	}
	p.grants[w.Request] = g
	return []sched.Action{{To: w.From, Grant: g}}
}

// choose returns a grant of the next endpoints, or nil if a role has none.
func (p *Policy) choose(w sched.Want) *sched.Grant {
	g := &sched.Grant{Request: w.Request, Owner: p.options.Self, ExpiresIn: expiresIn, Reason: "round robin"}
	decodeRole := live.RolePlain
	ok := true
	if p.services[w.Service] != live.ServicePlain {
		decodeRole = live.RoleDecode
		g.Prefill, ok = p.rings[live.RolePrefill].next()
	}
	if !ok {
		return nil
	}
	g.Decode, ok = p.rings[decodeRole].next()
	if !ok {
		return nil
	}
	p.lastReservation++
	g.Reservation = p.lastReservation
	return g
}

// Withdraw implements sched.Scheduler.
func (p *Policy) Withdraw(_ time.Duration, r id.Request) []sched.Action {
	delete(p.grants, r)
	return nil
}

// Progress implements sched.Scheduler: it deletes the grants of ended requests.
func (p *Policy) Progress(_ time.Duration, g sched.Progress) []sched.Action {
	if g.Phase >= sched.PhaseDone {
		delete(p.grants, g.Request)
	}
	return nil
}

// Adopt implements sched.Scheduler: grants of other schedulers are not recorded.
func (p *Policy) Adopt(time.Duration, sched.Adopt) []sched.Action { return nil }

// Load implements sched.Scheduler: load reports are ignored.
func (p *Policy) Load(time.Duration, sched.Load) []sched.Action { return nil }

// Cache implements sched.Scheduler: cache events are ignored.
func (p *Policy) Cache(time.Duration, id.Endpoint, []sched.CacheEvent, bool) {}

// ProcessGone implements sched.Scheduler: nothing is reserved, so nothing is released.
func (p *Policy) ProcessGone(time.Duration, id.Process) []sched.Action { return nil }

// Tick implements sched.Scheduler.
func (p *Policy) Tick(time.Duration) []sched.Action { return nil }

// Next implements sched.Scheduler: a Tick is never due.
func (p *Policy) Next() time.Duration { return never }
