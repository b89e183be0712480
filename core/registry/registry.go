// Package registry keeps the list of endpoints that registered themselves in
// the platform's store. An entry that lapses during an outage of the store is kept
// until its endpoint has had time to register again; an endpoint that announced its
// leaving, or whose address another endpoint has taken, is dropped at once. Outages
// are derived from the times at which the store responded to any daemon
// (core/uptime). An endpoint's own word takes precedence over its entry, which may be
// late: that it leaves, or that it has restarted. The package is deterministic.
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

// maxDisplaced bounds the recorded displaced endpoints, enough for some hours of
// restarts at 900 endpoints.
const maxDisplaced = 1024

// List is one daemon's view of the registry. It is not safe for concurrent use.
type List struct {
	listed map[id.Endpoint]Endpoint
	// position is the version of the store up to which the list is up to date.
	position uint64
	// lapsed holds entries that are missing from the store's list and kept for now.
	lapsed map[id.Endpoint]lapsedEntry
	// restarted holds, by instance, endpoints that reported a later start than that
	// of their entry, until the entry is updated.
	restarted map[id.Instance]Endpoint
	// displaced holds the locations at which another process responded.
	displaced *simplelru.LRU[location, struct{}]
	// saidLeaving holds the endpoints that have said that they leave.
	saidLeaving *simplelru.LRU[id.Endpoint, struct{}]
	restores    restores
	outage      outage
}

// New returns an empty List.
func New() *List {
	return &List{
		listed:      map[id.Endpoint]Endpoint{},
		lapsed:      map[id.Endpoint]lapsedEntry{},
		restarted:   map[id.Instance]Endpoint{},
		displaced:   newCache[location](maxDisplaced),
		saidLeaving: newCache[id.Endpoint](maxSaidLeaving),
		restores:    newRestores(),
	}
}

// newCache returns an empty set of at most size keys, which forgets the one that was not
// used for longest.
func newCache[K comparable](size int) *simplelru.LRU[K, struct{}] {
	cache, err := simplelru.NewLRU[K, struct{}](size, nil)
	if err != nil {
		panic("registry: cache of endpoints: " + err.Error())
	}
	return cache
}

// Set replaces the list by the store's whole list as of a position. Entries of
// unreadable instances, those whose entry can't be decoded, are dropped. Entries
// missing from the new list are kept for a while if they may have lapsed because of
// an outage of the store. An entry of an earlier start than the latest known one of
// its instance belongs to a process that has ended. That an endpoint leaves is final for
// its incarnation, also if the store comes back from a copy in which it does not.
func (l *List) Set(now time.Duration, position uint64, entries []Endpoint, unreadable ...id.Instance) {
	old, after := l.listed, l.position
	former := l.entries()
	if l.isRestore(position) {
		// Entries may be missing until their endpoints write them again.
		l.SuspectOutage(now)
		l.holdReturned(now, entries)
	}
	entries = l.withoutHeld(now, entries)
	latest := latestStarts(former)
	l.listed = make(map[id.Endpoint]Endpoint, len(entries))
	for _, e := range entries {
		if known, ok := latest[e.Instance]; ok && e.older(&known) {
			e = known
			e.UnlistedSince = 0
		}
		if e.Leaving {
			l.MarkLeaving(e.Name)
		}
		l.restores.ended.Remove(e.Name)
		l.listed[e.Name] = e
	}
	l.position = position
	if l.outage.mayHaveLapsed(now) {
		l.keepLapsed(now, old, after)
	}
	l.dropUnreadable(unreadable)
	l.DropRemoved()
	l.dropReplaced()
	l.dropAppliedRestarts()
	l.recordEnded(former)
}

// latestStarts returns the entry with the latest start of each instance that reports
// its start time.
func latestStarts(entries []Endpoint) map[id.Instance]Endpoint {
	latest := map[id.Instance]Endpoint{}
	for _, e := range entries {
		if e.StartedUnixMS > latest[e.Instance].StartedUnixMS {
			latest[e.Instance] = e
		}
	}
	return latest
}

// keepLapsed moves entries that went missing after a position, and did not announce
// their leaving, to the lapsed entries.
func (l *List) keepLapsed(now time.Duration, old map[id.Endpoint]Endpoint, after uint64) {
	for name, e := range old {
		if _, still := l.listed[name]; !still && !l.leaves(&e) {
			e.UnlistedSince = now
			l.lapsed[name] = lapsedEntry{entry: e, after: after, upTo: l.position}
		}
	}
}

// dropUnreadable drops the kept entries of instances whose entry can't be decoded.
func (l *List) dropUnreadable(unreadable []id.Instance) {
	maps.DeleteFunc(l.lapsed, func(_ id.Endpoint, p lapsedEntry) bool { return slices.Contains(unreadable, p.entry.Instance) })
}

// dropReplaced drops lapsed entries that are listed again, whose instance has
// restarted, or whose address another endpoint uses.
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

// dropAppliedRestarts drops reported restarts that the endpoints' entries now
// include, and those of endpoints without an entry.
func (l *List) dropAppliedRestarts() {
	for instance, restarted := range l.restarted {
		entry, ok := l.entry(instance)
		if !ok || !entry.older(&restarted) {
			delete(l.restarted, instance)
		}
	}
}

// entries returns the listed entries, followed by the kept ones.
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

// entry returns the entry of an instance, listed or lapsed.
func (l *List) entry(instance id.Instance) (Endpoint, bool) {
	entries := l.entries()
	i := slices.IndexFunc(entries, func(e Endpoint) bool { return e.Instance == instance })
	if i < 0 {
		return Endpoint{}, false
	}
	return entries[i], true
}

// MarkDisplaced records that another process responded at an endpoint's address:
// entries with the same name and address are ignored from now on. It reports whether
// this was not recorded before.
func (l *List) MarkDisplaced(e Endpoint) bool {
	_, known := l.displaced.Get(e.location())
	l.displaced.Add(e.location(), struct{}{})
	return !known
}

// Restarted records an endpoint's own report of a later start than that of its entry,
// and of its present role. It reports whether this was not recorded before.
func (l *List) Restarted(instance id.Instance, startedUnixMS int64, role live.Role) bool {
	entry, ok := l.entry(instance)
	if !ok || startedUnixMS <= entry.StartedUnixMS || startedUnixMS <= l.restarted[instance].StartedUnixMS {
		return false
	}
	entry.StartedUnixMS = startedUnixMS
	entry.Name = Incarnation(instance, startedUnixMS)
	entry.Role = role
	// The new process may run other software than the one that wrote the entry.
	entry.Software = ""
	l.restarted[instance] = entry
	return true
}

// Lapsed returns the number of entries that are kept although the store no longer
// lists them.
func (l *List) Lapsed() int { return len(l.lapsed) }

// All lists the endpoints considered present, sorted by name.
func (l *List) All() []Endpoint {
	var out []Endpoint
	for _, e := range l.entries() {
		if restarted, ok := l.restarted[e.Instance]; ok && e.older(&restarted) {
			restarted.UnlistedSince = e.UnlistedSince
			e = restarted
		}
		e.Leaving = l.leaves(&e)
		if !l.displaced.Contains(e.location()) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// AddressConflicts lists the endpoints that share an address with another one: at
// most one of them is present, and only the process at the address can report which.
func (l *List) AddressConflicts() []Endpoint {
	all := l.All()
	claims := make(map[string]int, len(all))
	for _, e := range all {
		claims[e.Address]++
	}
	return slices.DeleteFunc(all, func(e Endpoint) bool { return claims[e.Address] < 2 })
}
