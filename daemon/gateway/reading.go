package gateway

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/readers"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

const (
	// readersLook is how often the daemon decides whether it reads the store's
	// tables for others. Silent readers are noticed after memberSuspect: with
	// this pause and one call, well within the two seconds in which a change
	// must be in force.
	readersInterval = 250 * time.Millisecond
	// newsMaxBytes bounds the rows that are sent along with news. A fleet reads
	// larger ones from the store, whose link is wider than that of any daemon.
	newsMaxBytes = 16 << 10
)

// tableNews is what a daemon that reads the store's tables tells the others.
type tableNews struct {
	News feed.News `cbor:"1,keyasint"`
	// Store, on news of the endpoints, is what the sender knows of the store's own
	// state.
	Store *storeStatus `cbor:"2,keyasint,omitempty"`
}

// followers lists those of the daemon's tables; the fleet's own is there once
// the daemon has enrolled.
func (d *Daemon) followers() []*feed.Follower {
	all := []*feed.Follower{d.configs, d.endpoints}
	if f := d.fleet.Load(); f != nil {
		all = append(all, f.hosts)
	}
	return all
}

// follower is that of a table; nil for one that isn't followed.
func (d *Daemon) follower(name string) *feed.Follower {
	for _, f := range d.followers() {
		if f.Name() == name {
			return f
		}
	}
	return nil
}

// storeLost says whether the store does not answer this daemon.
func (d *Daemon) storeLost() bool { return d.configs.Lost() || d.endpoints.Lost() }

// shareReading decides again and again whether this daemon follows the store or
// leaves it to others, so that calls to the store don't grow with the fleet.
func (d *Daemon) updateReading(f *fleet) {
	decision := readers.NewDecision(f.self.Daemon)
	reads, told := false, false
	var asHub hub
	d.every(readersInterval, func() {
		entries := f.members.Entries()
		f.notePeersLost(d.now(), entries)
		candidates := readingCandidates(entries)
		now := decision.Decide(d.now(), candidates, !decision.Waited() && f.onlyOne())
		chosen := decision.Chosen()
		f.readers.Store(&chosen)
		f.broadcasts.Store(decision.Tells())
		f.linked.Store(asHub.update(d.now(), decision.Tells() || d.isStandbyOwner(f.self.Daemon, candidates)))
		if now != reads || decision.Waited() && !told {
			d.logger.Event("store_reading_changed", "reads", now)
		}
		reads, told = now, told || decision.Waited()
		for _, follower := range d.followers() {
			follower.SetIdle(!reads)
		}
		d.configs.SetWait(d.configWait())
	})
}

// onlyOne says whether no other daemon has ever enrolled.
func (f *fleet) onlyOne() bool {
	hosts, known := f.hosts.State()
	return known && len(hosts.Rows) <= 1
}

// readingCandidates are the daemons that can read for others, also those that
// have no configuration yet: before there is one, each would else read, and tell
// all others.
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

// tellNews tells the other daemons what the store told this one.
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
		n.Changes = nil
	}
	news := tableNews{News: n}
	if n.Name == d.endpoints.Name() {
		news.Store = d.storeStatus()
	}
	f.sendAll(kindNews, &news)
}

// takeNews takes what another daemon tells of the store's tables.
func (d *Daemon) handleNews(from id.Daemon, n tableNews) {
	if n.Store != nil {
		d.handleStoreStatus(from, *n.Store)
	}
	follower := d.follower(n.News.Name)
	if follower == nil {
		return
	}
	fresh, err := follower.Take(n.News)
	switch {
	case eris.Is(err, feed.ErrGap):
		d.logger.Event("table_news_missed", "peer", from, "table", n.News.Name, "position", n.News.Position)
		follower.Refresh()
	case fresh:
		d.logger.Event("table_news", "peer", from, "table", n.News.Name, "position", n.News.Position)
	}
}
