package overload

import (
	"testing"
	"time"
)

const (
	// smallHost is the share of a core of the smallest hosts that a fleet runs on.
	smallHost = 0.192
	// oneMessage is the processor time of one message at the pool's owner besides
	// its scheduler, oneTry that of trying one engine for one request: 5.4 s for
	// 17.3 million tries, by a profile of this replay.
	oneMessage = 60 * time.Microsecond
	oneTry     = 300 * time.Nanosecond
)

// fleet is a desk of 90 engines at the load of 90 daemons, under two bursts.
func fleet() Replay {
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

func TestAnOwnerOnASmallHostServesAsManyInTime(t *testing.T) {
	r := fleet()
	atOnce := r.Run(1)
	r.Owner = Owner{Share: smallHost, Message: oneMessage, Try: oneTry}
	small := r.Run(1)
	t.Logf("of %d in time %d, on a small host %d; refused %d and %d", atOnce.Asked, atOnce.InTime, small.InTime,
		atOnce.Refused, small.Refused)
	if small.Goodput() < 0.97*atOnce.Goodput() {
		t.Errorf("in time on a small host: %.3f of the requests, %.3f by an owner that takes no time", small.Goodput(), atOnce.Goodput())
	}
}
