package standin

import (
	"container/heap"
	"time"
)

// sharedLink is a link whose rate is shared equally by its transfers (processor
// sharing). It reads no clock: callers pass the time. The done channels of
// ended transfers are closed.
type sharedLink struct {
	rate      float64 // bytes a second
	updatedAt time.Duration
	served    float64 // bytes that a transfer present from the start would have received
	transfers transferHeap
}

// transfer is one transfer of a link; it ends when served reaches its target.
type transfer struct {
	target float64
	done   chan struct{}
	index  int
}

// endToleranceBytes is the remainder that rounding may leave of a transfer, in
// bytes.
const endToleranceBytes = 1e-3

// add starts a transfer of a number of bytes.
func (s *sharedLink) add(now time.Duration, bytes int64) *transfer {
	s.advance(now)
	item := &transfer{target: s.served + float64(bytes), done: make(chan struct{})}
	heap.Push(&s.transfers, item)
	return item
}

// remove removes a transfer that has not ended.
func (s *sharedLink) remove(now time.Duration, item *transfer) {
	s.advance(now)
	if item.index >= 0 {
		heap.Remove(&s.transfers, item.index)
	}
}

// advance serves the transfers until now and ends the complete ones. From the
// time at which a transfer ends the others share its rate.
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

// nextEnd returns when the next transfer ends if none is added. There must be at
// least one transfer.
func (s *sharedLink) nextEnd() time.Duration {
	left := s.transfers[0].target - s.served
	if left <= endToleranceBytes {
		return s.updatedAt
	}
	seconds := left * float64(len(s.transfers)) / s.rate
	return s.updatedAt + time.Duration(seconds*float64(time.Second)) + 1
}

// transferHeap orders transfers by their targets.
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
