package origins

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

const (
	// minWriteInterval is the least time between two writes of a daemon's row.
	minWriteInterval = 100 * time.Millisecond
	// writeShare is the part of the store's writes that all daemons together may make for
	// their rows. The rest is for enrolments and leases.
	writeShare = 0.4
	// defaultWritesPerS is taken for the writes a second of a store whose rate is unknown.
	defaultWritesPerS = 100
	// rowTimeout bounds a call to the store for a daemon's own row.
	rowTimeout = time.Second
	// rowRetry is the pause after a write that failed.
	rowRetry = 300 * time.Millisecond
	// readTimeout bounds the wait of a caller for the rows of all daemons.
	readTimeout = time.Second
	// readPause is the part of the pause between two reads of all rows that each daemon of
	// the fleet adds: after all have started again, all may read.
	readPause = 20 * time.Millisecond
	// failedReadShare is the part of that pause that is waited after a read that failed.
	failedReadShare = 8
	// maxRead bounds the records that are read from the store.
	maxRead = 1 << 18
)

// ownRow is this daemon's row in the store. Only the goroutine of Run uses it.
type ownRow struct {
	// version is that of the row, known is set once it is known.
	version uint64
	known   bool
}

// writeInterval returns the least time between two writes of this daemon's row.
func (o *Origins) writeInterval() time.Duration {
	writes := o.cfg.WritesPerS
	if writes <= 0 {
		writes = defaultWritesPerS
	}
	share := float64(o.cfg.Daemons()) / (writeShare * writes)
	return max(minWriteInterval, time.Duration(share*float64(time.Second)))
}

// Run writes what began this daemon's streams to the store until ctx ends.
func (o *Origins) Run(ctx context.Context) {
	var row ownRow
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.due:
		}
		pause := o.writeInterval()
		if err := o.writeRow(ctx, &row); err != nil {
			o.cfg.Log("origins_not_stored", "why", err)
			o.wakeWriter()
			pause = max(pause, rowRetry)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// wakeWriter makes Run write this daemon's row.
func (o *Origins) wakeWriter() {
	select {
	case o.due <- struct{}{}:
	default: // it is due already
	}
}

// Restored tells that the store has come back from an older copy.
func (o *Origins) Restored() {
	o.mu.Lock()
	o.archive.Forget()
	o.mu.Unlock()
	o.wakeWriter()
}

// writeRow writes this daemon's row if the store lacks a record.
func (o *Origins) writeRow(ctx context.Context, own *ownRow) error {
	o.mu.Lock()
	due := o.archive.Unstored(o.several)
	o.mu.Unlock()
	if !due {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	key := tableStreams + "/" + string(o.cfg.Self)
	if !own.known {
		if err := o.inherit(ctx, own, key); err != nil {
			return err
		}
	}
	offset := o.offset()
	o.mu.Lock()
	row, stored := o.archive.Row(o.cfg.Now(), offset, o.several)
	o.mu.Unlock()
	value, err := cbor.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode the row")
	}
	own.known = false // until the write is known to have succeeded
	versions, written, err := o.cfg.Store.Replace(ctx, []table.Row{{Key: key, Value: value, Version: own.version}})
	if err != nil {
		return err
	}
	if !written {
		return eris.New("the row was changed concurrently")
	}
	own.version, own.known = versions[0], true
	o.mu.Lock()
	o.stored.Add(int64(stored()))
	o.mu.Unlock()
	return nil
}

// inherit reads this daemon's row: the former process may have left records in it.
func (o *Origins) inherit(ctx context.Context, own *ownRow, key string) error {
	row, err := o.cfg.Store.Row(ctx, key)
	if err != nil {
		return err
	}
	own.version, own.known = row.Version, true
	if row.Version == 0 {
		return nil
	}
	var found origin.Row
	if err := cbor.Unmarshal(row.Value, &found); err != nil {
		o.cfg.Log("store_row_unreadable", "row", key, "version", table.FormatVersion(row.Version), "why", err)
		return nil
	}
	nowMS := o.cfg.Store.Wall().UnixMilli()
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	found.Each(nowMS, func(key origin.Key, software id.Software, untilMS int64) {
		o.archive.Inherit(now, key, software, time.Duration(untilMS-nowMS)*time.Millisecond)
	})
	return nil
}

// stored holds what was read of the rows of all daemons. It is safe for concurrent use.
type storedRows struct {
	mu sync.Mutex
	// found maps a stream to its version, empty if two rows contradict each other.
	found map[origin.Key]id.Software
	// readAt is when the last read began, done is closed when it has ended; failed is set
	// if it brought nothing.
	readAt time.Duration
	done   chan struct{}
	failed bool
}

// findStored looks a stream up in the rows of all daemons, which it reads at most once in a
// while. It waits until they have been read, or ctx ends.
func (o *Origins) findStored(ctx context.Context, s origin.Stream) (id.Software, bool) {
	key := origin.KeyOf(s)
	if software := o.rows.find(key); software != "" {
		return software, true
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	select {
	case <-o.readRows():
	case <-ctx.Done():
	}
	software := o.rows.find(key)
	return software, software != ""
}

// find returns the version of a stream; empty if it is not known.
func (r *storedRows) find(key origin.Key) id.Software {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.found[key]
}

// fail notes that the last read has failed.
func (r *storedRows) fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = true
}

// readRows begins to read the rows of all daemons unless it has just done so. The channel
// that it returns is closed when the read has ended.
func (o *Origins) readRows() <-chan struct{} {
	r, now := &o.rows, o.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := time.Duration(o.cfg.Daemons()) * readPause
	if r.failed {
		pause /= failedReadShare
	}
	pause = max(minWriteInterval, pause)
	if r.done != nil && now-r.readAt < pause {
		return r.done
	}
	done := make(chan struct{})
	r.readAt, r.done, r.failed = now, done, false
	go func() {
		defer close(done)
		if err := o.loadRows(); err != nil {
			o.cfg.Log("origins_not_read", "why", err)
			r.fail()
		}
	}()
	return done
}

// loadRows reads the rows of all daemons.
func (o *Origins) loadRows() error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	rows, err := o.cfg.Store.Rows(ctx, tableStreams)
	if err != nil {
		return err
	}
	found := map[origin.Key]id.Software{}
	nowMS := o.cfg.Store.Wall().UnixMilli()
	for _, row := range rows {
		var r origin.Row
		if err := cbor.Unmarshal(row.Value, &r); err != nil {
			o.cfg.Log("store_row_unreadable", "row", tableStreams+"/"+row.Key, "version", table.FormatVersion(row.Version), "why", err)
			continue
		}
		r.Each(nowMS, func(key origin.Key, software id.Software, _ int64) { addFound(found, key, software) })
	}
	o.rows.mu.Lock()
	o.rows.found = found
	o.rows.mu.Unlock()
	o.cfg.Log("origins_read", "rows", len(rows), "records", len(found))
	return nil
}

// addFound adds a record that was read. Two that contradict each other say nothing.
func addFound(found map[origin.Key]id.Software, key origin.Key, software id.Software) {
	if known, ok := found[key]; ok && known != software {
		found[key] = ""
		return
	}
	if len(found) < maxRead {
		found[key] = software
	}
}
