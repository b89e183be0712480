package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/google/btree"

	"github.com/samphirequay/samphirequay/core/id"
)

// indexDegree is the degree of the index's trees.
const indexDegree = 16

// The classes of index keys.
const (
	// roomNow is the class of endpoints with room.
	capacityNow int8 = iota
	// roomSoon is the class of those with a predicted release.
	capacitySoon
	// noRoom is the class of those without.
	noCapacity
)

// indexKey orders endpoints by how soon they can take work.
type indexKey struct {
	class int8
	load  float64
	at    time.Duration
	tie   uint64
	e     *endpoint
}

// less orders keys; the tie numbers are seeded and all but unique, names
// settle the rest.
func (k indexKey) less(o indexKey) bool {
	if k.class != o.class {
		return k.class < o.class
	}
	if k.load != o.load {
		return k.load < o.load
	}
	if k.at != o.at {
		return k.at < o.at
	}
	if k.tie != o.tie {
		return k.tie < o.tie
	}
	return cmp.Less(k.e.name, o.e.name)
}

// index holds the endpoints of one role by failure domain.
type index struct {
	domains []id.Domain
	trees   map[id.Domain]*btree.BTreeG[indexKey]
	size    int
}

// newIndex returns an empty index.
func newIndex() *index {
	return &index{trees: map[id.Domain]*btree.BTreeG[indexKey]{}}
}

// insert adds an endpoint under its key.
func (x *index) insert(e *endpoint) {
	t := x.trees[e.domain]
	if t == nil {
		t = btree.NewG(indexDegree, indexKey.less)
		x.trees[e.domain] = t
		x.domains = append(x.domains, e.domain)
		slices.Sort(x.domains)
	}
	t.ReplaceOrInsert(e.key)
	e.indexed = true
	x.size++
}

// remove takes an endpoint out.
func (x *index) remove(e *endpoint) {
	if _, ok := x.trees[e.domain].Delete(e.key); ok {
		x.size--
	}
	e.indexed = false
}

// nearest visits the endpoints of each domain, soonest first, until take has
// taken count of the domain or says to stop there.
func (x *index) nearest(count int, take func(e *endpoint) (taken, more bool)) {
	for _, d := range x.domains {
		left := count
		x.trees[d].Ascend(func(k indexKey) bool {
			taken, more := take(k.e)
			if taken {
				left--
			}
			return more && left > 0
		})
	}
}
