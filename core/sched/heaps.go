package sched

// teamHeap orders the teams that have requests waiting by their place in
// virtual time, heavy ones behind all others: virtual time alone forgets what a
// team took while nobody else asked. It implements heap.Interface.
type teamHeap []*team

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].heavy != h[j].heavy {
		return h[j].heavy
	}
	if h[i].position != h[j].position {
		return h[i].position < h[j].position
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// latestHeap orders waiting requests by the last moment of a useful grant; it
// implements heap.Interface.
type latestHeap []*waiting

func (h latestHeap) Len() int { return len(h) }

func (h latestHeap) Less(i, j int) bool {
	if h[i].latest != h[j].latest {
		return h[i].latest < h[j].latest
	}
	return h[i].seq < h[j].seq
}

func (h latestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *latestHeap) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *latestHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
