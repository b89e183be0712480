package overload

import (
	"testing"
	"time"
)

const (
	// smallHostShare is the CPU quota of the smallest hosts of a fleet, as a
	// share of a core.
	smallHostShare = 0.192
	// messageCost is the processor time of one message at the pool's owner
	// without its scheduler; tryCost is that of evaluating one engine for one
	// request: 5.4 s for 17.3 million evaluations in a profile of this replay.
	messageCost = 60 * time.Microsecond
	tryCost     = 300 * time.Nanosecond
)

// largePool returns the replay of a pool of 90 engines at the load of 90
// daemons, with two bursts.
func largePool() Replay {
	r := samplePool(
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

// TestOwnerOnSmallHostServesAsManyInTime: in a burst, the owner of a pool of 90
// engines on a host with 0.192 of a core fell behind its messages and never
// caught up. It evaluated every engine for every waiting request at every
// event, so each event cost more the longer the queue was, and waiting requests
// were sent again four times a second. It learned of completed requests about a
// second late (its duty ran 0.8 s to 1.35 s behind, with 237,282 evaluations
// and 2,582 repeated wants). All 26 prefill engines appeared busy, with a
// backlog of 11.5 s, while 526 requests were queued, the 64 decode engines ran
// 160 requests, and 549,441 of 1,451,129 tokens of memory were in use. Only the
// owner logged event=duty_behind.
func TestOwnerOnSmallHostServesAsManyInTime(t *testing.T) {
	r := largePool()
	atOnce := r.Run(1)
	r.Owner = Owner{Share: smallHostShare, MessageCost: messageCost, TryCost: tryCost}
	small := r.Run(1)
	t.Logf("of %d requests %d in time, on a small host %d; refused %d and %d", atOnce.Requests, atOnce.InTime, small.InTime,
		atOnce.Refused, small.Refused)
	if small.Goodput() < 0.97*atOnce.Goodput() {
		t.Errorf("share in time: %.3f on a small host, %.3f with an owner that takes no time", small.Goodput(), atOnce.Goodput())
	}
}
