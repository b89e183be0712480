package revision

import (
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// FollowerConfig configures a follower's timing and limits.
type FollowerConfig struct {
	// Poll is the interval between reads of the head. Each interval is
	// lengthened by a random part of up to PollJitter, a fraction of Poll.
	Poll       time.Duration
	PollJitter float64
	// MaxBackoff bounds the exponential backoff while the store fails. After an
	// outage the daemons' first reads are spread over it.
	MaxBackoff time.Duration
	// ReadAhead is how many records after the current revision each poll reads,
	// so that a single change needs no second read.
	ReadAhead int
	// Batch bounds the number of records in one read or one reply to a peer.
	Batch int
	// SnapshotGap is the number of missing revisions above which a snapshot is
	// used instead of records.
	SnapshotGap uint64
	// History and Documents are how many records and documents are kept in memory.
	History   int
	Documents int
	// PeerDelay bounds the random delay before a Fetch from a peer with a newer
	// revision.
	PeerDelay time.Duration
	// PeerTimeout is the timeout of a Fetch.
	PeerTimeout time.Duration
	// StartGrace is how long a new daemon waits for the store or for the
	// newest revision of its peers before it uses the document that it has.
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

// Fetch requests from a peer the changes accepted after a revision.
type Fetch struct {
	Seq   uint64    `cbor:"1,keyasint"`
	Peer  id.Daemon `cbor:"2,keyasint"`
	After uint64    `cbor:"3,keyasint"`
}

// FetchReply is the reply to a Fetch: records from After+1 on, or a snapshot if
// the peer no longer holds all of them or more than SnapshotGap are missing.
type FetchReply struct {
	Seq      uint64    `cbor:"1,keyasint"`
	Snapshot *Snapshot `cbor:"2,keyasint,omitempty"`
	Records  []Record  `cbor:"3,keyasint,omitempty"`
	// Failed is set by the daemon if the request to the peer failed.
	Failed bool `cbor:"-"`
}

// Installed reports that a newer document is in force at this daemon.
type Installed struct {
	From, To uint64
	Document *live.Document
}

// Diverged reports that a record or snapshot contradicts the history at this
// daemon: the sequence of changes has forked, which only a damaged or restored
// table can cause. The follower keeps its document.
type Diverged struct {
	Revision uint64
	// Source is "store" or the name of the peer.
	Source string
	Reason string
}

// FollowerAction is an action that the caller performs for a Follower; one field
// is set.
type FollowerAction struct {
	Request   *table.Request
	Fetch     *Fetch
	Installed *Installed
	Diverged  *Diverged
}

// Follower keeps a daemon at the newest revision known to it. It does no I/O and
// is not safe for concurrent use.
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

// never is a time that is never reached.
const never = time.Duration(1<<63 - 1)

// Current returns the document in force; the caller must not modify it.
func (f *Follower) Current() *live.Document { return f.doc }

// Chain returns the hash over all accepted changes up to Current.
func (f *Follower) Chain() string { return f.chain }

// StoreUp reports whether the last read of the store succeeded.
func (f *Follower) StoreUp() bool { return f.storeUp }

// Ready reports whether the daemon may act on the document.
//
// A document that a read of the store has confirmed is ready if no peer has a newer
// revision; once StartGrace is over, the confirmation alone suffices. Without a
// confirmation, because reads of the store failed, a document other than the empty
// one is ready if StartGrace is over and no peer has a newer revision.
func (f *Follower) Ready(now time.Duration) bool {
	waited := now-f.started >= f.cfg.StartGrace
	newest := !f.behind()
	if f.confirmed {
		return newest || waited
	}
	return f.readFailed && waited && newest && f.doc.Revision > 0
}

// UpToDate reports whether the document is ready and no peer has a newer one, so
// that an item missing from it does not exist as far as is known.
func (f *Follower) UpToDate(now time.Duration) bool {
	return f.Ready(now) && !f.behind()
}

// behind reports whether a peer has a newer document.
func (f *Follower) behind() bool { return f.highestPeerRevision > f.doc.Revision }

// Next returns the time of the next Tick.
func (f *Follower) Next() time.Duration {
	next := min(f.fetchAt, f.fetchDeadline)
	if !f.reading {
		next = min(next, f.nextPoll)
	}
	return next
}

// Tick performs the actions that are due: a poll, the end of a Fetch that timed
// out, and a new Fetch.
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

// Poke makes the next poll due now, as after a change was accepted through this
// daemon.
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

// poll reads the head and the ReadAhead records after the current revision.
func (f *Follower) poll() FollowerAction {
	keys := []string{KeyHead}
	keys = append(keys, revisionKeys(f.doc.Revision+1, f.doc.Revision+uint64(f.cfg.ReadAhead))...)
	return f.read(keys, true)
}

// planPoll schedules the next poll after a successful read.
func (f *Follower) planPoll(now time.Duration) {
	f.pause = f.cfg.Poll
	jitter := time.Duration(f.rng.Float64() * f.cfg.PollJitter * float64(f.cfg.Poll))
	f.nextPoll = now + f.cfg.Poll + jitter
}

// planRetry schedules the next poll after a failed read: a random part, at least a
// quarter, of an exponentially growing pause.
func (f *Follower) planRetry(now time.Duration) {
	f.pause = min(2*f.pause, f.cfg.MaxBackoff)
	quarter := f.pause / 4
	f.nextPoll = now + quarter + time.Duration(f.rng.Float64()*float64(f.pause-quarter))
}
