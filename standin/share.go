package standin

import (
	"container/heap"
	"time"
)

// share is a link whose rate is shared equally by its transfers. It is a plain
// state: the time goes in, the transfers that ended come out.
type sharedLink struct {
	rate      float64 // bytes a second
	updatedAt time.Duration
	served    float64 // bytes that a transfer present from the start would have got
	transfers transferHeap
}

// shareItem is one transfer; it ends when served reaches its target.
type transfer struct {
	target float64
	done   chan struct{}
	index  int
}

// endSlack is what rounding may leave of a transfer, in bytes.
const endToleranceBytes = 1e-3

// join adds a transfer.
func (s *sharedLink) add(now time.Duration, bytes int64) *transfer {
	s.advance(now)
	item := &transfer{target: s.served + float64(bytes), done: make(chan struct{})}
	heap.Push(&s.transfers, item)
	return item
}

// leave drops a transfer that did not end.
func (s *sharedLink) remove(now time.Duration, item *transfer) {
	s.advance(now)
	if item.index >= 0 {
		heap.Remove(&s.transfers, item.index)
	}
}

// advance serves the transfers until now and ends those that are through. A
// transfer that ends in between leaves its share to the others from then on.
func (s *sharedLink) advance(now time.Duration) {
	for len(s.transfers) > 0 && s.nextEnd() <= now {
		at := s.nextEnd()
		item := heap.Pop(&s.transfers).(*transfer)
		s.served = item.target
		s.updatedAt = max(s.updatedAt, at)
		close(item.done)
	}
	if len(s.transfers) > 0 && now > s.updatedAt {
		s.served += (now - s.updatedAt).Seconds() * s.rate / float64(len(s.transfers))
	}
	s.updatedAt = max(s.updatedAt, now)
}

// next is when the next transfer ends if none joins; only with transfers.
func (s *sharedLink) nextEnd() time.Duration {
	left := s.transfers[0].target - s.served
	if left <= endToleranceBytes {
		return s.updatedAt
	}
	seconds := left * float64(len(s.transfers)) / s.rate
	return s.updatedAt + time.Duration(seconds*float64(time.Second)) + 1
}

// shareHeap orders transfers by their targets.
type transferHeap []*transfer

// Len implements heap.Interface.
func (h transferHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h transferHeap) Less(i, j int) bool { return h[i].target < h[j].target }

// Swap implements heap.Interface.
func (h transferHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *transferHeap) Push(x any) {
	item := x.(*transfer)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *transferHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	item.index = -1
	return item
}
