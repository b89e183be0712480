package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/uptime"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

// storeStatus is what one daemon tells others of the store's own state.
type storeStatus struct {
	// Uptime is when the store is known to have answered.
	Uptime uptime.History `cbor:"1,keyasint"`
	// Listed is the version of the store up to which the sender knows the endpoints.
	Listed uint64 `cbor:"2,keyasint,omitempty"`
	// MayReturn says that entries which have gone may have lapsed before the newest span.
	MayReturn bool `cbor:"3,keyasint,omitempty"`
}

// uptimeQuery asks when the store answered.
type uptimeQuery struct {
	// UpTo is the version of the store up to which that matters.
	UpTo uint64 `cbor:"1,keyasint"`
}

// askEach is the pause between questions for each daemon of the fleet: behind an
// outage all of them may keep entries, and ask the same three.
const uptimeQueryPause = 5 * time.Millisecond

// askPause is the pause between two questions about entries that are kept by
// others' word.
func (d *Daemon) uptimeQueryInterval() time.Duration {
	return time.Duration(d.daemons()) * uptimeQueryPause
}

// mostAsked is how many others a daemon asks at a time: those that read the
// store for all.
const maxUptimePeers = 3

// lostLeast is for how long other daemons must have been without the store for
// this one to doubt its first answer: less time than entries need to lapse, and
// more than it takes to read in place of others that the store refuses alone.
const minPeerOutage = time.Second

// storeAnswered notes an answer of the store. One that does not follow another
// may be the first behind an outage that this daemon has not seen.
func (d *Daemon) storeAnswered(a feed.Answer) {
	suspect := !a.Unbroken && d.peersLost()
	d.withRegistry(func(l *registry.List) {
		if suspect {
			l.Suspect(d.now())
		}
		l.Answered(a.Newest, a.Clock, a.Unbroken)
	})
}

// othersLost says whether others have been without the store for a while.
func (d *Daemon) peersLost() bool {
	f := d.fleet.Load()
	if f == nil {
		return false
	}
	since := time.Duration(f.peersLostSince.Load())
	return since > 0 && d.now()-since >= minPeerOutage
}

// noteLost notes since when others have been without the store.
func (f *fleet) notePeersLost(now time.Duration, entries []member.Entry) {
	lost := slices.ContainsFunc(entries, func(e member.Entry) bool {
		return e.State == member.Alive && e.StoreLost && e.Process.Daemon != f.self.Daemon
	})
	if !lost {
		f.peersLostSince.Store(0)
		return
	}
	f.peersLostSince.CompareAndSwap(0, int64(now))
}

// endpointsConfirmed notes that the endpoints are known as the store has them.
func (d *Daemon) endpointsConfirmed(time.Duration) {
	d.withRegistry(func(l *registry.List) { l.Current() })
}

// storeStatus is what this daemon tells others.
func (d *Daemon) storeStatus() *storeStatus {
	status := storeStatus{Listed: d.endpoints.Position()}
	d.withRegistry(func(l *registry.List) {
		status.Uptime, status.MayReturn = l.Uptime(), l.Doubts(d.now())
	})
	return &status
}

// takeStoreStatus takes what another daemon knows of the store's own state.
func (d *Daemon) handleStoreStatus(from id.Daemon, told storeStatus) {
	d.withRegistry(func(l *registry.List) {
		if l.Learn(told.Uptime, told.Listed) {
			newest := told.Uptime.Newest()
			d.logger.Event("store_was_there", "peer", from, "from", newest.From, "until", newest.Until, "length", newest.Length())
			d.publish()
		}
		if told.MayReturn {
			d.mayReturn(from)
		}
	})
}

// mayReturn notes by another daemon's word that entries may have lapsed with the
// store; the lock is held.
func (d *Daemon) mayReturn(from id.Daemon) {
	list, now := d.tables.list, d.now()
	doubted := list.Doubts(now)
	list.MayReturn(now)
	if !doubted && list.Doubts(now) {
		d.logger.Event("store_absence_told", "peer", from)
	}
}

// answerUptime tells another daemon when the store answered. Where its last answer
// is too old to tell, the store is asked at once, so that the next question finds
// more.
func (d *Daemon) answerUptime(q uptimeQuery) *storeStatus {
	status := d.storeStatus()
	newest := status.Uptime.Newest()
	if newest.Until < q.UpTo || newest.Length() < uptime.ReturnGrace {
		d.endpoints.Poll()
	}
	return status
}

// askUptime asks others when the store answered, one question at a time: entries
// are kept by what this daemon alone knows of it.
func (d *Daemon) queryUptime(upTo uint64) {
	f := d.fleet.Load()
	if f == nil || !d.queryingUptime.CompareAndSwap(false, true) {
		return
	}
	var asked sync.WaitGroup
	for _, other := range f.uptimePeers() {
		asked.Go(func() { d.queryUptimeOf(f, other, upTo) })
	}
	go func() {
		asked.Wait()
		d.queryingUptime.Store(false)
	}()
}

// askedForUptime are those that read the store for all, or others where these
// can't be told.
func (f *fleet) uptimePeers() []id.Daemon {
	var out []id.Daemon
	if chosen := f.readers.Load(); chosen != nil {
		out = append(out, *chosen...)
	}
	out = append(out, f.members.Others()...)
	asked := map[id.Daemon]bool{f.self.Daemon: true}
	kept := out[:0]
	for _, other := range out {
		if !asked[other] && len(kept) < maxUptimePeers {
			kept = append(kept, other)
		}
		asked[other] = true
	}
	return kept
}

func (d *Daemon) queryUptimeOf(f *fleet, other id.Daemon, upTo uint64) {
	ctx, cancel := context.WithTimeout(d.ctx, tablesTimeout)
	defer cancel()
	var told storeStatus
	if err := f.transport.Call(ctx, other, kindUptime, &uptimeQuery{UpTo: upTo}, &told); err != nil {
		d.logger.Warn("uptime_not_learnt", "peer", other, "why", err)
		return
	}
	told.MayReturn = false // the question is about the past only
	d.handleStoreStatus(other, told)
	if d.endpoints.Position() < told.Listed {
		d.endpoints.Refresh()
	}
}
