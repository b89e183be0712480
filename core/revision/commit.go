package revision

import (
	"encoding/json"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// commit applies the change to the head that was read and requests the commit.
func (p *Proposer) commit() []ProposerAction {
	next, faults := Apply(p.base, p.change)
	if len(faults) > 0 {
		return p.refuse(Outcome{Result: Rejected, Revision: p.head.Revision, Faults: faults})
	}
	p.next = next
	p.record = Record{Revision: next.Revision, Change: p.change, Chain: NextChain(p.head.Chain, p.change)}
	return p.request(phaseCommit, table.Request{Transaction: p.transaction()})
}

// transaction returns the transaction that writes the record, the change row and
// the head, and every SnapshotEvery revisions a snapshot.
func (p *Proposer) transaction() *table.Transaction {
	rev := p.record.Revision
	head := Head{Revision: rev, ChangeID: p.change.ID, Chain: p.record.Chain, Snapshot: p.head.Snapshot}
	row := ChangeRow{Revision: rev, Digest: p.digest}
	var snapshots []table.Put
	if p.cfg.SnapshotEvery > 0 && rev%p.cfg.SnapshotEvery == 0 {
		s := Snapshot{Document: *p.next, Chain: p.record.Chain}
		snapshots = append(snapshots, table.Put{Key: KeySnapshot(rev), Value: encode(s)})
		if head.Snapshot != 0 {
			snapshots = append(snapshots, table.Put{Key: KeySnapshot(head.Snapshot), Delete: true})
		}
		head.Snapshot = rev
	}
	puts := []table.Put{
		{Key: KeyHead, Value: encode(head)},
		{Key: KeyRevision(rev), Value: encode(p.record)},
		{Key: KeyChange(p.change.ID), Value: encode(row)},
	}
	return &table.Transaction{
		Conditions: []table.Condition{
			{Key: KeyHead, Version: p.headVersion},
			{Key: KeyChange(p.change.ID)},
			{Key: KeyRevision(rev)},
		},
		Puts: append(puts, snapshots...),
	}
}

func (p *Proposer) onCommit(now time.Duration, r table.Reply) []ProposerAction {
	if r.Applied {
		rec := p.record
		return p.end(Outcome{Result: Accepted, Revision: rec.Revision, Record: &rec})
	}
	if r.FailedOn(KeyChange(p.change.ID)) {
		// An earlier attempt took effect: the change row holds its outcome.
		p.maybeCommitted = true
	}
	return p.backOff(now)
}

// readConflicts reads the records accepted since Expect, at most the newest Batch.
func (p *Proposer) readConflicts() []ProposerAction {
	first := p.change.Expect + 1
	if p.head.Revision-p.change.Expect > uint64(p.cfg.Batch) {
		first = p.head.Revision - uint64(p.cfg.Batch) + 1
	}
	return p.request(phaseConflicts, table.Request{Keys: revisionKeys(first, p.head.Revision)})
}

// onConflicts collects the changes accepted since Expect. If a stale read lacks
// some of them, it is repeated up to FutureReads times, so that the operator sees
// all of them.
func (p *Proposer) onConflicts(now time.Duration, r table.Reply) []ProposerAction {
	o := Outcome{Result: Conflict, Revision: p.head.Revision}
	for _, row := range r.Rows {
		var rec Record
		if row.Version == 0 || json.Unmarshal(row.Value, &rec) != nil {
			continue
		}
		if rec.Change.ID == p.change.ID {
			return p.end(Outcome{Result: Accepted, Revision: rec.Revision})
		}
		o.Conflicts = append(o.Conflicts, ConflictingChange{
			Revision: rec.Revision,
			ID:       rec.Change.ID,
			Author:   rec.Change.Author,
			Overlap:  Overlap(p.change, rec.Change),
		})
	}
	if len(o.Conflicts) < len(r.Rows) && p.rereads < p.cfg.FutureReads {
		p.rereads++
		return p.backOff(now)
	}
	return p.refuse(o)
}

// refuse ends the proposal with a refusal once the refusal is certain. If a commit
// may have taken effect, the change is withdrawn first, so that a late effect
// can't contradict the refusal. A rejection is confirmed against the head first,
// which must be unchanged since the change was checked.
func (p *Proposer) refuse(o Outcome) []ProposerAction {
	p.pending = &o
	if p.maybeCommitted {
		return p.request(phaseWithdraw, table.Request{Transaction: &table.Transaction{
			Conditions: []table.Condition{{Key: KeyChange(p.change.ID)}},
			Puts:       []table.Put{{Key: KeyChange(p.change.ID), Value: encode(ChangeRow{Digest: p.digest})}},
		}})
	}
	if o.Result == Rejected {
		return p.request(phaseGuard, table.Request{Transaction: &table.Transaction{
			Conditions: []table.Condition{{Key: KeyHead, Version: p.headVersion}, {Key: KeyChange(p.change.ID)}},
			Puts:       []table.Put{{Key: keyGuard, Delete: true}},
		}})
	}
	return p.end(o)
}

func (p *Proposer) onConfirm(now time.Duration, r table.Reply) []ProposerAction {
	if r.Applied {
		return p.end(*p.pending)
	}
	return p.backOff(now)
}
