package gateway

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/retry"
)

// retryShare is this daemon's share of the slack of the retry limit. It is safe for
// concurrent use.
type retryShare struct {
	mu    sync.Mutex
	share *retry.Share
}

func newRetryShare(now, span time.Duration) *retryShare {
	return &retryShare{share: retry.NewShare(now, span)}
}

// skipWait makes the share usable at once.
func (r *retryShare) skipWait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.SkipWait()
}

// retrySharers returns among how many daemons the slack of the retry limit is divided; 0
// while this daemon may use none of it.
func (d *Daemon) retrySharers() int {
	d.retryShare.mu.Lock()
	defer d.retryShare.mu.Unlock()
	d.retryShare.share.Observe(d.knownDaemons())
	return d.retryShare.share.Sharers(d.now())
}

// knownDaemons returns the number of daemons, or 0 until this daemon has enrolled and
// knows the others: one that counted itself alone would use all of the slack.
func (d *Daemon) knownDaemons() int {
	f := d.fleet.Load()
	if f == nil || !f.knowsListed() {
		return 0
	}
	return f.count().Daemons
}

// knowsListed reports whether the membership contains all daemons that the store lists.
func (f *fleet) knowsListed() bool {
	listed := int(f.listed.Load())
	return listed > 0 && len(f.members.Entries()) >= listed
}
