package gateway

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/forward"
)

const (
	// feedWait is how long one call waits for changes: a connection to the
	// store that has gone silent is noticed after that and a little more.
	feedWait = 3500 * time.Millisecond
	// endpointsWait is that for the endpoints: where connections of all those that
	// read for others have gone silent, others take their place, and learn what has
	// left, within the two seconds in which it must get no more.
	endpointsWait = 600 * time.Millisecond
	// feedGather is the pause after changes: much less than the two seconds in
	// which a change must be in force.
	feedGather = 350 * time.Millisecond
	// feedRetry bounds the pause after a failed call to the store.
	feedRetry = 400 * time.Millisecond
	// idleRetry takes its place for a daemon that others tell of the changes: where
	// the store refuses many daemons, their calls would be most of all.
	idleRetry = 2 * time.Second
	// registryLook is how often lapsed entries of the registry are looked at.
	registryCheckInterval = 400 * time.Millisecond
)

// knowledge is what the daemon has learnt from the store's tables.
type tableCache struct {
	view atomic.Pointer[forward.View]
	// mu guards what the view is made of.
	mu       sync.Mutex
	list     *registry.List
	routes   *route.Table
	versions map[string]uint64
	// entries are the rows of the table of endpoints as they were read.
	entries entryCache
	// badRows are the versions of rows that could not be read, so that each is
	// logged once.
	badRows map[string]uint64
}

func newTableCache() *tableCache {
	k := &tableCache{
		list:     registry.New(),
		versions: map[string]uint64{},
		badRows:  map[string]uint64{},
	}
	k.view.Store(&forward.View{})
	return k
}

func (k *tableCache) current() *forward.View { return k.view.Load() }

// follow starts to follow the store's tables.
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
		Name:      name,
		Source:    d.platform.Source,
		Wait:      feedWait,
		Gather:    feedGather,
		Retry:     feedRetry,
		IdleRetry: idleRetry,
		Changed:   changed,
		Learnt:    d.sendNews,
		Now:       d.now,
		Idle:      true,
		Lost: func(err error) {
			d.logger.Warn("dependency_lost", "dependency", "store", "table", name, "why", err)
			d.notifyRegistry(name, func(l *registry.List) { l.StoreLost() })
		},
		Back: func() {
			d.logger.Event("dependency_regained", "dependency", "store", "table", name)
			d.notifyRegistry(name, func(l *registry.List) { l.StoreBack(d.now()) })
		},
		Rand: d.newRand(),
	}
}

// tellRegistry tells the list of endpoints what became of the store, if the
// table is that of the endpoints.
func (d *Daemon) notifyRegistry(name string, tell func(l *registry.List)) {
	if name != d.platform.Adapter.Tables().Endpoints {
		return
	}
	d.withRegistry(tell)
}

// withRegistry does something with the list of endpoints, under its lock.
func (d *Daemon) withRegistry(do func(l *registry.List)) {
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	do(d.tables.list)
}

// outdated says whether a table's state is older than what is in force; the
// lock is held. States of one follower may arrive in another order.
func (k *tableCache) outdated(s feed.State) bool {
	if s.Version < k.versions[s.Name] {
		return true
	}
	k.versions[s.Name] = s.Version
	return false
}

// configChanged puts a newer configuration in force. One that can't be read
// leaves the last good one.
func (d *Daemon) configChanged(s feed.State) {
	k := d.tables
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.outdated(s) {
		return
	}
	config, ok, err := d.platform.Adapter.Config(s.Rows)
	if err != nil {
		d.badRow(s.Name, s.Version, err)
		return
	}
	if !ok || (k.routes != nil && config.Version <= k.routes.Config().Version) {
		return
	}
	routes, err := route.NewTable(config)
	if err != nil {
		d.badRow(s.Name, s.Version, err)
		return
	}
	k.routes = routes
	d.freshness.setVersion(config.Version)
	d.logger.Event("config_in_force", "version", config.Version, "row", s.Version,
		"routes", len(config.Routes), "services", len(config.Services), "teams", len(config.Teams))
	d.publish()
}

// badRow logs a row that can't be read, once a version, which it tells; the
// lock is held.
func (d *Daemon) badRow(name string, version uint64, err error) bool {
	bad := d.tables.badRows
	if bad[name] == version {
		return false
	}
	if len(bad) >= maxBadRows {
		clear(bad)
	}
	bad[name] = version
	d.logger.Error("store_row_unreadable", "row", name, "version", version, "why", err)
	return true
}

// mostBadRows bounds the unreadable rows that are remembered: anybody may write
// some. Beyond it they are logged anew.
const maxBadRows = 4096

// endpointsChanged takes the registered endpoints.
func (d *Daemon) endpointsChanged(s feed.State) {
	k := d.tables
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.outdated(s) {
		return
	}
	entries := make([]registry.Endpoint, 0, len(s.Rows))
	var unreadable []id.Instance
	for _, e := range k.entries.update(s.Rows, d.platform.Adapter.Endpoint) {
		if e.err != nil {
			d.badEntry(e.row, e.err)
			unreadable = append(unreadable, id.Instance(e.row.Key))
			continue
		}
		entries = append(entries, e.endpoint)
	}
	k.list.Set(d.now(), s.Position, entries, unreadable...)
	d.publish()
}

// badEntry notes an entry that names no endpoint to use; the lock is held.
func (d *Daemon) badEntry(row table.Row, err error) {
	var why *EntryError
	if d.badRow(row.Key, row.Version, err) && errors.As(err, &why) {
		d.unusable.Add(string(why.Reason), 1)
	}
}

// watchRegistry drops lapsed entries when their time is over, and asks the store
// and others for what it takes to tell.
func (d *Daemon) watchRegistry() {
	d.every(registryCheckInterval, func() {
		if d.tables.current().Lapsed == 0 {
			return
		}
		upTo, ask, due := d.settleRegistry()
		if due {
			d.endpoints.Poll()
		}
		if ask {
			d.queryUptime(upTo)
		}
	})
}

// settleRegistry drops lapsed entries when their time is over. It says whether
// others are to be asked when the store answered, and up to which of its
// versions, and whether the store's next answer may tell.
func (d *Daemon) settleRegistry() (upTo uint64, ask, due bool) {
	k, now, pause := d.tables, d.now(), d.uptimeQueryInterval()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.list.Settle() {
		d.publish()
	}
	upTo, ask = k.list.Ask(now, pause)
	return upTo, ask, k.list.Due(now)
}

// every does something again and again until the daemon ends.
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

// sleep returns false if the daemon ends meanwhile.
func (d *Daemon) sleep(pause time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// publish makes a new view of what is known and tells the duties; the lock is
// held.
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
	if f := d.fleet.Load(); f != nil {
		f.broker.SetDocument(document(k.routes, entries))
		if old.Routes != k.routes {
			f.quotas.SetKey(keeperKey(k.routes))
		}
	}
	d.inspectDisputed()
}

// fitting leaves out the endpoints whose entry has no role though their service
// consists of engines, or has one though it does not.
func withMatchingRole(routes *route.Table, entries []registry.Endpoint) []registry.Endpoint {
	if routes == nil {
		return entries
	}
	return slices.DeleteFunc(entries, func(e registry.Endpoint) bool {
		s := routes.Service(e.Service)
		return s != nil && (s.Engine != nil) != (e.Role != "")
	})
}

// forgetGone closes the kept connections to endpoints that are gone: the next
// process at their address has others.
func (d *Daemon) closeGoneConnections(old, now map[id.Endpoint]registry.Endpoint) {
	for name, e := range old {
		if _, still := now[name]; !still {
			d.platform.Inspector.Forget(e.Address)
		}
	}
}

// logRegistry writes a line for each endpoint that came, went or changed.
func (d *Daemon) logRegistryChanges(old, now map[id.Endpoint]registry.Endpoint) {
	if maps.Equal(old, now) {
		return
	}
	for name, e := range now {
		if before, known := old[name]; !known || before != e {
			d.logger.Event("endpoint_changed", "endpoint", name, "service", e.Service, "address", e.Address,
				"role", e.Role, "leaving", e.Leaving, "unlisted", e.Unlisted(), "known", known)
		}
	}
	for name, e := range old {
		if _, still := now[name]; !still {
			d.logger.Event("endpoint_gone", "endpoint", name, "service", e.Service, "address", e.Address,
				"unlisted_for", d.unlistedFor(e))
		}
	}
}

// unlistedFor is how long an endpoint was kept though the store no longer listed it.
func (d *Daemon) unlistedFor(e registry.Endpoint) time.Duration {
	if !e.Unlisted() {
		return 0
	}
	return d.now() - e.UnlistedSince
}

// revision grows with each change of the followed tables that the daemon knows;
// 0 until it can serve. It is a sum, so that a daemon that has missed a change
// of one table is behind the others whatever it knows of the other one.
func (d *Daemon) revision() uint64 {
	if d.tables.current().Routes == nil {
		return 0
	}
	return d.configs.Version() + d.endpoints.Version()
}

// tableStates is what the daemon knows of the followed tables, for a daemon
// that the store does not serve.
func (d *Daemon) tableStates() []feed.State {
	var out []feed.State
	for _, f := range []*feed.Follower{d.configs, d.endpoints} {
		if s, ok := f.State(); ok {
			out = append(out, s)
		}
	}
	return out
}

// adopt takes what another daemon knows.
func (d *Daemon) adopt(states []feed.State) bool {
	adopted := false
	for _, s := range states {
		if f := d.follower(s.Name); f != nil {
			adopted = f.Adopt(s) || adopted
		}
	}
	return adopted
}
