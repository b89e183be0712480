package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/readers"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

const (
	// readersInterval is the interval at which the daemon decides whether it reads
	// the store's tables for others. Silent readers are detected after memberSuspect.
	// Together with this interval and one call, that is well within the two seconds
	// within which a change must be in force.
	readersInterval = 250 * time.Millisecond
	// newsMaxBytes bounds the rows that are sent with news. Daemons read larger
	// changes from the store, whose link is faster than that of any daemon.
	newsMaxBytes = 16 << 10
)

// tableNews carries changes of a table from a daemon that reads the store to the
// others.
type tableNews struct {
	News feed.News `cbor:"1,keyasint"`
	// Store is the store's status as the sender knows it; set on news of the
	// endpoints.
	Store *storeStatus `cbor:"2,keyasint,omitempty"`
	// Restored replaces News after the store has come back from an older copy. Earlier
	// releases don't know the field: they would take the versions for the store's numbers.
	Restored *feed.News `cbor:"3,keyasint,omitempty"`
}

// newTableNews returns the message with news.
func newTableNews(n feed.News) tableNews {
	if table.Era(n.Position) > 0 {
		return tableNews{Restored: &n}
	}
	return tableNews{News: n}
}

// news returns the message's news.
func (n *tableNews) news() feed.News {
	if n.Restored != nil {
		return *n.Restored
	}
	return n.News
}

// followers returns the followers of the tables; those of the fleet's own tables are
// included once the daemon has enrolled.
func (d *Daemon) followers() []*feed.Follower {
	all := []*feed.Follower{d.configs, d.endpoints}
	if f := d.fleet.Load(); f != nil {
		all = append(all, f.hosts, f.versions)
	}
	return all
}

// follower returns the follower of a table, or nil if the table is not followed.
func (d *Daemon) follower(name string) *feed.Follower {
	for _, f := range d.followers() {
		if f.Name() == name {
			return f
		}
	}
	return nil
}

// storeLost reports whether the store does not answer this daemon.
func (d *Daemon) storeLost() bool { return d.configs.Lost() || d.endpoints.Lost() }

// updateReading periodically decides whether this daemon follows the store's tables
// itself or receives their changes from other daemons, so that the number of calls to
// the store does not grow with the fleet.
func (d *Daemon) updateReading(f *fleet) {
	decision := readers.NewDecision(f.self.Daemon)
	reads, logged := false, false
	sharers := 0
	var asHub hub
	d.every(readersInterval, func() {
		entries := f.members.Entries()
		f.recordPeersLost(d.now(), entries)
		sharers = d.logRetryShare(f, sharers)
		candidates := readingCandidates(entries)
		now := decision.Decide(d.now(), candidates, !decision.StartupOver() && f.onlyOne())
		chosen := decision.Chosen()
		f.readers.Store(&chosen)
		f.broadcasts.Store(decision.Broadcasts())
		f.linked.Store(asHub.update(d.now(), decision.Broadcasts() || d.isStandbyOwner(f.self.Daemon, candidates)))
		if now != reads || decision.StartupOver() && !logged {
			d.logger.Event("store_reading_changed", "reads", now)
		}
		reads, logged = now, logged || decision.StartupOver()
		for _, follower := range d.followers() {
			follower.SetIdle(!reads)
		}
		d.configs.SetWait(d.configWait())
	})
}

// onlyOne reports whether no other daemon has ever enrolled.
func (f *fleet) onlyOne() bool {
	hosts, known := f.hosts.State()
	return known && len(hosts.Rows) <= 1
}

// readingCandidates returns the daemons that can read the store for others. It
// includes those that have no configuration yet: otherwise, before there is a
// configuration, each daemon would read and broadcast to all others.
func readingCandidates(entries []member.Entry) []readers.Candidate {
	var out []readers.Candidate
	for _, e := range entries {
		if e.State == member.Alive && e.Process.Incarnation > 0 {
			out = append(out, readers.Candidate{
				Daemon: e.Process.Daemon, Domain: e.Domain, StoreLost: e.StoreLost, Capacity: e.Capacity,
			})
		}
	}
	return out
}

// sendNews broadcasts changes that this daemon read from the store. Changes that are
// too large are left out; the other daemons then read the table.
func (d *Daemon) sendNews(n feed.News) {
	f := d.fleet.Load()
	if f == nil || !f.broadcasts.Load() {
		return
	}
	size := 0
	for _, c := range n.Changes {
		size += len(c.Value)
	}
	if size > newsMaxBytes {
		n.Changes, n.Restored = nil, false
	}
	news := newTableNews(n)
	if n.Name == d.endpoints.Name() {
		news.Store = d.storeStatus()
	}
	f.sendAll(kindNews, &news)
}

// handleNews applies changes of the store's tables from another daemon. If changes
// before them are missing, it reads the table.
func (d *Daemon) handleNews(from id.Daemon, n tableNews) {
	if n.Store != nil {
		d.handleStoreStatus(from, *n.Store)
	}
	news := n.news()
	follower := d.follower(news.Name)
	if follower == nil {
		return
	}
	fresh, err := follower.ApplyNews(news)
	switch {
	case eris.Is(err, feed.ErrGap):
		d.logger.Event("table_news_missed", "peer", from, "table", news.Name, "position", table.FormatVersion(news.Position))
		follower.Refresh()
	case fresh:
		d.logger.Event("table_news", "peer", from, "table", news.Name, "position", table.FormatVersion(news.Position))
	}
}
