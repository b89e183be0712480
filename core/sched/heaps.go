package sched

// heapItem is an item of an indexedHeap.
type heapItem[T any] interface {
	comparable
	// before reports whether the item sorts before another.
	before(other T) bool
	// heapIndex returns the address of the item's index in the heap. The index is
	// -1 after the item is removed.
	heapIndex() *int
}

// indexedHeap is a heap whose items store their indexes, so that any item can be
// moved or removed. It implements heap.Interface.
type indexedHeap[T heapItem[T]] []T

func (h indexedHeap[T]) Len() int { return len(h) }

func (h indexedHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	*h[i].heapIndex() = i
	*h[j].heapIndex() = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*item.heapIndex() = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	var none T
	old[last] = none
	*h = old[:last]
	*item.heapIndex() = -1
	return item
}

// before orders the teams that have requests waiting by start tag, with heavy
// teams after all others: virtual time alone does not account for the capacity
// that a team took while no other team had requests.
func (t *team) before(o *team) bool {
	if t.heavy != o.heavy {
		return o.heavy
	}
	if t.startTag != o.startTag {
		return t.startTag < o.startTag
	}
	return t.name < o.name
}

func (t *team) heapIndex() *int { return &t.index }

// before orders waiting requests by the latest time of a useful grant.
func (w *waiting) before(o *waiting) bool {
	if w.latest != o.latest {
		return w.latest < o.latest
	}
	return w.seq < o.seq
}

func (w *waiting) heapIndex() *int { return &w.index }

// before orders reservations by their expiry.
func (r *reservation) before(o *reservation) bool {
	if r.expires != o.expires {
		return r.expires < o.expires
	}
	return r.number < o.number
}

func (r *reservation) heapIndex() *int { return &r.expiryIndex }
