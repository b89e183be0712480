package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/keys"
)

// authorityRestoreWait is how long a starting daemon waits for others to write the CA
// again that the store has lost.
const authorityRestoreWait = 4 * time.Second

// authority reads the fleet's CA, or creates it if there is none yet.
func (d *Daemon) authority() (*keys.DevCA, error) {
	row, err := d.readRow(keyAuthority)
	if err != nil {
		return nil, err
	}
	if row.Version == 0 && d.sleep(time.Duration(d.rand.Int64N(int64(authorityWait)))) {
		row, err = d.readRow(keyAuthority)
	}
	if err != nil {
		return nil, err
	}
	if row.Version != 0 {
		return d.loadAuthority(row.Value)
	}
	if d.awaitsAuthority() {
		return nil, eris.New("the store lists daemons and has no CA: one of them is to write it again")
	}
	return d.createAuthority()
}

// awaitsAuthority reports whether other daemons may still write the CA again that the
// store has lost. They have authorityRestoreWait for it.
func (d *Daemon) awaitsAuthority() bool {
	if d.authorityDue == 0 && d.fleetExists() {
		d.authorityDue = d.now() + authorityRestoreWait
	}
	return d.now() < d.authorityDue
}

// fleetExists reports whether the store lists other daemons. They have a CA that the
// store has lost, if it has none.
func (d *Daemon) fleetExists() bool {
	ctx, cancel := context.WithTimeout(d.ctx, enrollTimeout)
	defer cancel()
	hosts, err := d.platform.Source.Read(ctx, tableDaemons)
	if err != nil {
		d.logger.Warn("daemons_not_read", "why", err)
		return true
	}
	return slices.ContainsFunc(hosts.Rows, func(r table.Row) bool { return r.Key != string(d.set.Daemon) })
}

// createAuthority writes a new CA. If another daemon wrote one first, it returns
// that CA.
func (d *Daemon) createAuthority() (*keys.DevCA, error) {
	created, err := keys.NewDevCA(d.opts.Wall())
	if err != nil {
		return nil, err
	}
	encoded, err := created.Marshal()
	if err != nil {
		return nil, err
	}
	_, written, err := d.writeRow(keyAuthority, 0, encoded)
	if err != nil {
		return nil, err
	}
	if written {
		return created, nil
	}
	row, err := d.readRow(keyAuthority)
	if err != nil {
		return nil, err
	}
	return d.loadAuthority(row.Value)
}

// loadAuthority decodes a CA. Certificates are dated by the wall clock.
func (d *Daemon) loadAuthority(encoded []byte) (*keys.DevCA, error) {
	return keys.LoadCA(encoded, d.opts.Wall())
}
