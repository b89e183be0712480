package origins

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

const (
	// CheckInterval is the interval at which Check is to be called.
	CheckInterval = 100 * time.Millisecond
	// rankDelay is how much later each further daemon records a change that the ones before
	// it have not recorded.
	rankDelay = 300 * time.Millisecond
	// stallLimit is the pause between two checks from which versions may have come and gone
	// unseen.
	stallLimit = 2 * time.Second
	// recordTimeout bounds a write of versions.
	recordTimeout = time.Second
	// recordRetry is the pause after a write of versions that failed.
	recordRetry = 300 * time.Millisecond
	// maxRowBytes bounds a row: anyone may list endpoints whose versions have long names.
	maxRowBytes = 40 << 10
	// maxRowsWritten bounds the rows of one write.
	maxRowsWritten = 100
)

// SetRecorded replaces the rows of the table of versions. A row that can't be decoded is
// logged. It proves nothing, and is written again.
func (o *Origins) SetRecorded(rows []table.Row) {
	decoded := make(map[id.Service]recordedRow, len(rows))
	for _, row := range rows {
		r, err := decodeRecorded(row.Value, row.Version)
		if err != nil {
			o.cfg.Log("store_row_unreadable", "row", TableVersions+"/"+row.Key, "version", table.FormatVersion(row.Version), "why", err)
		}
		decoded[id.Service(row.Key)] = r
	}
	offset := o.offset()
	o.mu.Lock()
	defer o.mu.Unlock()
	for service, r := range o.recorder.rows {
		if decoded[service].version < r.version && table.Era(decoded[service].version) == table.Era(r.version) {
			decoded[service] = r // this daemon has written it since
		}
	}
	o.recorder.rows, o.recorder.known = decoded, true
	o.publishRecorded(offset)
}

// publishRecorded passes the rows to the history and wakes what waits for them; the lock
// must be held.
func (o *Origins) publishRecorded(offset time.Duration) {
	all := make(map[id.Service]origin.Recorded, len(o.recorder.rows))
	for service, r := range o.recorder.rows {
		all[service] = r.Recorded
	}
	o.history.KeepLost(o.cfg.Now(), all)
	o.history.SetRecorded(o.cfg.Now(), all, offset)
	close(o.recorder.news)
	o.recorder.news = make(chan struct{})
}

// Check notices whether versions may have come and gone unseen, and records changes of the
// versions that are listed. It is to be called every CheckInterval.
func (o *Origins) Check(duty Duty) {
	if o.interrupted() {
		o.cfg.Refresh()
	}
	rows := o.dueRows(duty)
	if len(rows) > 0 {
		go o.record(rows)
	}
}

// interrupted reports whether versions may have come and gone since the last check: the
// process stood still, or its list was behind until now.
func (o *Origins) interrupted() bool {
	now, current := o.cfg.Now(), o.cfg.Current()
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &o.recorder
	missed := r.checkedAt > 0 && (now-r.checkedAt > stallLimit || current && !r.current)
	r.checkedAt, r.current = now, current
	if missed {
		o.history.Interrupt(now)
	}
	return missed
}

// complete reports whether this daemon knows all versions of a service that may have begun a
// stream. One that has stood still does not until it has checked; the lock must be held.
func (o *Origins) complete(now time.Duration, service id.Service) bool {
	checked := o.recorder.checkedAt
	stoodStill := checked > 0 && now-checked > stallLimit
	return !stoodStill && o.history.Complete(now, service)
}

// dueRows returns the rows that this daemon is to write now, at most maxRowsWritten.
func (o *Origins) dueRows(duty Duty) []table.Row {
	now, offset := o.cfg.Now(), o.offset()
	o.mu.Lock()
	defer o.mu.Unlock()
	r := &o.recorder
	if !duty.Records || !r.known || r.writing || now < r.pausedUntil {
		return nil
	}
	rows := o.outdatedRows(now, offset)
	if len(rows) == 0 {
		r.dueSince = 0
		return nil
	}
	if r.dueSince == 0 {
		r.dueSince = now
	}
	if now-r.dueSince < time.Duration(duty.Rank)*rankDelay {
		return nil
	}
	r.writing = true
	return rows[:min(len(rows), maxRowsWritten)]
}

// outdatedRows returns the rows that differ from what is to be recorded; the lock must be
// held.
func (o *Origins) outdatedRows(now, offset time.Duration) []table.Row {
	nowMS := (now + offset).Milliseconds()
	var out []table.Row
	for _, service := range o.history.Services() {
		had, known := o.recorder.rows[service]
		if !o.cfg.Serves(service) {
			continue
		}
		if !known || had.Older {
			had.SinceMS = o.recordedSince(now, service, nowMS)
		}
		updated, changed := had.Update(nowMS, o.history.Listed(service), o.history.Gone(now, service))
		if !changed && !had.Older {
			continue
		}
		updated.Era = o.recorder.era()
		value, err := json.Marshal(updated)
		if err != nil {
			o.cfg.Log("versions_not_recorded", "service", service, "why", err)
			continue
		}
		if len(value) > maxRowBytes {
			o.cfg.Log("versions_not_recorded", "service", service, "why", "the names of its versions are too long")
			continue
		}
		out = append(out, table.Row{Key: string(service), Value: value, Version: had.version})
	}
	return out
}

// recordedSince returns from when on a new row holds all versions: always, if the whole
// fleet has started for the first time and this daemon has missed nothing since, or if it has
// seen all that count; the lock must be held.
func (o *Origins) recordedSince(now time.Duration, service id.Service, nowMS int64) int64 {
	if o.history.Unused() || o.history.Complete(now, service) {
		return 0
	}
	return nowMS
}

// record writes rows of versions.
func (o *Origins) record(rows []table.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	keyed := slices.Clone(rows)
	for i := range keyed {
		keyed[i].Key = TableVersions + "/" + rows[i].Key
	}
	versions, written, err := o.cfg.Store.Replace(ctx, keyed)
	offset := o.offset()
	o.mu.Lock()
	o.recorder.writing = false
	if err != nil {
		o.recorder.pausedUntil = o.cfg.Now() + recordRetry
	}
	if written {
		for i, row := range rows {
			o.keepRecorded(row, versions[i])
		}
		o.publishRecorded(offset)
	}
	o.mu.Unlock()
	switch {
	case err != nil:
		o.cfg.Log("versions_not_recorded", "services", len(rows), "why", err)
	case !written:
		o.cfg.Refresh() // another daemon has written them
	default:
		o.cfg.Log("versions_recorded", "services", len(rows))
	}
}

// keepRecorded notes a row that was written, unless a later one is known; the lock must be
// held.
func (o *Origins) keepRecorded(row table.Row, version uint64) {
	if o.recorder.rows[id.Service(row.Key)].version > version {
		return
	}
	r, err := decodeRecorded(row.Value, version)
	if err != nil {
		o.cfg.Log("versions_not_recorded", "service", row.Key, "why", err)
		return
	}
	o.recorder.rows[id.Service(row.Key)] = r
}
