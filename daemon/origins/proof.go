package origins

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
)

// proof says why no other version than the known ones can have begun a stream.
type proof string

const (
	proofNone proof = ""
	// proofStore: the store has told this daemon its versions since the request came.
	proofStore proof = "store"
	// proofPeer: it has told them to another daemon since that was asked.
	proofPeer proof = "peer"
	// proofAll: the store tells nobody, and all other daemons know the same versions.
	proofAll proof = "all"
)

const (
	// proofTimeout bounds the wait for the store's answer. Others are asked then, and the
	// answer may still come.
	proofTimeout = 100 * time.Millisecond
	// replyGrace bounds the wait for replies of other daemons after the store's answer.
	replyGrace = 30 * time.Millisecond
	// minProofInterval is the least time between two calls to the store for a proof, which
	// serve all requests that wait. perDaemonProofInterval is the part of it that each daemon
	// of the fleet adds: callers take up streams at all of them at once.
	minProofInterval       = 20 * time.Millisecond
	perDaemonProofInterval = 500 * time.Microsecond
)

// prove waits until the store has told its versions as of asked or later. Whatever a daemon has
// noticed of a cut or a standstill is itself some time old; an answer to a call that began after
// the request came is not. It returns early if the store is known not to answer.
func (o *Origins) prove(ctx context.Context, asked time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	for !o.cfg.StoreLost() {
		confirmed, pause := o.nextProof(asked)
		if confirmed == nil {
			return
		}
		select {
		case <-confirmed:
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// nextProof calls the store if no call has begun for a while. It returns a channel that is closed
// at the next confirmation, nil if there is one as of asked or later, and the pause until the
// next call.
func (o *Origins) nextProof(asked time.Duration) (confirmed <-chan struct{}, pause time.Duration) {
	now, interval := o.cfg.Now(), o.proofInterval()
	o.mu.Lock()
	if o.history.RecordedAt() >= asked {
		o.mu.Unlock()
		return nil, 0
	}
	confirmed = o.proofs.confirmed
	due := o.proofs.nextCall <= now
	if due {
		o.proofs.nextCall = now + interval
	}
	pause = o.proofs.nextCall - now
	o.mu.Unlock()
	if due {
		o.proofCalls.Inc()
		o.cfg.Verify()
	}
	return confirmed, pause
}

func (o *Origins) proofInterval() time.Duration {
	return max(minProofInterval, time.Duration(o.cfg.Daemons())*perDaemonProofInterval)
}

// proofs is the state of the calls to the store for a proof; the lock of Origins guards it.
type proofs struct {
	// confirmed is closed when the store has told its versions.
	confirmed chan struct{}
	// nextCall is the earliest time of the next call.
	nextCall time.Duration
	// peerGone is when another daemon was last considered dead; 0 for never.
	peerGone time.Duration
}

// Confirmed tells that the rows last set are those that the store had at a time.
func (o *Origins) Confirmed(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Confirm(at)
	close(o.proofs.confirmed)
	o.proofs.confirmed = make(chan struct{})
}

// PeerGone tells that another daemon is considered dead. It may be cut off, and serve on.
func (o *Origins) PeerGone() {
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.proofs.peerGone = now
}

// knowledge is what this daemon knows of the versions of a service.
type knowledge struct {
	versions []id.Software
	// proven is set if no other version can have begun a stream of before, by an answer of the
	// store; complete if none has that this daemon can have seen.
	proven, complete bool
	// noneLost is set if no other daemon was considered dead of late.
	noneLost bool
}

// knowledgeOf returns what this daemon knows of the versions that can have begun a stream before asked.
func (o *Origins) knowledgeOf(service id.Service, asked time.Duration) knowledge {
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	gone := o.proofs.peerGone
	return knowledge{
		versions: o.history.Versions(now, service),
		proven:   o.history.Proven(now, asked, service),
		complete: o.complete(now, service),
		noneLost: gone == 0 || now-gone > origin.VersionMemory,
	}
}
