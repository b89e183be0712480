package revision

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// ProposerConfig configures a proposer's timing and limits.
type ProposerConfig struct {
	// Deadline bounds the duration of a proposal, from Start.
	Deadline time.Duration
	// Backoff is the initial backoff after a failure; it doubles, with jitter,
	// up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// SnapshotEvery is the number of revisions between snapshots.
	SnapshotEvery uint64
	// Batch bounds the number of records in one read.
	Batch int
	// FutureReads is how many reads must return a head below Expect before the
	// change is rejected because the expected revision does not exist. It also
	// bounds how often a read of conflicting changes that lacks some is repeated.
	FutureReads int
}

// DefaultProposerConfig returns the defaults.
func DefaultProposerConfig() ProposerConfig {
	return ProposerConfig{
		Deadline:      5 * time.Second,
		Backoff:       20 * time.Millisecond,
		MaxBackoff:    time.Second,
		SnapshotEvery: 64,
		Batch:         64,
		FutureReads:   5,
	}
}

// phase is the state of a proposer: the reply or time that it waits for.
type phase uint8

const (
	phaseIdle phase = iota
	phaseHead
	phaseGap
	phaseConflicts
	phaseCommit
	phaseGuard
	phaseWithdraw
	phaseBackoff
	phaseDone
)

// Proposer commits one change. It does no I/O: Start, Handle and Tick return the
// actions to perform. It is not safe for concurrent use.
type Proposer struct {
	cfg    ProposerConfig
	change Change
	digest string
	rng    *rand.Rand

	phase       phase
	seq         uint64
	deadline    time.Duration
	resume      time.Duration
	pause       time.Duration
	futureReads int
	// rereads counts reads of conflicting changes that lacked some of them.
	rereads int
	// maybeCommitted is set once a commit may have taken effect without a reply.
	maybeCommitted bool

	base        *live.Document
	head        Head
	headVersion uint64
	next        *live.Document
	record      Record
	pending     *Outcome
}

// NewProposer returns a proposer of change. base is the daemon's current document.
// It may be older than the head; the proposer reads the missing revisions.
func NewProposer(cfg ProposerConfig, change Change, base *live.Document, rng *rand.Rand) *Proposer {
	if base == nil {
		base = &live.Document{}
	}
	// Every codec preserves whole seconds.
	change.At = change.At.UTC().Truncate(time.Second)
	return &Proposer{cfg: cfg, change: change, digest: Digest(change), base: base, rng: rng, pause: cfg.Backoff}
}

// MarkResent records, before Start, that the change may have been proposed before
// under the same id. The proposer then withdraws the change in the table before it
// reports the change as not run, so that the earlier proposal can't take effect
// afterwards.
func (p *Proposer) MarkResent() { p.maybeCommitted = true }

// Start begins the proposal.
func (p *Proposer) Start(now time.Duration) []ProposerAction {
	p.deadline = now + p.cfg.Deadline
	if faults := checkChange(p.change); len(faults) > 0 {
		return p.end(Outcome{Result: Rejected, Faults: faults})
	}
	return p.readHead()
}

// Done reports whether the outcome was returned.
func (p *Proposer) Done() bool { return p.phase == phaseDone }

// Next returns the time of the next Tick.
func (p *Proposer) Next() time.Duration {
	if p.phase == phaseBackoff {
		return min(p.resume, p.deadline)
	}
	return p.deadline
}

// Tick ends a backoff, or ends the proposal at its deadline.
func (p *Proposer) Tick(now time.Duration) []ProposerAction {
	switch {
	case p.phase == phaseDone || p.phase == phaseIdle:
		return nil
	case now >= p.deadline:
		return p.expire()
	case p.phase == phaseBackoff && now >= p.resume:
		return p.readHead()
	default:
		return nil
	}
}

// expire ends the proposal at its deadline. It reports the change as not run only
// if no commit can have taken effect.
func (p *Proposer) expire() []ProposerAction {
	if p.maybeCommitted || p.phase == phaseCommit {
		return p.end(Outcome{Result: Unresolved, Revision: p.head.Revision})
	}
	return p.end(Outcome{Result: Unavailable, Revision: p.head.Revision})
}

// Handle handles the table's reply to the last request and ignores other replies.
func (p *Proposer) Handle(now time.Duration, r table.Reply) []ProposerAction {
	if r.Seq != p.seq || p.phase == phaseDone || p.phase == phaseBackoff {
		return nil
	}
	if r.Status != table.Done {
		// A withdrawal with an unknown effect needs no flag: maybeCommitted is set
		// before every withdrawal.
		p.maybeCommitted = p.maybeCommitted || (p.phase == phaseCommit && r.Status == table.Unknown)
		return p.backOff(now)
	}
	switch p.phase {
	case phaseHead:
		return p.onHead(now, r)
	case phaseGap:
		return p.onGap(now, r)
	case phaseConflicts:
		return p.onConflicts(now, r)
	case phaseCommit:
		return p.onCommit(now, r)
	case phaseGuard, phaseWithdraw:
		return p.onConfirm(now, r)
	default:
		return nil
	}
}

func (p *Proposer) request(ph phase, q table.Request) []ProposerAction {
	p.phase = ph
	p.seq++
	q.Seq = p.seq
	return []ProposerAction{{Request: &q}}
}

func (p *Proposer) end(o Outcome) []ProposerAction {
	p.phase = phaseDone
	return []ProposerAction{{Outcome: &o}}
}

// backOff waits for a random part, at least half, of an exponentially growing
// pause before the proposer reads the head again.
func (p *Proposer) backOff(now time.Duration) []ProposerAction {
	p.phase = phaseBackoff
	half := int64(p.pause / 2)
	p.resume = now + time.Duration(half+p.rng.Int64N(half+1))
	p.pause = min(2*p.pause, p.cfg.MaxBackoff)
	return nil
}

func (p *Proposer) readHead() []ProposerAction {
	return p.request(phaseHead, table.Request{Keys: []string{KeyHead, KeyChange(p.change.ID)}})
}

func (p *Proposer) onHead(now time.Duration, r table.Reply) []ProposerAction {
	if row := r.Row(KeyChange(p.change.ID)); row.Version != 0 {
		return p.onExistingChange(row)
	}
	row := r.Row(KeyHead)
	var head Head
	if row.Version != 0 && json.Unmarshal(row.Value, &head) != nil {
		return p.backOff(now)
	}
	if head.Revision < p.base.Revision {
		// A stale read: the head is older than this daemon's document.
		return p.backOff(now)
	}
	p.head, p.headVersion = head, row.Version
	switch expect := p.change.Expect; {
	case expect == 0 || expect == head.Revision:
		return p.readGap(now)
	case expect < head.Revision:
		return p.readConflicts()
	default:
		return p.onFutureExpect(now)
	}
}

// onExistingChange ends the proposal with the outcome in the change's row, which
// an earlier attempt or this proposer's withdrawal has written.
func (p *Proposer) onExistingChange(row table.Row) []ProposerAction {
	var known ChangeRow
	if json.Unmarshal(row.Value, &known) != nil || known.Digest != p.digest {
		fault := live.Fault{Path: "id", Name: p.change.ID, Message: "the id was used for another change"}
		return p.end(Outcome{Result: Rejected, Faults: []live.Fault{fault}})
	}
	if known.Revision != 0 {
		return p.end(Outcome{Result: Accepted, Revision: known.Revision})
	}
	if p.pending != nil {
		return p.end(*p.pending)
	}
	fault := live.Fault{Path: "id", Name: p.change.ID, Message: "the change was withdrawn; propose it under a new id"}
	return p.end(Outcome{Result: Rejected, Faults: []live.Fault{fault}})
}

// onFutureExpect handles a head below Expect, which comes from a stale read or a
// wrong Expect. It rejects the change after FutureReads such reads.
func (p *Proposer) onFutureExpect(now time.Duration) []ProposerAction {
	p.futureReads++
	if p.futureReads < p.cfg.FutureReads {
		return p.backOff(now)
	}
	fault := live.Fault{Path: "expect", Message: "the change expects a revision that does not exist yet"}
	return p.refuse(Outcome{Result: Rejected, Revision: p.head.Revision, Faults: []live.Fault{fault}})
}

// readGap reads the revisions between base and the head, a batch at a time, and
// commits once base is at the head.
func (p *Proposer) readGap(now time.Duration) []ProposerAction {
	if p.base.Revision == p.head.Revision {
		return p.commit()
	}
	if p.head.Snapshot > p.base.Revision && p.head.Revision-p.base.Revision > uint64(p.cfg.Batch) {
		return p.request(phaseGap, table.Request{Keys: []string{KeySnapshot(p.head.Snapshot)}})
	}
	last := min(p.head.Revision, p.base.Revision+uint64(p.cfg.Batch))
	return p.request(phaseGap, table.Request{Keys: revisionKeys(p.base.Revision+1, last)})
}

func revisionKeys(first, last uint64) []string {
	var keys []string
	for rev := first; rev <= last; rev++ {
		keys = append(keys, KeyRevision(rev))
	}
	return keys
}

func (p *Proposer) onGap(now time.Duration, r table.Reply) []ProposerAction {
	for _, row := range r.Rows {
		next, ok := advance(p.base, row, p.head.Snapshot)
		if !ok {
			return p.backOff(now)
		}
		p.base = next
	}
	return p.readGap(now)
}

// advance returns the document after a row, which holds the next record or a newer
// snapshot. It returns false for any other row.
func advance(doc *live.Document, row table.Row, snapshot uint64) (*live.Document, bool) {
	if row.Version == 0 {
		return nil, false
	}
	if row.Key == KeySnapshot(snapshot) {
		var s Snapshot
		if json.Unmarshal(row.Value, &s) != nil || s.Document.Revision <= doc.Revision {
			return nil, false
		}
		return &s.Document, true
	}
	var rec Record
	if json.Unmarshal(row.Value, &rec) != nil || rec.Revision != doc.Revision+1 {
		return nil, false
	}
	next, faults := applyOps(doc, rec.Change)
	return next, len(faults) == 0
}
