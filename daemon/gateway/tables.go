package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/freshness"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/uptime"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/forward"
)

const (
	// feedWait is how long one call to the store waits for changes. A dead
	// connection to the store is detected slightly later than that.
	feedWait = 3500 * time.Millisecond
	// endpointsWait is the same for the table of endpoints. It is short so that, when
	// the connections of all readers are dead, other daemons replace them and learn
	// which endpoints have left within the two seconds after which these must get no
	// more requests.
	endpointsWait = 600 * time.Millisecond
	// feedBatchDelay is the pause after changes, which batches them. It is much shorter
	// than the two seconds within which a change must be in force.
	feedBatchDelay = 350 * time.Millisecond
	// feedRetry bounds the pause after a failed call to the store.
	feedRetry = 400 * time.Millisecond
	// idleRetry replaces feedRetry for a daemon that receives the changes from other
	// daemons. If the store refuses many daemons, their retries would otherwise be
	// most of its calls.
	idleRetry = 2 * time.Second
	// registryCheckInterval is the interval at which lapsed entries of the registry
	// are checked.
	registryCheckInterval = 400 * time.Millisecond
)

// tableCache holds the state that the daemon has read from the store's tables.
type tableCache struct {
	view atomic.Pointer[forward.View]
	// mu guards the fields below, from which the view is built.
	mu       sync.Mutex
	list     *registry.List
	routes   *route.Table
	versions map[string]uint64
	// inForce holds the rows of the configuration in force. The follower's rows may be those
	// of an older copy of the store.
	inForce []table.Row
	// start decides when the first configuration of a store that came back from an older
	// copy may be put in force; held is the newest one until then.
	start       freshness.Start
	held        feed.State
	heldVersion uint64
	// entries caches the parsed rows of the table of endpoints.
	entries entryCache
	// badRows maps each row that could not be decoded to its version, so that each
	// version is logged once.
	badRows map[string]uint64
}

func newTableCache() *tableCache {
	k := &tableCache{
		list:     registry.New(),
		versions: map[string]uint64{},
		badRows:  map[string]uint64{},
		start:    newConfigStart(),
	}
	k.view.Store(&forward.View{})
	return k
}

func (k *tableCache) current() *forward.View { return k.view.Load() }

// follow starts the followers of the store's tables.
func (d *Daemon) follow() {
	tables := d.platform.Adapter.Tables()
	configs := d.followerConfig(tables.Config, d.configChanged)
	configs.Confirmed = d.configConfirmed
	d.configs = feed.Start(configs)
	endpoints := d.followerConfig(tables.Endpoints, d.endpointsChanged)
	endpoints.Wait = endpointsWait
	endpoints.Answered = d.storeAnswered
	endpoints.Confirmed = d.endpointsConfirmed
	d.endpoints = feed.Start(endpoints)
	go d.watchRegistry()
}

func (d *Daemon) followerConfig(name string, changed func(feed.State)) feed.Config {
	return feed.Config{
		Name:       name,
		Source:     d.platform.Source,
		Wait:       feedWait,
		BatchDelay: feedBatchDelay,
		Retry:      feedRetry,
		IdleRetry:  idleRetry,
		Changed:    changed,
		OnNews:     d.sendNews,
		OnRead:     func(r feed.FullRead) { d.tableRead(name, r) },
		Now:        d.now,
		Idle:       true,
		Lost: func(err error) {
			d.logger.Warn("dependency_lost", "dependency", "store", "table", name, "why", err)
			d.notifyRegistry(name, func(l *registry.List) { l.StoreLost() })
		},
		Regained: func() {
			d.logger.Event("dependency_regained", "dependency", "store", "table", name)
			d.notifyRegistry(name, func(l *registry.List) { l.StoreBack(d.now()) })
		},
		Rand: d.newRand(),
	}
}

// tableRead logs a full read of a table. If the store has come back from an older copy
// since the last one, or at any time before the first one, a key that the newest
// configuration has revoked may be in the store's again. Calls that wait for changes of other
// tables may wait in vain.
func (d *Daemon) tableRead(name string, r feed.FullRead) {
	d.fullReads.Add(name, 1)
	d.logger.Event("table_read", "table", name, "position", table.FormatVersion(r.Position), "known", table.FormatVersion(r.Known),
		"history_gone", r.HistoryGone, "dropped", r.Older)
	if table.Era(r.Position) <= table.Era(r.Known) {
		return
	}
	d.freshness.hold(d.now() + uptime.ReturnGrace)
	if r.Known == 0 {
		return
	}
	for _, other := range d.followers() {
		if other.Name() != name {
			other.PollNow()
		}
	}
}

// outdated reports whether a table's state is older than the one in force, and
// otherwise records its version; the lock must be held. States of one follower may
// arrive out of order.
func (k *tableCache) outdated(s feed.State) bool {
	if s.Version < k.versions[s.Name] {
		return true
	}
	k.versions[s.Name] = s.Version
	return false
}

// badRow logs a row that cannot be decoded, once for each version, and reports
// whether it logged it; the lock must be held.
func (d *Daemon) badRow(name string, version uint64, err error) bool {
	bad := d.tables.badRows
	if bad[name] == version {
		return false
	}
	if len(bad) >= maxBadRows {
		clear(bad)
	}
	bad[name] = version
	d.logger.Error("store_row_unreadable", "row", name, "version", table.FormatVersion(version), "why", err)
	return true
}

// maxBadRows bounds the remembered rows that could not be decoded, since anyone may
// write such rows. When it is reached, all are forgotten and logged again.
const maxBadRows = 4096

// every calls do at a fixed interval until the daemon ends.
func (d *Daemon) every(pause time.Duration, do func()) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// sleep waits for pause. It returns false if the daemon ends first.
func (d *Daemon) sleep(pause time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// publish builds a new view of the tables and passes it to the components that use
// it; the lock must be held.
func (d *Daemon) publish() {
	k := d.tables
	entries := withMatchingRole(k.routes, k.list.All())
	byName := make(map[id.Endpoint]registry.Endpoint, len(entries))
	for _, e := range entries {
		byName[e.Name] = e
	}
	old := k.view.Swap(&forward.View{
		Routes:    k.routes,
		Endpoints: byName,
		Registry:  k.versions[d.platform.Adapter.Tables().Endpoints],
		Lapsed:    k.list.Lapsed(),
	})
	d.logRegistryChanges(old.Endpoints, byName)
	d.closeGoneConnections(old.Endpoints, byName)
	d.forwarder.Configure(entries)
	d.origins.Observe(listedVersions(entries))
	if f := d.fleet.Load(); f != nil {
		d.setDocument(f, old.Routes, entries)
		if old.Routes != k.routes {
			f.quotas.SetKey(keeperKey(k.routes))
		}
	}
	d.inspectConflicts()
}

// revision grows with each change of the followed tables that the daemon has seen; 0
// until it has a configuration. It is the sum of the tables' versions, so that a
// daemon that has missed a change of one table has a lower revision than the others,
// whatever it has seen of the other table.
func (d *Daemon) revision() uint64 {
	if d.tables.current().Routes == nil {
		return 0
	}
	return d.configs.Version() + d.endpoints.Version()
}

// tableStates returns the states of the followed tables, for a daemon that the store
// does not answer.
func (d *Daemon) tableStates() []feed.State {
	var out []feed.State
	for _, f := range []*feed.Follower{d.configs, d.endpoints} {
		if s, ok := f.State(); ok {
			out = append(out, s)
		}
	}
	return out
}

// adopt applies table states from another daemon, and reports whether any was newer.
func (d *Daemon) adopt(states []feed.State) bool {
	adopted := false
	for _, s := range states {
		if f := d.follower(s.Name); f != nil {
			adopted = f.Adopt(s) || adopted
		}
	}
	return adopted
}
