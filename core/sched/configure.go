package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Configure implements Scheduler. An item that can't be parsed keeps its former
// state and is reported as a violation, since configurations are validated
// before they are accepted.
func (l *Ledger) Configure(now time.Duration, doc *live.Document) []Action {
	l.begin(now)
	l.configureServices(doc)
	l.configureTeams(doc)
	l.configureLinks(doc)
	l.configureEndpoints(doc)
	return l.finish(l.recheckWaiting())
}

// recheckWaiting refuses queued requests whose team may no longer use the
// service.
func (l *Ledger) recheckWaiting() []Action {
	var actions []Action
	for _, w := range l.waitingInOrder() {
		s, _, refusal := l.authorize(&w.want)
		if refusal == nil {
			w.service = s
			continue
		}
		l.unqueue(w)
		actions = append(actions, l.refuse(w.want.From, refusal)...)
	}
	return actions
}

// configureServices applies the services of the pool.
func (l *Ledger) configureServices(doc *live.Document) {
	services := map[id.Service]*service{}
	for i := range doc.Services {
		s := &doc.Services[i]
		if s.Pool != l.options.Pool {
			continue
		}
		made, err := newService(s, l.services[s.Name], &l.options)
		if err != nil {
			l.violate("configuration", err.Error())
			made = l.services[s.Name]
		}
		if made != nil {
			services[s.Name] = made
		}
	}
	l.services = services
}

// configureTeams applies the teams; a removed team keeps its state while it has
// requests in flight.
func (l *Ledger) configureTeams(doc *live.Document) {
	for _, t := range l.teams {
		t.known = false
	}
	for i := range doc.Teams {
		l.configureTeam(&doc.Teams[i])
	}
	for name, t := range l.teams {
		if !t.known && t.inFlight() == 0 {
			delete(l.teams, name)
		}
	}
}

// configureTeam applies one team.
func (l *Ledger) configureTeam(d *live.Team) {
	t := l.teams[d.Name]
	if t == nil {
		t = &team{name: d.Name, weight: live.DefaultWeight, index: -1}
		l.teams[d.Name] = t
	}
	weight := d.Weight
	if weight <= 0 {
		weight = live.DefaultWeight
	}
	l.queue.reweigh(t, weight)
	t.maxInFlight = d.MaxInFlight
	if t.maxInFlight <= 0 {
		t.maxInFlight = live.DefaultMaxInFlight
	}
	t.labels = d.Labels
	t.known = true
}

// configureLinks applies the link rates; running transfers continue at the new
// rate.
func (l *Ledger) configureLinks(doc *live.Document) {
	l.limits = doc.Links
	for key, known := range l.links {
		rate, ok := findLink(l.limits, key)
		if !ok {
			delete(l.links, key)
			continue
		}
		known.advance(l.now)
		known.rate = rate
	}
}

// linkBetween returns the link between two failure domains, nil if it has no
// limit.
func (l *Ledger) linkBetween(from, to id.Domain) *link {
	key := linkKey{from: from, to: to}
	known, ok := l.links[key]
	if ok {
		return known
	}
	rate, limited := findLink(l.limits, key)
	if !limited {
		return nil
	}
	known = &link{rate: rate, at: l.now}
	l.links[key] = known
	return known
}

// configureEndpoints applies the pool's endpoints. A removed endpoint is kept
// until its reservations have ended.
func (l *Ledger) configureEndpoints(doc *live.Document) {
	pool := FindPool(doc, l.options.Pool)
	var chosen []*live.Endpoint
	if pool != nil {
		found, err := PoolEndpoints(doc, pool)
		if err != nil {
			l.violate("configuration", err.Error())
			return
		}
		chosen = found
		l.model = pool.Model
	}
	in := map[id.Endpoint]bool{}
	for _, d := range chosen {
		in[d.Name] = true
		l.configureEndpoint(d)
	}
	for name, e := range l.endpoints {
		if !in[name] {
			l.dropEndpoint(e)
		}
	}
}

// configureEndpoint applies one endpoint.
func (l *Ledger) configureEndpoint(d *live.Endpoint) {
	e := l.endpoints[d.Name]
	if e == nil {
		e = l.newEndpoint(d)
		l.endpoints[d.Name] = e
	}
	l.fleet.remove(e)
	e.domain = d.Domain
	e.configured = d.Slots
	if e.configured <= 0 {
		e.configured = live.DefaultSlots
	}
	e.labelRole = LabelledRole(d)
	e.labelLeaving = live.IsLeaving(d)
	e.inPool = true
	e.promote()
	l.reindex(e)
}

// newEndpoint returns an endpoint with the estimates of the configuration.
func (l *Ledger) newEndpoint(d *live.Endpoint) *endpoint {
	rate := d.PrefillTokensPerSecond
	if rate <= 0 {
		rate = live.DefaultPrefillPerSecond
	}
	token := d.DecodeTokenMS
	if token <= 0 {
		token = live.DefaultDecodeTokenMS
	}
	e := &endpoint{
		name:        d.Name,
		prefillRate: newAverage(rate),
		tokenTime:   newAverage(token / 1000),
	}
	e.cache = newCacheView(l.options.CacheBlocks, l.options.CacheLife, func(block uint64) {
		l.caches.remove(block, e)
	})
	l.pool.addConfigured(LabelledRole(d), rate, token/1000)
	return e
}

// dropEndpoint removes an endpoint from the pool. Its state is deleted if no
// work runs on it.
func (l *Ledger) dropEndpoint(e *endpoint) {
	l.fleet.remove(e)
	e.inPool = false
	e.cache.clear()
	if e.idle() {
		delete(l.endpoints, e.name)
	}
}

// reindex inserts a changed endpoint into the index again if it passes the static
// filters. Each change is enclosed by fleet.remove and reindex.
func (l *Ledger) reindex(e *endpoint) {
	l.promoted = append(l.promoted, e.promoted...)
	e.promoted = e.promoted[:0]
	l.staticCycle.model = l.model
	filters := l.pipeline.static[e.role()]
	if filters == nil || !keepAll(filters, &l.staticCycle, e) {
		return
	}
	l.fleet.insert(e, l.now, l.random.Uint64())
}
