package feed

import (
	"bytes"
	"context"
	"maps"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// readTable reads the whole table.
func (f *Follower) readTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := f.now()
	snapshot, err := f.cfg.Source.Read(ctx, f.cfg.Name)
	if err != nil {
		return err
	}
	f.reportReachability(nil)
	f.answered(begun, readTimeout, Answer{Newest: snapshot.Position, Clock: snapshot.Clock})
	f.reportRead(snapshot)
	state, news := f.install(snapshot)
	if state != nil {
		f.cfg.Changed(*state)
	}
	if news != nil && f.cfg.OnNews != nil {
		f.cfg.OnNews(*news)
	}
	f.confirm(begun)
	return nil
}

// reportRead reports a full read before it is installed.
func (f *Follower) reportRead(s Snapshot) {
	if f.cfg.OnRead == nil {
		return
	}
	f.mu.Lock()
	r := FullRead{Known: f.state.Position, Position: s.Position, HistoryGone: f.historyGone}
	r.Older = f.known && s.Position < r.Known
	f.mu.Unlock()
	f.cfg.OnRead(r)
}

// install replaces the state by a full read, unless that is older. It returns the new
// state, and the news for daemons that rely on this follower; nil for none.
func (f *Follower) install(s Snapshot) (state *State, news *News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fullRead = false
	if f.known && s.Position < f.state.Position {
		// News from another daemon was applied while this read was in flight.
		return nil, nil
	}
	news = f.diff(s)
	f.historyGone = false
	f.replaceRows(s.Rows, s.Position)
	if news != nil {
		f.completeNews(news)
	}
	copied := f.snapshot()
	return &copied, news
}

// completeNews adds the version to news of a full read, or the versions of the news to
// the follower's; the lock must be held.
func (f *Follower) completeNews(n *News) {
	if n.Restored {
		n.Version = f.state.Version
		return
	}
	for _, c := range n.Changes {
		f.state.Version = max(f.state.Version, c.Version)
	}
}

// diff returns the changes that lead from the known rows to a full read; nil for none.
// It returns changes only if the store has discarded them, or came back from an older
// copy, and other daemons rely on this follower: they learn of a removed row, or of the
// store's return, from no other source. In other full reads the follower catches up with
// changes that the other daemons already have. The lock must be held.
func (f *Follower) diff(s Snapshot) *News {
	restored := table.Era(s.Position) > table.Era(f.state.Position)
	if !f.known || f.idle || !(f.historyGone || restored) {
		return nil
	}
	n := &News{Name: f.cfg.Name, After: f.state.Position, Position: s.Position, Restored: restored}
	gone := maps.Clone(f.rows)
	for _, row := range s.Rows {
		known, kept := f.rows[row.Key]
		// After a return all versions are new, and few rows differ.
		if row.Version > known.Version && !(restored && kept && bytes.Equal(row.Value, known.Value)) {
			n.Changes = append(n.Changes, Change{Row: row})
		}
		delete(gone, row.Key)
	}
	for key := range gone {
		// The version of the removal is not known.
		n.Changes = append(n.Changes, Change{Row: table.Row{Key: key, Version: s.Position}, Removed: true})
	}
	if len(n.Changes) == 0 && !restored {
		return nil
	}
	return n
}
