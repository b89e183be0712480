// Package registry keeps the list of endpoints that registered themselves in
// the platform's store. An entry that lapses while the store is away is kept
// until its endpoint has had time to register again; one that leaves by its own
// word, or whose address another endpoint has taken, is dropped at once. Whether
// the store was away is told by when it answered any daemon (core/uptime). What
// an endpoint says itself goes before its entry: a process that has ended may
// have its entry written once more by a late heartbeat. It is deterministic.
package registry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// rememberedPlaces bounds what is remembered of endpoints that are not where
// their entries say: some hours of restarts at 900 endpoints.
const maxDisplaced = 1024

// List is the registry as one daemon knows it. It is not safe for concurrent use.
type List struct {
	listed map[id.Endpoint]Endpoint
	// position is the version of the store up to which the list is known.
	position uint64
	// lapsed entries are missing from the store's list and kept for now.
	lapsed map[id.Endpoint]lapsedEntry
	// restarted are endpoints that told of a later start than their entry, by
	// instance, until their entry follows.
	restarted map[id.Instance]Endpoint
	// displaced are the places at which another process answered.
	displaced *simplelru.LRU[location, struct{}]
	outage    outage
}

// New returns an empty List.
func New() *List {
	displaced, err := simplelru.NewLRU[location, struct{}](maxDisplaced, nil)
	if err != nil {
		panic("registry: memory of displaced endpoints: " + err.Error())
	}
	return &List{
		listed:    map[id.Endpoint]Endpoint{},
		lapsed:    map[id.Endpoint]lapsedEntry{},
		restarted: map[id.Instance]Endpoint{},
		displaced: displaced,
	}
}

// Set takes the store's whole list as of a position, and the instances whose
// entries can't be read: they are gone. Entries that are missing from it are kept
// for a while if they may have lapsed only because the store was away. An entry
// of an earlier start than is known of its instance is that of a process which
// has ended.
func (l *List) Set(now time.Duration, position uint64, entries []Endpoint, unreadable ...id.Instance) {
	old, behind := l.listed, l.position
	latest := latestStarts(l.entries())
	l.listed = make(map[id.Endpoint]Endpoint, len(entries))
	for _, e := range entries {
		if known, ok := latest[e.Instance]; ok && e.older(&known) {
			e = known
			e.UnlistedSince = 0
		}
		l.listed[e.Name] = e
	}
	l.position = position
	if l.outage.mayHaveLapsed(now) {
		l.keepLapsed(now, old, behind)
	}
	l.dropUnreadable(unreadable)
	l.Settle()
	l.dropReplaced()
	l.dropAppliedRestarts()
}

// latestStarts gives the latest known start of each instance that says when it
// started.
func latestStarts(entries []Endpoint) map[id.Instance]Endpoint {
	latest := map[id.Instance]Endpoint{}
	for _, e := range entries {
		if e.Born > latest[e.Instance].Born {
			latest[e.Instance] = e
		}
	}
	return latest
}

// keepLapsed moves the entries that have gone since a position, and did not say
// so, aside.
func (l *List) keepLapsed(now time.Duration, old map[id.Endpoint]Endpoint, behind uint64) {
	for name, e := range old {
		if _, still := l.listed[name]; !still && !e.Leaving {
			e.UnlistedSince = now
			l.lapsed[name] = lapsedEntry{entry: e, after: behind, upTo: l.position}
		}
	}
}

// dropUnreadable drops the kept entries of instances whose entry can't be read.
func (l *List) dropUnreadable(unreadable []id.Instance) {
	maps.DeleteFunc(l.lapsed, func(_ id.Endpoint, p lapsedEntry) bool { return slices.Contains(unreadable, p.entry.Instance) })
}

// dropReplaced drops lapsed entries that are listed again, whose instance has
// started again, or whose address another endpoint has.
func (l *List) dropReplaced() {
	taken := make(map[string]bool, len(l.listed))
	instances := make(map[id.Instance]bool, len(l.listed))
	for _, e := range l.listed {
		taken[e.Address] = true
		instances[e.Instance] = e.Instance != ""
	}
	maps.DeleteFunc(l.lapsed, func(name id.Endpoint, p lapsedEntry) bool {
		_, listed := l.listed[name]
		return listed || taken[p.entry.Address] || instances[p.entry.Instance]
	})
}

// dropFollowed forgets the restarts that the endpoints' entries tell of by now,
// and those of endpoints that are listed no more.
func (l *List) dropAppliedRestarts() {
	for instance, told := range l.restarted {
		entry, ok := l.entry(instance)
		if !ok || !entry.older(&told) {
			delete(l.restarted, instance)
		}
	}
}

// entries are those that are listed, and behind them those that are kept.
func (l *List) entries() []Endpoint {
	out := make([]Endpoint, 0, len(l.listed)+len(l.lapsed))
	for _, e := range l.listed {
		out = append(out, e)
	}
	for _, p := range l.lapsed {
		out = append(out, p.entry)
	}
	return out
}

// entry is the entry of an instance, listed or lapsed.
func (l *List) entry(instance id.Instance) (Endpoint, bool) {
	entries := l.entries()
	i := slices.IndexFunc(entries, func(e Endpoint) bool { return e.Instance == instance })
	if i < 0 {
		return Endpoint{}, false
	}
	return entries[i], true
}

// Displace notes that another process answered at an endpoint's address: no
// entry that names both counts again. It says whether that is news.
func (l *List) Displace(e Endpoint) bool {
	_, known := l.displaced.Get(e.location())
	l.displaced.Add(e.location(), struct{}{})
	return !known
}

// Restarted takes an endpoint's own word that it started later than its entry
// says, and which role it has now. It says whether that is news.
func (l *List) Restarted(instance id.Instance, born int64, role live.Role) bool {
	entry, ok := l.entry(instance)
	if !ok || born <= entry.Born || born <= l.restarted[instance].Born {
		return false
	}
	entry.Born = born
	entry.Name = Incarnation(instance, born)
	entry.Role = role
	l.restarted[instance] = entry
	return true
}

// Lapsed is how many entries are kept though the store lists them no more.
func (l *List) Lapsed() int { return len(l.lapsed) }

// All lists the endpoints that count as there, by name.
func (l *List) All() []Endpoint {
	var out []Endpoint
	for _, e := range l.entries() {
		if told, ok := l.restarted[e.Instance]; ok && e.older(&told) {
			told.UnlistedSince = e.UnlistedSince
			e = told
		}
		if !l.displaced.Contains(e.location()) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// Disputed lists the endpoints whose address another one has as well: one of
// them is not there, which only the process at the address can tell.
func (l *List) Disputed() []Endpoint {
	all := l.All()
	claims := make(map[string]int, len(all))
	for _, e := range all {
		claims[e.Address]++
	}
	return slices.DeleteFunc(all, func(e Endpoint) bool { return claims[e.Address] < 2 })
}
