package revision

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// ProposerConfig sets the pace of proposals.
type ProposerConfig struct {
	// Deadline bounds a proposal, from Start.
	Deadline time.Duration
	// Backoff is the first pause after a failure; it doubles, with jitter, up
	// to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// SnapshotEvery is the number of revisions between snapshots.
	SnapshotEvery uint64
	// Batch bounds the rows of one read.
	Batch int
	// FutureReads is how many reads must show a head below Expect before the
	// change is rejected as made against a revision that does not exist.
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

// phase is what a proposer waits for.
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

// Proposer gets one change accepted. It has no I/O: Start and Handle return
// what is to be done. It is not safe for concurrent use.
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
	// rereads counts reads of rivals that lacked some.
	rereads int
	// unknown is set once a commit may have taken effect unseen.
	maybeCommitted bool

	base        *live.Document
	head        Head
	headVersion uint64
	next        *live.Document
	record      Record
	pending     *Outcome
}

// NewProposer returns a proposer of change. base is the daemon's current
// document: a starting point only, the head decides.
func NewProposer(cfg ProposerConfig, change Change, base *live.Document, rng *rand.Rand) *Proposer {
	if base == nil {
		base = &live.Document{}
	}
	// Whole seconds survive every codec.
	change.At = change.At.UTC().Truncate(time.Second)
	return &Proposer{cfg: cfg, change: change, digest: Digest(change), base: base, rng: rng, pause: cfg.Backoff}
}

// Resent says, before Start, that the change may have been proposed before
// under the same id. Then no outcome says "not run" before the change was
// withdrawn in the table, whatever became of the earlier proposal.
func (p *Proposer) Resent() { p.maybeCommitted = true }

// Start begins the proposal.
func (p *Proposer) Start(now time.Duration) []ProposerAction {
	p.deadline = now + p.cfg.Deadline
	if faults := checkChange(p.change); len(faults) > 0 {
		return p.end(Outcome{Result: Rejected, Faults: faults})
	}
	return p.readHead()
}

// Done tells whether the outcome was given.
func (p *Proposer) Done() bool { return p.phase == phaseDone }

// Next is when Tick is due.
func (p *Proposer) Next() time.Duration {
	if p.phase == phaseBackoff {
		return min(p.resume, p.deadline)
	}
	return p.deadline
}

// Tick ends a pause, or the proposal at its deadline.
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

// expire gives up: not run is said only where no commit is in doubt.
func (p *Proposer) expire() []ProposerAction {
	if p.maybeCommitted || p.phase == phaseCommit {
		return p.end(Outcome{Result: Unresolved, Revision: p.head.Revision})
	}
	return p.end(Outcome{Result: Unavailable, Revision: p.head.Revision})
}

// Handle takes the table's reply to the last request; others are ignored.
func (p *Proposer) Handle(now time.Duration, r table.Reply) []ProposerAction {
	if r.Seq != p.seq || p.phase == phaseDone || p.phase == phaseBackoff {
		return nil
	}
	if r.Status != table.Done {
		// A withdrawal in doubt needs no mark: what it guards against is in doubt already.
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

// backOff pauses for a random part of the doubling pause, at least a half.
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
		// The read is older than what this daemon has in force.
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

// onKnown ends with what became of the change earlier.
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

// onFuture meets a head below Expect: a stale read, or a mistake.
func (p *Proposer) onFutureExpect(now time.Duration) []ProposerAction {
	p.futureReads++
	if p.futureReads < p.cfg.FutureReads {
		return p.backOff(now)
	}
	fault := live.Fault{Path: "expect", Message: "the change expects a revision that does not exist yet"}
	return p.refuse(Outcome{Result: Rejected, Revision: p.head.Revision, Faults: []live.Fault{fault}})
}

// readGap brings base up to the head, a batch at a time, then commits.
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

// advance applies a row, a record or the snapshot, to doc.
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
