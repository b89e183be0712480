package origins

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

const (
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
