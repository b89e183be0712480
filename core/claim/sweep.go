package claim

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// SweepGrace is how long a row is kept past its expiry, so that no earlier write
// of it can still be in flight when it is deleted.
const SweepGrace = time.Hour

// Sweep returns the transaction that deletes the expired rows among the given
// ones, at most DefaultMaxBatch, and the names of the bodies to delete after it
// was applied. The sweeping daemon pages through RowPrefix with it. A claimed row
// of a live owner is kept.
func Sweep(wall time.Time, rows []table.Row, ownerAlive func(id.Process) bool) (table.Transaction, []string) {
	var t table.Transaction
	var objects []string
	for _, stored := range rows {
		if len(t.Puts) == DefaultMaxBatch {
			break
		}
		row, err := DecodeRow(stored.Value)
		if err != nil || !sweepable(row, wall, ownerAlive) {
			continue
		}
		t.Conditions = append(t.Conditions, table.Condition{Key: stored.Key, Version: stored.Version})
		t.Puts = append(t.Puts, table.Put{Key: stored.Key, Delete: true})
		if a := row.Outcome.Answer; a != nil && a.Object != "" {
			objects = append(objects, a.Object)
		}
	}
	return t, objects
}

func sweepable(row Row, wall time.Time, ownerAlive func(id.Process) bool) bool {
	if !row.Expired(wall.Add(-SweepGrace)) {
		return false
	}
	return row.State != StateClaimed || !ownerAlive(row.Owner)
}
