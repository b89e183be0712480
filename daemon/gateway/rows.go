package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// readRow reads one row. The reply carries the store's clock, by which evidence is
// dated from then on.
func (d *Daemon) readRow(key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(d.ctx, enrollTimeout)
	defer cancel()
	return d.readRowWithin(ctx, key)
}

// readRowWithin is readRow within ctx.
func (d *Daemon) readRowWithin(ctx context.Context, key string) (table.Row, error) {
	sent := d.now()
	reply := d.platform.Store.Run(ctx, table.Request{Keys: []string{key}})
	if reply.Status != table.Done {
		return table.Row{}, eris.Errorf("read row %s: store status %s", key, reply.Status)
	}
	if reply.Clock > 0 {
		d.freshness.sample(sent, d.now(), reply.Clock)
		d.setEpoch(time.Unix(0, 0).Add(reply.Clock))
	}
	return reply.Row(key), nil
}

// writeRow replaces a row if it still has the given version. It returns the new
// version, or false if the row has another version.
func (d *Daemon) writeRow(key string, version uint64, value []byte) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(d.ctx, enrollTimeout)
	defer cancel()
	return d.replaceRow(ctx, key, version, value)
}

// replaceRow is writeRow within ctx.
func (d *Daemon) replaceRow(ctx context.Context, key string, version uint64, value []byte) (uint64, bool, error) {
	versions, written, err := d.replaceRows(ctx, []table.Row{{Key: key, Value: value, Version: version}})
	if err != nil || !written {
		return 0, false, err
	}
	return versions[0], true, nil
}

// replaceRows replaces rows at once if all still have the version given with them. It returns
// the new versions, or false if one has another version.
func (d *Daemon) replaceRows(ctx context.Context, rows []table.Row) (versions []uint64, written bool, err error) {
	var t table.Transaction
	for _, row := range rows {
		t.Conditions = append(t.Conditions, table.Condition{Key: row.Key, Version: row.Version})
		t.Puts = append(t.Puts, table.Put{Key: row.Key, Value: row.Value})
	}
	reply := d.platform.Store.Run(ctx, table.Request{Transaction: &t})
	if reply.Status != table.Done {
		return nil, false, eris.Errorf("write row %s: store status %s", rows[0].Key, reply.Status)
	}
	if !reply.Applied || len(reply.Versions) < len(rows) {
		return nil, false, nil
	}
	return reply.Versions, true, nil
}
