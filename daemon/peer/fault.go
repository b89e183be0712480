package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Drop is whether a fault drops outgoing traffic.
type Drop bool

// The values of Drop.
const (
	// Pass lets the traffic through.
	Pass Drop = false
	// DropTraffic drops it without an error to the sender.
	DropTraffic Drop = true
)

// faults holds the fault injection hooks of tests and experiments.
type faults struct {
	drop  atomic.Pointer[func(id.Daemon) Drop]
	delay atomic.Pointer[func(id.Daemon) time.Duration]
}

// SetFault drops outgoing messages, calls, answers, datagrams and new dials to the
// peers for which drop returns DropTraffic. The loss is one-way: traffic from these
// peers still arrives. A nil drop ends it.
func (t *Transport) SetFault(drop func(to id.Daemon) Drop) {
	if drop == nil {
		t.faults.drop.Store(nil)
		return
	}
	t.faults.drop.Store(&drop)
}

// SetDelay adds one-way latency to all traffic to a peer. A nil delay ends it.
func (t *Transport) SetDelay(delay func(to id.Daemon) time.Duration) {
	if delay == nil {
		t.faults.delay.Store(nil)
		return
	}
	t.faults.delay.Store(&delay)
}

func (f *faults) drops(to id.Daemon) bool {
	drop := f.drop.Load()
	return drop != nil && (*drop)(to) == DropTraffic
}

func (f *faults) latency(to id.Daemon) time.Duration {
	delay := f.delay.Load()
	if delay == nil {
		return 0
	}
	return (*delay)(to)
}

// pause waits for d; it returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
