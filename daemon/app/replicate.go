package app

import (
	"context"
	"hash/fnv"
	"io"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision"
)

const (
	// replicaTargets is how many daemons an accepted change is sent to at once.
	// The others learn of the new revision from heartbeats and fetch it from a
	// daemon, or read the store.
	replicaTargets = 6
	// minReplicas is how many of them must confirm the change before the operator
	// gets the answer, unless peerCallTimeout has passed.
	minReplicas = 2
)

// recordReply answers a kindRecord.
type recordReply struct {
	// Applied reports that the change, or a later one, is in force at the daemon
	// that replies.
	Applied bool `cbor:"1,keyasint"`
}

// replicateRecord sends an accepted change to some daemons and waits until
// minReplicas have it. Otherwise the fleet, though not the store, would lose a
// change if this daemon and the store failed within one heartbeat.
func (d *Daemon) replicateRecord(ctx context.Context, r revision.Record) {
	targets := selectReplicas(r.Change.ID, d.members.Others())
	calls, cancel := context.WithTimeout(d.ctx, peerCallTimeout)
	answers := make(chan bool, len(targets))
	for _, name := range targets {
		go func() {
			var reply recordReply
			err := d.transport.Call(calls, name, kindRecord, &r, &reply)
			answers <- err == nil && reply.Applied
		}()
	}
	confirmed, pending := 0, len(targets)
	for ; pending > 0 && confirmed < min(minReplicas, len(targets)) && ctx.Err() == nil; pending-- {
		if <-answers {
			confirmed++
		}
	}
	// The pending calls continue until they end or time out.
	go func() {
		for range pending {
			<-answers
		}
		cancel()
	}()
}

// selectReplicas selects the daemons that a change is sent to. The hash of the
// change's id distributes the selection over the fleet.
func selectReplicas(change string, others []id.Daemon) []id.Daemon {
	if len(others) == 0 {
		return nil
	}
	h := fnv.New64a()
	// Writing to a hash never returns an error.
	_, _ = io.WriteString(h, change)
	first := int(h.Sum64() % uint64(len(others)))
	out := make([]id.Daemon, 0, replicaTargets)
	for i := range min(replicaTargets, len(others)) {
		out = append(out, others[(first+i)%len(others)])
	}
	return out
}
