package revision

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// PeerRevision records the revision in force at a peer, which the peer's
// heartbeats carry.
func (f *Follower) PeerRevision(now time.Duration, peer id.Daemon, rev uint64) {
	if rev <= f.peers[peer] {
		return
	}
	f.peers[peer] = rev
	f.highestPeerRevision = max(f.highestPeerRevision, rev)
	f.planFetch(now)
}

// PeerGone removes a peer that was declared dead.
func (f *Follower) PeerGone(peer id.Daemon) {
	delete(f.peers, peer)
	f.highestPeerRevision = 0
	for _, rev := range f.peers {
		f.highestPeerRevision = max(f.highestPeerRevision, rev)
	}
}

// planFetch schedules a Fetch from a peer with a newer revision, after a random
// delay that spreads the requests of the daemons.
func (f *Follower) planFetch(now time.Duration) {
	if !f.behind() || f.fetch != nil || f.fetchAt != never {
		return
	}
	f.fetchAt = now + time.Duration(f.rng.Float64()*float64(f.cfg.PeerDelay))
}

// sendFetch sends a Fetch to a random one of the peers with the newest revision.
func (f *Follower) sendFetch(now time.Duration) []FollowerAction {
	f.fetchAt = never
	var ahead []id.Daemon
	for peer, rev := range f.peers {
		if rev == f.highestPeerRevision && rev > f.doc.Revision {
			ahead = append(ahead, peer)
		}
	}
	if len(ahead) == 0 {
		return nil
	}
	slices.Sort(ahead)
	f.fetchSeq++
	f.fetch = &Fetch{Seq: f.fetchSeq, Peer: ahead[f.rng.IntN(len(ahead))], After: f.doc.Revision}
	f.fetchDeadline = now + f.cfg.PeerTimeout
	fetch := *f.fetch
	return []FollowerAction{{Fetch: &fetch}}
}

func (f *Follower) dropFetch() {
	f.fetch = nil
	f.fetchDeadline = never
}

// HandlePeer handles a peer's reply to the last Fetch and ignores other replies.
func (f *Follower) HandlePeer(now time.Duration, r FetchReply) []FollowerAction {
	if f.fetch == nil || r.Seq != f.fetch.Seq {
		return nil
	}
	peer, before := f.fetch.Peer, f.doc.Revision
	f.dropFetch()
	var out []FollowerAction
	if !r.Failed {
		out = f.applyAll(r.Snapshot, r.Records, string(peer))
	}
	if f.doc.Revision == before && f.behind() {
		// The reply had no newer revision: fetch again, but not immediately.
		f.fetchAt = now + f.cfg.PeerTimeout
	}
	f.planFetch(now)
	return out
}

// Serve returns the reply to a peer's Fetch, made from the document in force and
// the records that this daemon still holds.
func (f *Follower) Serve(q Fetch) FetchReply {
	r := FetchReply{Seq: q.Seq}
	if q.After >= f.doc.Revision {
		return r
	}
	first := f.doc.Revision - uint64(len(f.history)) + 1
	if q.After+1 < first || f.doc.Revision-q.After > f.cfg.SnapshotGap {
		r.Snapshot = &Snapshot{Document: *f.doc, Chain: f.chain}
		return r
	}
	r.Records = f.After(q.After, f.cfg.Batch)
	return r
}

// After returns the records after a revision that the follower still holds, oldest
// first and at most limit.
func (f *Follower) After(rev uint64, limit int) []Record {
	at := slices.IndexFunc(f.history, func(r Record) bool { return r.Revision > rev })
	if at < 0 {
		return nil
	}
	return slices.Clone(f.history[at:min(len(f.history), at+limit)])
}

// History returns the records that the follower still holds, oldest first and at
// most FollowerConfig.History.
func (f *Follower) History() []Record { return slices.Clone(f.history) }
