package origins

import (
	"encoding/json"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// recorder brings the store's rows of versions up to date. Its fields are guarded by the
// lock of Origins.
type recorder struct {
	// rows are those that the store has, known is set once they were read.
	rows  map[id.Service]recordedRow
	known bool
	// dueSince is since when a row is not up to date; 0 if all are.
	dueSince time.Duration
	// checkedAt is when Check was last called, current whether the list was up to date then.
	checkedAt time.Duration
	current   bool
	writing   bool
	// pausedUntil is until when nothing is written after a write that failed.
	pausedUntil time.Duration
	// news is closed when the rows change.
	news chan struct{}
	// noticed is since when a version waits for being recorded.
	noticed map[id.Service]map[id.Software]time.Duration
}

// recordedRow is a row of the table of versions.
type recordedRow struct {
	origin.Recorded
	version uint64
}

// decodeRecorded decodes a row of a version. One that can't be decoded counts as of a former
// era.
func decodeRecorded(value []byte, version uint64) (recordedRow, error) {
	r := recordedRow{version: version}
	if err := json.Unmarshal(value, &r.Recorded); err != nil {
		return recordedRow{version: version, Recorded: origin.Recorded{Older: true}}, err
	}
	r.Older = r.Era != table.Era(version)
	return r, nil
}

// era returns the store's latest era, as far as the rows tell.
func (r *recorder) era() uint64 {
	era := uint64(0)
	for _, row := range r.rows {
		era = max(era, table.Era(row.version))
	}
	return era
}
