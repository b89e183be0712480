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
	reply := d.platform.Store.Run(ctx, table.Request{Transaction: &table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Puts:       []table.Put{{Key: key, Value: value}},
	}})
	if reply.Status != table.Done {
		return 0, false, eris.Errorf("write row %s: store status %s", key, reply.Status)
	}
	if !reply.Applied || len(reply.Versions) == 0 {
		return 0, false, nil
	}
	return reply.Versions[0], true, nil
}
