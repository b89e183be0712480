package origins

import (
	"context"
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
	due := o.archive.Unstored(o.severalEach())
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
	row, stored := o.archive.Row(o.cfg.Now(), offset, o.severalEach())
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
