// Package naive is the simplest policy that answers: round robin over the
// pool's endpoints, with no reservation, affinity or fairness. It is the
// reference of differential tests and the baseline of measurements.
package naive

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// expiresIn is how long a grant holds; the naive policy frees nothing at its end.
const expiresIn = time.Minute

// idle is the time to the next Tick: there is never one due.
const never = time.Duration(math.MaxInt64)

// Policy is the naive scheduler.
type Policy struct {
	options         sched.Options
	services        map[id.Service]live.ServiceType
	rings           map[live.Role]*ring
	grants          map[id.Request]*sched.Grant
	lastReservation uint64
}

// ring gives its endpoints in turn.
type ring struct {
	endpoints []id.Endpoint
	position  int
}

// next returns the next endpoint in turn; false if there is none.
func (r *ring) next() (id.Endpoint, bool) {
	if r == nil || len(r.endpoints) == 0 {
		return "", false
	}
	e := r.endpoints[r.position%len(r.endpoints)]
	r.position++
	return e, true
}

// New returns a naive scheduler; of the options it uses Pool and Self.
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

// ringsOf groups endpoints that aren't leaving by role, each ring going on
// from the place of its forerunner.
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

// Want implements sched.Scheduler: it grants at once.
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

// choose takes the next endpoints in turn; nil for lack of one.
func (p *Policy) choose(w sched.Want) *sched.Grant {
	g := &sched.Grant{Request: w.Request, Owner: p.options.Self, ExpiresIn: expiresIn, Reason: "round robin"}
	last := live.RolePlain
	ok := true
	if p.services[w.Service] != live.ServicePlain {
		last = live.RoleDecode
		g.Prefill, ok = p.rings[live.RolePrefill].next()
	}
	if !ok {
		return nil
	}
	g.Decode, ok = p.rings[last].next()
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

// Progress implements sched.Scheduler: it forgets what has ended.
func (p *Policy) Progress(_ time.Duration, g sched.Progress) []sched.Action {
	if g.Phase >= sched.PhaseDone {
		delete(p.grants, g.Request)
	}
	return nil
}

// Adopt implements sched.Scheduler: nothing is kept about grants of others.
func (p *Policy) Adopt(time.Duration, sched.Adopt) []sched.Action { return nil }

// Load implements sched.Scheduler: reports are not used.
func (p *Policy) Load(time.Duration, sched.Load) []sched.Action { return nil }

// Cache implements sched.Scheduler: the cache is not used.
func (p *Policy) Cache(time.Duration, id.Endpoint, []sched.CacheEvent, bool) {}

// ProcessGone implements sched.Scheduler: nothing is reserved, so nothing is released.
func (p *Policy) ProcessGone(time.Duration, id.Process) []sched.Action { return nil }

// Tick implements sched.Scheduler.
func (p *Policy) Tick(time.Duration) []sched.Action { return nil }

// Next implements sched.Scheduler: no Tick is ever due.
func (p *Policy) Next() time.Duration { return never }
