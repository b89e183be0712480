// Package ring provides bounded, typed queues between goroutines. Every ring has
// a policy for items that do not fit, and reports its depth and drops as
// metrics.
package ring

import (
	"context"
	"sync/atomic"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// Policy determines what Put does when the ring is full.
type Policy uint8

// The policies for a full ring.
const (
	// Reject drops the new item; Put returns false.
	Reject Policy = iota + 1
	// DropOldest drops the oldest items until the new item fits.
	DropOldest
	// Block waits until the item fits; Put returns false if the context ends
	// first.
	Block
)

// Ring is a bounded queue for concurrent writers and readers.
type Ring[T any] struct {
	items   chan T
	policy  Policy
	dropped atomic.Uint64
}

// New returns a ring for capacity items (at least one) and declares its depth
// and drops in the registry, which may be nil.
func New[T any](name string, capacity int, policy Policy, registry *metrics.Registry) *Ring[T] {
	r := &Ring[T]{items: make(chan T, max(capacity, 1)), policy: policy}
	if registry != nil {
		r.declareMetrics(name, registry)
	}
	return r
}

func (r *Ring[T]) declareMetrics(name string, registry *metrics.Registry) {
	depth := func() float64 { return float64(r.Len()) }
	registry.GaugeFunc("ring_"+name+"_depth", metrics.UnitCount, "Items that wait in the ring "+name+".", depth)
	drops := func() float64 { return float64(r.Dropped()) }
	registry.GaugeFunc("ring_"+name+"_dropped", metrics.UnitCount, "Items that the full ring "+name+" refused or dropped.", drops)
}

// Put adds an item and reports whether it was accepted. Only the policy Block
// waits, and only this policy uses ctx.
func (r *Ring[T]) Put(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	default:
	}
	switch r.policy {
	case DropOldest:
		return r.putDroppingOldest(item)
	case Block:
		return r.putBlocking(ctx, item)
	default:
		r.dropped.Add(1)
		return false
	}
}

// putDroppingOldest drops items from the front until the new one fits. It loops,
// since other writers may fill the free slot first.
func (r *Ring[T]) putDroppingOldest(item T) bool {
	for {
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
		select {
		case r.items <- item:
			return true
		default:
		}
	}
}

func (r *Ring[T]) putBlocking(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		r.dropped.Add(1)
		return false
	}
}

// Take waits for an item and returns the oldest. It returns false if ctx ends
// first.
func (r *Ring[T]) Take(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// TryTake returns the oldest item, or false if the ring is empty.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Chan returns the channel from which items are received, for a select over
// several rings. It is never closed.
func (r *Ring[T]) Chan() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity of the ring.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Dropped returns the number of items that were refused or dropped since the
// start.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
