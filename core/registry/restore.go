package registry

import (
	"maps"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// returnedHold is how long an entry that was removed, and is listed again after the store
// came back from an older copy, gets no requests. The store drops the entry of an endpoint
// that has ended after three missed heartbeats, which is sooner.
const returnedHold = 5 * time.Second

// maxEnded bounds the remembered endpoints that have ended: those of the seconds by which
// a copy of the store may be older count.
const maxEnded = 1024

// heldEntry is an entry that gets no requests until a time.
type heldEntry struct {
	entry Endpoint
	until time.Duration
}

// restores tracks what a store that comes back from an older copy would undo.
type restores struct {
	// ended holds the endpoints whose entry was removed, and did not lapse.
	ended *simplelru.LRU[id.Endpoint, struct{}]
	// held holds entries of ended endpoints that the store lists again.
	held map[id.Endpoint]heldEntry
}

func newRestores() restores {
	return restores{ended: newCache[id.Endpoint](maxEnded), held: map[id.Endpoint]heldEntry{}}
}

// isRestore reports whether the store came back from an older copy between the list's
// position and a later one.
func (l *List) isRestore(position uint64) bool {
	return l.position > 0 && table.Era(position) > table.Era(l.position)
}

// holdReturned begins to hold the entries of endpoints that had ended before the store
// came back from an older copy.
func (l *List) holdReturned(now time.Duration, entries []Endpoint) {
	for _, e := range entries {
		if l.restores.ended.Contains(e.Name) {
			l.restores.held[e.Name] = heldEntry{entry: e, until: now + returnedHold}
		}
	}
}

// withoutHeld returns the entries that are not held, and updates those that are.
func (l *List) withoutHeld(now time.Duration, entries []Endpoint) []Endpoint {
	if len(l.restores.held) == 0 {
		return entries
	}
	still := map[id.Endpoint]heldEntry{}
	out := make([]Endpoint, 0, len(entries))
	for _, e := range entries {
		h, held := l.restores.held[e.Name]
		if !held || now >= h.until {
			out = append(out, e)
			continue
		}
		still[e.Name] = heldEntry{entry: e, until: h.until}
	}
	l.restores.held = still
	return out
}

// ReleaseReturned lists the held entries that the store still lists at the end of
// returnedHold: their endpoints live. It reports whether there were any.
func (l *List) ReleaseReturned(now time.Duration) bool {
	before := len(l.restores.held)
	maps.DeleteFunc(l.restores.held, func(name id.Endpoint, h heldEntry) bool {
		if now < h.until {
			return false
		}
		if h.entry.Name != "" {
			l.listed[name] = h.entry
		}
		return true
	})
	return len(l.restores.held) < before
}

// Endings is what a daemon knows of endpoints that leave or have ended, which a store that
// came back from an older copy may list as ready.
type Endings struct {
	Leaving []id.Endpoint `cbor:"1,keyasint,omitempty"`
	Ended   []id.Endpoint `cbor:"2,keyasint,omitempty"`
}

// Endings returns the known endings.
func (l *List) Endings() Endings {
	return Endings{Leaving: l.saidLeaving.Keys(), Ended: l.restores.ended.Keys()}
}

// AdoptEndings applies what another daemon knows to the list of a daemon that has just
// started. Entries of ended endpoints are held as after a return of the store, also if they
// are not known yet.
func (l *List) AdoptEndings(now time.Duration, e Endings) {
	for _, name := range e.Leaving {
		l.MarkLeaving(name)
	}
	for _, name := range e.Ended {
		if _, held := l.restores.held[name]; held {
			continue
		}
		l.restores.ended.Add(name, struct{}{})
		l.restores.held[name] = heldEntry{entry: l.listed[name], until: now + returnedHold}
		delete(l.listed, name)
	}
}

// Held returns the number of entries that the store lists and that get no requests, since
// they may be those of endpoints that have ended.
func (l *List) Held() int { return len(l.restores.held) }

// recordEnded records the endpoints among the former ones that are neither listed nor
// kept.
func (l *List) recordEnded(former []Endpoint) {
	for _, e := range former {
		_, listed := l.listed[e.Name]
		_, kept := l.lapsed[e.Name]
		if !listed && !kept {
			l.restores.ended.Add(e.Name, struct{}{})
		}
	}
}
