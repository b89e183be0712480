package callsched

import (
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// service is a service of the pool.
type service struct {
	*live.Service
	// pace is how the service's calls compare with the endpoints' expected time.
	pace pace
}

// Configure implements sched.Scheduler.
func (l *Ledger) Configure(now time.Duration, doc *live.Document) []sched.Action {
	l.begin(now)
	l.configureServices(doc)
	l.shares.Configure(doc.Teams)
	l.configureEndpoints(doc)
	l.roomChanged()
	return l.finish(nil)
}

// configureServices applies the pool's services; what was learned of them is kept.
func (l *Ledger) configureServices(doc *live.Document) {
	old := l.services
	l.services = map[id.Service]*service{}
	for i := range doc.Services {
		s := &doc.Services[i]
		if s.Pool != l.options.Pool || s.Type != live.ServicePlain {
			continue
		}
		configured := &service{Service: s}
		if known := old[s.Name]; known != nil {
			configured.pace = known.pace
		}
		l.services[s.Name] = configured
	}
}

// configureEndpoints applies the pool's endpoints. One that has left the pool is forgotten;
// its grants end as they are reported.
func (l *Ledger) configureEndpoints(doc *live.Document) {
	old := l.endpoints
	listed := l.listed(doc)
	l.endpoints = make(map[id.Endpoint]*endpoint, len(listed))
	l.order = l.order[:0]
	members := make([]concurrency.Member, 0, len(listed))
	for _, c := range listed {
		e := old[c.Name]
		if e == nil {
			e = &endpoint{name: c.Name}
		}
		e.configure(c)
		l.endpoints[c.Name] = e
		l.order = append(l.order, e)
	}
	slices.SortFunc(l.order, func(a, b *endpoint) int { return strings.Compare(string(a.name), string(b.name)) })
	for _, e := range l.order {
		members = append(members, concurrency.Member{Endpoint: e.name, Slots: e.slots})
	}
	l.limiter.Configure(l.now, members)
}

// listed returns the pool's endpoints that take plain calls.
func (l *Ledger) listed(doc *live.Document) []*live.Endpoint {
	pool := sched.FindPool(doc, l.options.Pool)
	if pool == nil {
		return nil
	}
	// An invalid selector leaves the pool without endpoints; the check of the
	// configuration has reported it.
	found, _ := sched.PoolEndpoints(doc, pool)
	return slices.DeleteFunc(found, func(e *live.Endpoint) bool {
		role := sched.LabelledRole(e)
		return role != "" && role != live.RolePlain
	})
}

// Load implements sched.Scheduler. Only reachability and the drained state are taken from a
// report; its figures are older than the ledger's.
func (l *Ledger) Load(now time.Duration, report sched.Load) []sched.Action {
	l.begin(now)
	if e := l.endpoints[report.Endpoint]; e != nil {
		e.report(report)
		l.roomChanged()
	}
	return l.finish(nil)
}
