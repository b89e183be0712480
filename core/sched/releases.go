package sched

import (
	"time"

	"github.com/google/btree"
)

// releaseKey is the predicted release of one decode slot.
type releaseKey struct {
	at        time.Duration
	number    uint64
	deviation time.Duration
}

func (k releaseKey) less(o releaseKey) bool {
	if k.at != o.at {
		return k.at < o.at
	}
	return k.number < o.number
}

// releases holds the predicted releases of all decode slots of the pool, and
// how many reservations wait for one. Since a waiting KV cache is bound to
// whichever slot is free first, the next request gets the first release behind
// those, wherever it is.
type releases struct {
	tree    *btree.BTreeG[releaseKey]
	pending int
}

func newReleases() releases {
	return releases{tree: btree.NewG(indexDegree, releaseKey.less)}
}

// enter adds an endpoint's slots; leave takes them out again.
func (x *releases) enter(e *endpoint) {
	for _, r := range e.held {
		key := releaseKey{at: r.release, number: r.number, deviation: r.deviation}
		x.tree.ReplaceOrInsert(key)
		e.indexedReleases = append(e.indexedReleases, key)
	}
	e.indexedPending = len(e.pending)
	x.pending += e.indexedPending
}

func (x *releases) leave(e *endpoint) {
	for _, key := range e.indexedReleases {
		x.tree.Delete(key)
	}
	e.indexedReleases = e.indexedReleases[:0]
	x.pending -= e.indexedPending
	e.indexedPending = 0
}

// next predicts when one more request gets a slot, and how far the prediction
// may be off; ok is false when all predicted releases are waited for.
func (x *releases) next(now time.Duration) (at, deviation time.Duration, ok bool) {
	ahead := x.pending
	x.tree.Ascend(func(k releaseKey) bool {
		if ahead > 0 {
			ahead--
			return true
		}
		at, deviation, ok = k.at, k.deviation, true
		return false
	})
	if ok && at <= now {
		at = now + deviation
	}
	return at, deviation, ok
}
