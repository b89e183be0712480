package revision

import (
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// FollowerConfig sets the pace of a follower.
type FollowerConfig struct {
	// Poll is the pause between reads of the head; each is stretched by a
	// random part of up to PollJitter (a share of Poll).
	Poll       time.Duration
	PollJitter float64
	// MaxBackoff bounds the doubling pause while the store fails. After an
	// outage the daemons come back spread over it.
	MaxBackoff time.Duration
	// Ahead is how many records behind the known one each poll asks for, so
	// that a single change needs no second read.
	ReadAhead int
	// Batch bounds the records of one read or one answer to a peer.
	Batch int
	// SnapshotGap is the gap from which a snapshot is fetched instead.
	SnapshotGap uint64
	// History is how many records are kept, and Documents how many documents.
	History   int
	Documents int
	// PeerDelay bounds the random pause before a peer that is ahead is asked.
	PeerDelay time.Duration
	// PeerTimeout ends the wait for a peer's answer.
	PeerTimeout time.Duration
	// StartGrace is how long a new daemon waits for the store or for the
	// newest peer before it takes what it has as good enough.
	StartGrace time.Duration
}

// DefaultFollowerConfig returns the defaults.
func DefaultFollowerConfig() FollowerConfig {
	return FollowerConfig{
		Poll:        time.Second,
		PollJitter:  0.5,
		MaxBackoff:  4 * time.Second,
		ReadAhead:   4,
		Batch:       64,
		SnapshotGap: 128,
		History:     1024,
		Documents:   8,
		PeerDelay:   100 * time.Millisecond,
		PeerTimeout: time.Second,
		StartGrace:  2 * time.Second,
	}
}

// Fetch asks a peer for what was accepted after a revision.
type Fetch struct {
	Seq   uint64    `cbor:"1,keyasint"`
	Peer  id.Daemon `cbor:"2,keyasint"`
	After uint64    `cbor:"3,keyasint"`
}

// FetchReply answers a Fetch: records from After+1 on, or a snapshot where the
// peer no longer has them all.
type FetchReply struct {
	Seq      uint64    `cbor:"1,keyasint"`
	Snapshot *Snapshot `cbor:"2,keyasint,omitempty"`
	Records  []Record  `cbor:"3,keyasint,omitempty"`
	// Failed is set by the daemon when the peer could not be asked.
	Failed bool `cbor:"-"`
}

// Installed says that a newer document is in force at this daemon.
type Installed struct {
	From, To uint64
	Document *live.Document
}

// Diverged says that a record or snapshot contradicts what this daemon holds:
// the sequence of changes has split, which only a damaged or restored table
// can cause. The follower keeps its document.
type Diverged struct {
	Revision uint64
	// Source is "store" or the peer's name.
	Source string
	Reason string
}

// FollowerAction is one thing to do for a Follower.
type FollowerAction struct {
	Request   *table.Request
	Fetch     *Fetch
	Installed *Installed
	Diverged  *Diverged
}

// Follower keeps a daemon at the newest revision it has heard of. It has no
// I/O and is not safe for concurrent use.
type Follower struct {
	cfg FollowerConfig
	rng *rand.Rand

	doc       *live.Document
	chain     string
	history   []Record
	documents []*live.Document

	started    time.Duration
	storeUp    bool
	confirmed  bool
	readFailed bool
	seq        uint64
	reading    bool
	nextPoll   time.Duration
	pause      time.Duration
	newestHead Head
	polling    bool

	peers               map[id.Daemon]uint64
	highestPeerRevision uint64
	fetch               *Fetch
	fetchAt             time.Duration
	fetchDeadline       time.Duration
	fetchSeq            uint64
}

// NewFollower returns a follower with the empty configuration.
func NewFollower(cfg FollowerConfig, now time.Duration, rng *rand.Rand) *Follower {
	doc := &live.Document{}
	return &Follower{
		cfg:           cfg,
		rng:           rng,
		doc:           doc,
		documents:     []*live.Document{doc},
		started:       now,
		nextPoll:      now,
		pause:         cfg.Poll,
		peers:         map[id.Daemon]uint64{},
		fetchAt:       never,
		fetchDeadline: never,
	}
}

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// Current returns the document in force; it must not be changed.
func (f *Follower) Current() *live.Document { return f.doc }

// Chain returns the hash over all accepted changes up to Current.
func (f *Follower) Chain() string { return f.chain }

// StoreUp tells whether the last read of the store succeeded.
func (f *Follower) StoreUp() bool { return f.storeUp }

// Ready tells whether the document may be acted on: the store has confirmed
// it, or the store can't be asked, and nobody known is ahead of it. Once
// StartGrace is over, the store's word is enough.
func (f *Follower) Ready(now time.Duration) bool {
	waited := now-f.started >= f.cfg.StartGrace
	newest := !f.behind()
	if f.confirmed {
		return newest || waited
	}
	return f.readFailed && waited && newest && f.doc.Revision > 0
}

// Newest tells whether no later document is known of: what this one doesn't hold
// doesn't exist, as far as anybody has said.
func (f *Follower) Newest(now time.Duration) bool {
	return f.Ready(now) && !f.behind()
}

// behind tells whether a peer has a later document.
func (f *Follower) behind() bool { return f.highestPeerRevision > f.doc.Revision }

// Next is when Tick is due.
func (f *Follower) Next() time.Duration {
	next := min(f.fetchAt, f.fetchDeadline)
	if !f.reading {
		next = min(next, f.nextPoll)
	}
	return next
}

// Tick does what is due.
func (f *Follower) Tick(now time.Duration) []FollowerAction {
	var out []FollowerAction
	if !f.reading && now >= f.nextPoll {
		out = append(out, f.poll())
	}
	if f.fetch != nil && now >= f.fetchDeadline {
		f.dropFetch()
		f.planFetch(now)
	}
	if f.fetch == nil && now >= f.fetchAt {
		out = append(out, f.sendFetch(now)...)
	}
	return out
}

// Poke brings the next poll forward, as after an acceptance on this daemon.
func (f *Follower) Poke(now time.Duration) {
	if f.storeUp {
		f.nextPoll = min(f.nextPoll, now)
	}
}

func (f *Follower) read(keys []string, polling bool) FollowerAction {
	f.seq++
	f.reading = true
	f.polling = polling
	return FollowerAction{Request: &table.Request{Seq: f.seq, Keys: keys}}
}

// poll reads the head and the few records behind the known one.
func (f *Follower) poll() FollowerAction {
	keys := []string{KeyHead}
	keys = append(keys, revisionKeys(f.doc.Revision+1, f.doc.Revision+uint64(f.cfg.ReadAhead))...)
	return f.read(keys, true)
}

// planPoll sets the next poll after a success.
func (f *Follower) planPoll(now time.Duration) {
	f.pause = f.cfg.Poll
	jitter := time.Duration(f.rng.Float64() * f.cfg.PollJitter * float64(f.cfg.Poll))
	f.nextPoll = now + f.cfg.Poll + jitter
}

// planRetry sets the next poll after a failure: a random part of a doubling
// pause, at least a quarter of it.
func (f *Follower) planRetry(now time.Duration) {
	f.pause = min(2*f.pause, f.cfg.MaxBackoff)
	quarter := f.pause / 4
	f.nextPoll = now + quarter + time.Duration(f.rng.Float64()*float64(f.pause-quarter))
}
