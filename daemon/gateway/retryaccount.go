package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/retry"
)

// retryAccount is what a process hands on to the next one of its daemon at a planned stop,
// in the daemon's row: the windows of the retry limit. Without it the next process has no
// share of the slack for a window.
type retryAccount struct {
	// AtUnixMS is when it was written, in milliseconds since 1970 by the store's clock.
	AtUnixMS int64 `json:"at_ms"`
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
	row.Retries = &retryAccount{AtUnixMS: d.wall().UnixMilli(), Windows: d.forwarder.RetryWindows()}
	value, err := json.Marshal(row)
	if err != nil {
		d.logger.Warn("retries_not_handed_on", "why", err)
		return
	}
	ctx, cancel := context.WithTimeout(d.ctx, handOnTimeout)
	defer cancel()
	_, written, err := d.replaceRow(ctx, d.rowKey(), uint64(f.self.Incarnation), value)
	if err != nil || !written {
		d.logger.Warn("retries_not_handed_on", "written", written, "why", err)
		return
	}
	d.logger.Event("retries_handed_on", "services", len(row.Retries.Windows))
}

// adoptRetries takes over the account of the former process. It must have been written
// within the window: later, the other daemons may have taken over the share.
func (d *Daemon) adoptRetries(a *retryAccount) {
	if a == nil {
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
