package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// retryAccount is what a process hands on to the next one of its daemon at a planned stop,
// in the daemon's row: the windows of the retry limit. Without it the next process has no
// share of the slack for a window.
type retryAccount struct {
	// AtUnixMS is when it was written, in milliseconds since 1970 by the store's clock.
	AtUnixMS int64 `json:"at_ms"`
	// Era is the store's era in which it was written. In a later one it may be from a copy
	// of the store, and older than what a process has retried since.
	Era uint64 `json:"era,omitempty"`
	// Windows are the requests and retries of each service that still count.
	Windows map[id.Service]retry.WindowState `json:"windows,omitempty"`
}

// handOnTimeout bounds the store call in which a stopping daemon hands its account on. It
// fits into stopMargin together with shutdownTimeout.
const handOnTimeout = 250 * time.Millisecond

// handOnRetries writes the account of retries into the daemon's row. From then on this
// process retries by its own requests only. If the write fails, the next process waits.
func (d *Daemon) handOnRetries() {
	f := d.fleet.Load()
	if f == nil || d.retrySharers() == 0 {
		d.logger.Event("retries_not_handed_on", "why", "this process has no share")
		return
	}
	d.retryShare.handOn()
	row := d.row()
	row.Retries = &retryAccount{AtUnixMS: d.wall().UnixMilli(), Era: f.rowsChecked.Load(), Windows: d.forwarder.RetryWindows()}
	value, err := json.Marshal(row)
	if err != nil {
		d.logger.Warn("retries_not_handed_on", "why", err)
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, handOnTimeout)
	defer cancel()
	version, err := d.ownRowVersion(ctx, f)
	if err != nil {
		d.logger.Warn("retries_not_handed_on", "why", err)
		return
	}
	_, written, err := d.replaceRow(ctx, d.rowKey(), version, value)
	if err != nil || !written {
		d.logger.Warn("retries_not_handed_on", "written", written, "why", err)
		return
	}
	d.logger.Event("retries_handed_on", "services", len(row.Retries.Windows))
}

// ownRowVersion returns the version of this process's row: its incarnation, until the
// store has come back from an older copy.
func (d *Daemon) ownRowVersion(ctx context.Context, f *fleet) (uint64, error) {
	incarnation := uint64(f.self.Incarnation)
	if f.rowsChecked.Load() == table.Era(incarnation) {
		return incarnation, nil
	}
	row, err := d.readRowWithin(ctx, d.rowKey())
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(d.row())
	if err != nil {
		return 0, eris.Wrap(err, "encode the daemon's row")
	}
	if !bytes.Equal(row.Value, value) {
		return 0, eris.New("the store has another row of this daemon")
	}
	return row.Version, nil
}

// adoptRetries takes over the account of the former process, in the row that the given
// incarnation has replaced. It must have been written within the window, and in the
// same era of the store: later, the other daemons may have taken over the share.
func (d *Daemon) adoptRetries(a *retryAccount, incarnation id.Incarnation) {
	if a == nil {
		return
	}
	if era := table.Era(uint64(incarnation)); a.Era != era {
		d.logger.Event("retries_not_adopted", "era", era, "written_in", a.Era, "why", "the store has come back from an older copy")
		return
	}
	age := d.wall().Sub(time.UnixMilli(a.AtUnixMS))
	left := Seconds(d.set.Bounds.RepeatWindowS) - age
	if age < 0 || left < 0 {
		d.logger.Event("retries_not_adopted", "age", age, "why", "the account was not written within the window")
		return
	}
	d.forwarder.RestoreRetryWindows(age, a.Windows)
	d.retryShare.adopt(d.now() + left)
	d.logger.Event("retries_adopted", "age", age, "services", len(a.Windows))
}
