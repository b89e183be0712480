package app

import (
	"context"
	"hash/fnv"
	"io"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision"
)

const (
	// firstHolders is to how many daemons the one that saw a change accepted
	// sends it by itself; the others hear of it by heartbeats and ask, or read
	// the store.
	replicaTargets = 6
	// enoughHolders of them must have it before the operator is told, or the
	// bound of a call between daemons has passed.
	minReplicas = 2
)

// recordReply answers a kindRecord.
type recordReply struct {
	// Learnt says that the change, or a later one, is in force there.
	Applied bool `cbor:"1,keyasint"`
}

// spreadRecord hands an accepted change to some daemons and waits until a few
// have it. Without that, a change is lost to the fleet, if not to the store,
// when this daemon and the store end within a heartbeat.
func (d *Daemon) replicateRecord(ctx context.Context, r revision.Record) {
	to := selectReplicas(r.Change.ID, d.members.Others())
	calls, cancel := context.WithTimeout(d.ctx, peerCallTimeout)
	answers := make(chan bool, len(to))
	for _, name := range to {
		go func() {
			var reply recordReply
			err := d.transport.Call(calls, name, kindRecord, &r, &reply)
			answers <- err == nil && reply.Applied
		}()
	}
	have, open := 0, len(to)
	for ; open > 0 && have < min(minReplicas, len(to)) && ctx.Err() == nil; open-- {
		if <-answers {
			have++
		}
	}
	// The calls that are still open go on until their bound.
	go func() {
		for range open {
			<-answers
		}
		cancel()
	}()
}

// firstFor chooses the daemons that a change is sent to first; its id spreads
// the choice over the fleet.
func selectReplicas(change string, others []id.Daemon) []id.Daemon {
	if len(others) == 0 {
		return nil
	}
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = io.WriteString(h, change)
	first := int(h.Sum64() % uint64(len(others)))
	out := make([]id.Daemon, 0, replicaTargets)
	for i := range min(replicaTargets, len(others)) {
		out = append(out, others[(first+i)%len(others)])
	}
	return out
}
