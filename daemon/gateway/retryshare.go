package gateway

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// retryShare is this daemon's share of the slack of the retry limit. It is safe for
// concurrent use.
type retryShare struct {
	startedAt time.Duration

	mu    sync.Mutex
	share *retry.Share
	// handedOn is set once the share belongs to the next process.
	handedOn bool
}

func newRetryShare(now, span, joinDelay time.Duration) *retryShare {
	return &retryShare{startedAt: now, share: retry.NewShare(retry.ShareConfig{
		Span: span, PartitionedFor: memberConfig().PartitionedFor, JoinDelay: joinDelay,
	})}
}

// adopt goes on with the share of the former process, if the fleet is known by until.
func (r *retryShare) adopt(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.Adopt(until)
}

// setFirstStart is called if the whole fleet starts for the first time. It has an effect if
// the fleet is known by until.
func (r *retryShare) setFirstStart(until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.SetFirstStart(until)
}

// handOn leaves the share to the next process of this daemon.
func (r *retryShare) handOn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handedOn = true
}

// restart is called if others may have declared this daemon dead: they share what it
// could use.
func (r *retryShare) restart(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.Restart(now)
}

// observe records what the daemon knows of the fleet.
func (r *retryShare) observe(now time.Duration, v fleetView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share.Observe(now, v.sharingFleet(now-r.startedAt))
}

// sharers returns among how many daemons the slack is divided; 0 while this daemon may
// use none of it.
func (r *retryShare) sharers(now time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.handedOn {
		return 0
	}
	return r.share.Sharers(now)
}

// fleetView is what a daemon knows of the fleet.
type fleetView struct {
	// entries are those of the membership, this daemon's included.
	entries []member.Entry
	// listed is the number of daemons that the store lists, this one included; 0 until
	// the list has been read.
	listed int
	// isolated is set while the daemon has lost most of the fleet.
	isolated bool
}

// sharingFleet returns the daemons that share the slack. They are unknown until the
// membership contains all daemons that the store lists: a daemon that counted itself alone
// would use all of the slack. Daemons that are listed and were never heard may be on the
// other side of a partition. They count until this process has run for as long as silent
// daemons count as partitioned; age is how long it has run.
func (v fleetView) sharingFleet(age time.Duration) retry.Fleet {
	if v.listed == 0 || len(v.entries) < v.listed {
		return retry.Fleet{}
	}
	counted := quotas.CountFleet(v.entries)
	out := retry.Fleet{Daemons: counted.Daemons, Reached: counted.Reached}
	if age < memberConfig().PartitionedFor {
		out.Daemons += v.unheard()
	}
	if v.isolated {
		// The membership of a large fleet takes a while to mark all that are lost.
		out.Reached = 1
	}
	return out
}

// unheard returns the number of daemons that count as dead since nothing was ever heard
// from them.
func (v fleetView) unheard() int {
	n := 0
	for _, e := range v.entries {
		if e.State == member.Dead && e.Process.Incarnation == 0 {
			n++
		}
	}
	return n
}

// retrySharers returns among how many daemons the slack of the retry limit is divided; 0
// while this daemon may use none of it.
func (d *Daemon) retrySharers() int {
	if f := d.fleet.Load(); f != nil {
		d.retryShare.observe(d.now(), f.view())
	}
	return d.retryShare.sharers(d.now())
}

// logRetryShare logs this daemon's share of the slack if the number of sharers is another
// one than before, and returns that number.
func (d *Daemon) logRetryShare(f *fleet, before int) int {
	sharers := d.retrySharers()
	if sharers == before {
		return sharers
	}
	v := f.view()
	seen := v.sharingFleet(d.now() - d.retryShare.startedAt)
	d.logger.Event("retry_share_changed", "sharers", sharers, "daemons", seen.Daemons, "reached", seen.Reached,
		"isolated", v.isolated, "listed", v.listed)
	return sharers
}

// view returns what the daemon knows of the fleet.
func (f *fleet) view() fleetView {
	return fleetView{entries: f.members.Entries(), listed: int(f.listed.Load()), isolated: f.members.Isolated()}
}
