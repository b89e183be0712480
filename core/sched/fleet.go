package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

// fleet indexes by role the endpoints that may get work.
type fleet struct {
	roles map[live.Role]*index
	// slots is the number of slots by role; prefill engines have none.
	slots map[live.Role]int
	// prefillSeconds is the predicted time of all granted prefills that have not
	// ended, in seconds.
	prefillSeconds float64
}

// newFleet returns an empty fleet.
func newFleet() fleet {
	f := fleet{roles: map[live.Role]*index{}, slots: map[live.Role]int{}}
	for _, r := range []live.Role{live.RolePrefill, live.RoleDecode, live.RolePlain} {
		f.roles[r] = newIndex()
	}
	return f
}

// remove removes an endpoint from its index; it must be called before any change
// to the endpoint.
func (f *fleet) remove(e *endpoint) {
	if !e.indexed {
		return
	}
	f.roles[e.indexedRole].remove(e)
	f.slots[e.indexedRole] -= e.indexedSlots
}

// insert adds an endpoint to the index of its role.
func (f *fleet) insert(e *endpoint, now time.Duration, tie uint64) {
	role := e.role()
	x := f.roles[role]
	if x == nil {
		return
	}
	e.indexedRole = role
	e.indexedSlots = 0
	if role != live.RolePrefill {
		e.indexedSlots = e.slots()
	}
	e.key = keyOf(e, now, tie)
	x.insert(e)
	f.slots[role] += e.indexedSlots
}

// keyOf returns the endpoint's key in the index of its role.
func keyOf(e *endpoint, now time.Duration, tie uint64) indexKey {
	key := indexKey{class: capacityNow, tie: tie, e: e}
	if e.role() == live.RolePrefill {
		key.at = max(e.busyUntil, e.fullUntil)
		return key
	}
	if e.free(now) > 0 {
		used := e.foreign + len(e.held) + len(e.pending)
		key.load = float64(used) / float64(e.slots())
		return key
	}
	at, _, ok := e.slotFreeAt(now)
	if !ok {
		key.class = noCapacity
		return key
	}
	key.class = capacitySoon
	key.at = at
	return key
}

// engines counts the prefill engines that may get work.
func (f *fleet) engines() int { return f.roles[live.RolePrefill].size }

// meanQueue returns the mean predicted time of the prefill queues.
func (f *fleet) meanQueue() time.Duration {
	if f.engines() == 0 {
		return 0
	}
	return seconds(f.prefillSeconds / float64(f.engines()))
}

// earliest predicts when the first endpoint of a role can take work; it returns
// never if no endpoint can.
func (f *fleet) earliest(role live.Role, now time.Duration) time.Duration {
	soonest := never
	x := f.roles[role]
	for _, d := range x.domains {
		key, ok := x.trees[d].Min()
		if !ok || key.class == noCapacity {
			continue
		}
		soonest = min(soonest, max(now, key.at))
	}
	return soonest
}
