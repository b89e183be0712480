package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/daemon/evidence"
)

// evidenceGate holds requests back until the daemon knows the crash evidence of the
// others.
type evidenceGate struct {
	known chan struct{}
	opens sync.Once
	// firstWaiter starts the time for which requests wait at most. A daemon that can't
	// enrol in the fleet serves callers all the same.
	firstWaiter sync.Once
}

func newEvidenceGate() *evidenceGate { return &evidenceGate{known: make(chan struct{})} }

func (g *evidenceGate) open() { g.opens.Do(func() { close(g.known) }) }

// await waits until the gate is open or ctx ends.
func (g *evidenceGate) await(ctx context.Context) {
	if g.isOpen() {
		return
	}
	g.firstWaiter.Do(func() { time.AfterFunc(evidence.DefaultStartWait, g.open) })
	select {
	case <-g.known:
	case <-ctx.Done():
	}
}

// isOpen reports whether the gate is open.
func (g *evidenceGate) isOpen() bool {
	select {
	case <-g.known:
		return true
	default:
		return false
	}
}

// syncEvidence starts the exchange of crash evidence with the other daemons.
func (d *Daemon) syncEvidence(f *fleet) *evidence.Syncer {
	return evidence.Start(evidence.Config{
		Ledger: d.poison,
		Others: f.peersToAsk,
		Alone:  f.alone.Load,
		Ask:    f.links().AskEvidence,
		Adopt:  f.broker.AdoptEvidence,
		Log:    d.logger.Event,
	})
}

// peersToAsk returns the daemons that this one asks for what the fleet knows: all others or,
// in a large fleet, those that broadcast, since a connection to another daemon for each
// question would cost more than all that is learnt.
func (f *fleet) peersToAsk() []id.Daemon {
	if f.members.Large() {
		return f.otherReaders()
	}
	return f.members.Others()
}

// openEvidenceGate opens the gate once the evidence of the others is known.
func (d *Daemon) openEvidenceGate(f *fleet) {
	select {
	case <-f.evidence.Known():
		d.evidenceGate.open()
	case <-d.ctx.Done():
	}
}

// broadcastEvidence triggers the sending of new crash evidence to the other daemons.
func (d *Daemon) broadcastEvidence() {
	if f := d.fleet.Load(); f != nil {
		f.broker.EvidenceChanged()
	}
}

// evidenceRetry is the delay before evidence is sent again while this daemon does
// not know yet which daemons broadcast.
const evidenceRetry = 500 * time.Millisecond

// spreadEvidence sends this daemon's new evidence to all other daemons.
func (d *Daemon) spreadEvidence(f *fleet, s poison.State) {
	if to, known := f.recipients(); known {
		f.links().SendEvidence(to, s)
		return
	}
	time.AfterFunc(evidenceRetry, func() {
		if d.ctx.Err() == nil {
			d.spreadEvidence(f, s)
		}
	})
}

// relayEvidence forwards evidence from another daemon. In a small fleet it goes to a
// few random daemons, which makes up for losses of the first sending. In a large
// fleet only the daemons that broadcast forward it, to all others, so that each
// daemon receives it from several of them.
func (d *Daemon) relayEvidence(f *fleet, s poison.State) {
	switch {
	case !f.members.Large():
		f.links().RelayEvidence(f.members.Others(), s)
	case f.broadcasts.Load():
		f.links().SendEvidence(f.members.Others(), s)
	}
}
