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
	// capacityNow is the class of endpoints that can take work now.
	capacityNow int8 = iota
	// capacitySoon is the class of endpoints with a predicted slot release.
	capacitySoon
	// noCapacity is the class of endpoints without a predicted slot release.
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

// less orders keys. Equal keys are ordered by seeded random tie numbers and then
// by name.
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

// index holds the endpoints of one role, grouped by failure domain.
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

// remove removes an endpoint.
func (x *index) remove(e *endpoint) {
	if _, ok := x.trees[e.domain].Delete(e.key); ok {
		x.size--
	}
	e.indexed = false
}

// nearest visits the endpoints of each domain in key order until take has taken
// count endpoints of the domain or returns false for more.
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
