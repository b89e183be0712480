// Package registry keeps the list of endpoints that registered themselves in
// the platform's store. An entry that lapses while the store is away is kept
// until its endpoint has had time to register again; one that leaves by its own
// word, or whose address another endpoint has taken, is dropped at once. It is
// deterministic.
package registry

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Endpoint is one registered endpoint.
type Endpoint struct {
	// Name is the endpoint's incarnation: a restart registers under another name.
	Name    id.Endpoint
	Service id.Service
	// Address is IP:port.
	Address string
	Domain  id.Domain
	// Slots is how many requests it runs at once.
	Slots int
	// Role of a model engine; empty for a plain endpoint.
	Role live.Role
	// Leaving is the endpoint's own word that it takes no new work.
	Leaving bool
}

// returnGrace is how long after the store's return an endpoint may take to
// register again; the platform promises about two seconds.
const returnGrace = 2300 * time.Millisecond

// never is the time of what isn't due.
const never = time.Duration(math.MaxInt64)

// List is the registry as one daemon knows it. It is not safe for concurrent use.
type List struct {
	listed map[id.Endpoint]Endpoint
	// lapsed entries are missing from the store's list and kept for now.
	lapsed map[id.Endpoint]Endpoint
	away   bool
	// until is when lapsed entries are dropped; meaningless while away.
	until time.Duration
}

// New returns an empty List.
func New() *List {
	return &List{listed: map[id.Endpoint]Endpoint{}, lapsed: map[id.Endpoint]Endpoint{}}
}

// StoreLost notes that the store can't be reached.
func (l *List) StoreLost() { l.away = true }

// StoreBack notes that the store answers again.
func (l *List) StoreBack(now time.Duration) {
	if !l.away {
		return
	}
	l.away = false
	l.until = now + returnGrace
}

// Grace is how long entries that have gone may still come back; 0 where the
// store was not away lately.
func (l *List) Grace(now time.Duration) time.Duration {
	if l.away {
		return returnGrace
	}
	return max(0, l.until-now)
}

// Returned notes that the store was away, as another daemon found out, and that
// entries which have gone may come back within grace.
func (l *List) Returned(now, grace time.Duration) {
	if grace > 0 {
		l.until = max(l.until, now+min(grace, returnGrace))
	}
}

// Set takes the store's whole list. Entries that are missing from it are kept
// for a while if they may have lapsed only because the store was away.
func (l *List) Set(now time.Duration, entries []Endpoint) {
	old := l.listed
	l.listed = make(map[id.Endpoint]Endpoint, len(entries))
	for _, e := range entries {
		l.listed[e.Name] = e
	}
	if l.away || now < l.until {
		l.keepLapsed(old)
	} else {
		clear(l.lapsed)
	}
	l.dropReplaced()
}

// keepLapsed moves the entries that have gone, and did not say so, aside.
func (l *List) keepLapsed(old map[id.Endpoint]Endpoint) {
	for name, e := range old {
		if _, still := l.listed[name]; !still && !e.Leaving {
			l.lapsed[name] = e
		}
	}
}

// dropReplaced drops lapsed entries that are listed again, or whose address
// another endpoint has.
func (l *List) dropReplaced() {
	taken := make(map[string]bool, len(l.listed))
	for _, e := range l.listed {
		taken[e.Address] = true
	}
	maps.DeleteFunc(l.lapsed, func(name id.Endpoint, e Endpoint) bool {
		_, listed := l.listed[name]
		return listed || taken[e.Address]
	})
}

// Tick drops the lapsed entries whose time is over; it says whether there were
// any.
func (l *List) Tick(now time.Duration) bool {
	if now < l.Next() {
		return false
	}
	clear(l.lapsed)
	return true
}

// Next is when Tick is due.
func (l *List) Next() time.Duration {
	if l.away || len(l.lapsed) == 0 {
		return never
	}
	return l.until
}

// Lapsed is how many entries are kept though the store lists them no more.
func (l *List) Lapsed() int { return len(l.lapsed) }

// All lists the endpoints that count as there, by name.
func (l *List) All() []Endpoint {
	out := slices.AppendSeq(make([]Endpoint, 0, len(l.listed)+len(l.lapsed)), maps.Values(l.listed))
	out = slices.AppendSeq(out, maps.Values(l.lapsed))
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}
