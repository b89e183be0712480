package revision

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// sourceStore is the value of Diverged.Source for the store.
const sourceStore = "store"

// Handle handles the store's reply to the last read and ignores other replies.
func (f *Follower) Handle(now time.Duration, r table.Reply) []FollowerAction {
	if !f.reading || r.Seq != f.seq {
		return nil
	}
	f.reading = false
	if r.Status != table.Done {
		f.storeUp = false
		f.readFailed = true
		f.planRetry(now)
		return nil
	}
	f.storeUp = true
	return f.onRows(now, r)
}

func (f *Follower) onRows(now time.Duration, r table.Reply) []FollowerAction {
	if f.polling {
		f.updateHead(r.Row(KeyHead))
	}
	from := f.doc.Revision
	var out []FollowerAction
	for _, row := range r.Rows {
		if row.Version == 0 || row.Key == KeyHead {
			continue
		}
		if d := f.applyRow(row); d != nil {
			out = append(out, FollowerAction{Diverged: d})
			break
		}
	}
	out = append(out, f.installed(from)...)
	return append(out, f.continueRead(now, from)...)
}

// updateHead keeps the newest head seen; an older one comes from a stale read.
func (f *Follower) updateHead(row table.Row) {
	var head Head
	if row.Version != 0 && json.Unmarshal(row.Value, &head) != nil {
		return
	}
	if head.Revision >= f.newestHead.Revision {
		f.newestHead = head
	}
}

func (f *Follower) applyRow(row table.Row) *Diverged {
	if row.Key == KeySnapshot(f.newestHead.Snapshot) {
		var s Snapshot
		if err := json.Unmarshal(row.Value, &s); err != nil {
			return &Diverged{Revision: f.newestHead.Snapshot, Source: sourceStore, Reason: "the snapshot can't be decoded: " + err.Error()}
		}
		f.applySnapshot(&s)
		return nil
	}
	var rec Record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return &Diverged{Revision: f.doc.Revision + 1, Source: sourceStore, Reason: "the record can't be decoded: " + err.Error()}
	}
	return f.applyRecord(rec, sourceStore)
}

// continueRead issues the next read while the head is newer than the document and
// the last read made progress; otherwise it schedules the next poll.
func (f *Follower) continueRead(now time.Duration, from uint64) []FollowerAction {
	gap := f.newestHead.Revision > f.doc.Revision
	moved := f.doc.Revision > from
	if !gap {
		f.confirmed = true
		f.planPoll(now)
		return nil
	}
	if !moved && !f.polling {
		// A stale read, or the snapshot was replaced: read the head again at the next poll.
		f.planPoll(now)
		return nil
	}
	if f.newestHead.Revision-f.doc.Revision > f.cfg.SnapshotGap && f.newestHead.Snapshot > f.doc.Revision {
		return []FollowerAction{f.read([]string{KeySnapshot(f.newestHead.Snapshot)}, false)}
	}
	last := min(f.newestHead.Revision, f.doc.Revision+uint64(f.cfg.Batch))
	return []FollowerAction{f.read(revisionKeys(f.doc.Revision+1, last), false)}
}

// applyRecord applies the record if it has the next revision and skips it
// otherwise. A record whose chain hash does not continue the chain in force is
// rejected as Diverged.
func (f *Follower) applyRecord(rec Record, source string) *Diverged {
	if rec.Revision != f.doc.Revision+1 {
		return nil
	}
	if NextChain(f.chain, rec.Change) != rec.Chain {
		return &Diverged{Revision: rec.Revision, Source: source, Reason: "the record's chain hash does not match the previous record"}
	}
	next, faults := applyOps(f.doc, rec.Change)
	if len(faults) > 0 {
		return &Diverged{Revision: rec.Revision, Source: source, Reason: fmt.Sprintf("the accepted change can't be applied: %v", faults[0])}
	}
	f.doc, f.chain = next, rec.Chain
	f.history = append(f.history, rec)
	if over := len(f.history) - f.cfg.History; over > 0 {
		f.history = append([]Record(nil), f.history[over:]...)
	}
	f.keepDocument()
	return nil
}

// applySnapshot replaces the document with the snapshot's if that is newer.
func (f *Follower) applySnapshot(s *Snapshot) {
	if s.Document.Revision <= f.doc.Revision {
		return
	}
	f.doc, f.chain = live.Normalize(&s.Document), s.Chain
	f.history = nil
	f.keepDocument()
}

func (f *Follower) keepDocument() {
	f.documents = append(f.documents, f.doc)
	if over := len(f.documents) - f.cfg.Documents; over > 0 {
		f.documents = append([]*live.Document(nil), f.documents[over:]...)
	}
}

// installed returns an Installed action if the document is newer than from.
func (f *Follower) installed(from uint64) []FollowerAction {
	if f.doc.Revision <= from {
		return nil
	}
	return []FollowerAction{{Installed: &Installed{From: from, To: f.doc.Revision, Document: f.doc}}}
}

// ApplyAccepted applies a record whose acceptance this daemon's own proposer observed.
func (f *Follower) ApplyAccepted(rec Record) []FollowerAction {
	return f.applyAll(nil, []Record{rec}, sourceStore)
}

func (f *Follower) applyAll(s *Snapshot, records []Record, source string) []FollowerAction {
	from := f.doc.Revision
	var out []FollowerAction
	if s != nil {
		f.applySnapshot(s)
	}
	for _, rec := range records {
		if d := f.applyRecord(rec, source); d != nil {
			out = append(out, FollowerAction{Diverged: d})
			break
		}
	}
	return append(out, f.installed(from)...)
}
