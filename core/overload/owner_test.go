package overload

import (
	"testing"
	"time"
)

const (
	// smallHost is the share of a core of the smallest hosts that a fleet runs on.
	smallHostShare = 0.192
	// oneMessage is the processor time of one message at the pool's owner besides
	// its scheduler, oneTry that of trying one engine for one request: 5.4 s for
	// 17.3 million tries, by a profile of this replay.
	messageCost = 60 * time.Microsecond
	tryCost     = 300 * time.Nanosecond
)

// fleet is a desk of 90 engines at the load of 90 daemons, under two bursts.
func largePool() Replay {
	r := desk(
		Burst{At: 2 * time.Second, For: 4 * time.Second, Factor: 1.6},
		Burst{At: 8 * time.Second, For: 4 * time.Second, Factor: 2.2},
	)
	r.Load.Length = 14 * time.Second
	r.Load.PerSecond = 96
	r.Load.Output = 816
	r.Engines = Engines{
		Prefills: 22, Decodes: 68, Batch: 64, Memory: 24781, Step: 3030 * time.Microsecond, StepEach: 121 * time.Microsecond,
		PrefillRate: 33333, Transfer: 100 * time.Millisecond,
	}
	return r
}

// In a burst the one owner of a pool of 90 engines, on a host of .192 core, fell
// behind its messages and never caught up: it tried every engine for every
// waiting request at every event, so that each event cost more the longer the
// queue was, and requests that waited were sent to it again four times a second.
// It learned of ends a second late, so that its engines looked busy and their
// memory stood empty while requests waited for both. What settled it were its own
// lines; no other daemon wrote duty_behind once there were requests:
//
//	event=duty_behind duty=broker late=803.730083ms
//	event=pool_state prefills=26 prefills_working=26 prefill_backlog=11.527824896s
//	  decodes=64 decodes_running=160 memory=1451129 memory_held=549441 queued=526
//	  engines_tried=237282 wants_repeated=2582
//	event=duty_behind duty=broker late=1.353521289s
func TestAnOwnerOnASmallHostServesAsManyInTime(t *testing.T) {
	r := largePool()
	atOnce := r.Run(1)
	r.Owner = Owner{Share: smallHostShare, MessageCost: messageCost, TryCost: tryCost}
	small := r.Run(1)
	t.Logf("of %d in time %d, on a small host %d; refused %d and %d", atOnce.Asked, atOnce.InTime, small.InTime,
		atOnce.Refused, small.Refused)
	if small.Goodput() < 0.97*atOnce.Goodput() {
		t.Errorf("in time on a small host: %.3f of the requests, %.3f by an owner that takes no time", small.Goodput(), atOnce.Goodput())
	}
}
