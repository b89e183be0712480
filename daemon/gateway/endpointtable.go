package gateway

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

// notifyRegistry updates the list of endpoints after the store was lost or came
// back, if name is the table of endpoints.
func (d *Daemon) notifyRegistry(name string, update func(l *registry.List)) {
	if name != d.platform.Adapter.Tables().Endpoints {
		return
	}
	d.withRegistry(update)
}

// withRegistry calls do with the list of endpoints, with the lock held.
func (d *Daemon) withRegistry(do func(l *registry.List)) {
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	do(d.tables.list)
}

// endpointsChanged applies a new state of the table of endpoints.
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

// badEntry logs and counts an entry that describes no usable endpoint, once for each
// version; the lock must be held.
func (d *Daemon) badEntry(row table.Row, err error) {
	var why *EntryError
	if d.badRow(row.Key, row.Version, err) && errors.As(err, &why) {
		d.unusable.Add(string(why.Reason), 1)
	}
}

// watchRegistry periodically drops lapsed entries whose time is over, and queries the
// store and other daemons for the information that this decision needs.
func (d *Daemon) watchRegistry() {
	d.every(registryCheckInterval, func() {
		if d.registrySettled() {
			return
		}
		upTo, query, due := d.settleRegistry()
		if due {
			d.endpoints.Poll()
		}
		if query {
			d.queryUptime(upTo)
		}
	})
}

// registrySettled reports whether no entry waits for a decision.
func (d *Daemon) registrySettled() (settled bool) {
	d.withRegistry(func(l *registry.List) { settled = l.Lapsed() == 0 && l.Held() == 0 })
	return settled
}

// settleRegistry drops lapsed entries that are certainly gone, and lists returned ones
// whose endpoints live. query reports whether
// to query other daemons for the store's uptime, up to the store's version upTo; due
// reports whether the next answer of the store may decide about the remaining ones.
func (d *Daemon) settleRegistry() (upTo uint64, query, due bool) {
	k, now, pause := d.tables, d.now(), d.uptimeQueryInterval()
	k.mu.Lock()
	defer k.mu.Unlock()
	released := k.list.ReleaseReturned(now)
	if k.list.DropRemoved() || released {
		d.publish()
	}
	upTo, query = k.list.ShouldQuery(now, pause)
	return upTo, query, k.list.GraceOver(now)
}

// withMatchingRole drops the endpoints that have no role although their service runs
// on engines, and those that have a role although it does not.
func withMatchingRole(routes *route.Table, entries []registry.Endpoint) []registry.Endpoint {
	if routes == nil {
		return entries
	}
	return slices.DeleteFunc(entries, func(e registry.Endpoint) bool {
		s := routes.Service(e.Service)
		return s != nil && (s.Engine != nil) != (e.Role != "")
	})
}

// closeGoneConnections closes the idle connections to endpoints that are gone, since
// another process may get their address.
func (d *Daemon) closeGoneConnections(old, now map[id.Endpoint]registry.Endpoint) {
	for name, e := range old {
		if _, still := now[name]; !still {
			d.platform.Inspector.Forget(e.Address)
		}
	}
}

// logRegistryChanges logs each endpoint that was added, removed or changed.
func (d *Daemon) logRegistryChanges(old, now map[id.Endpoint]registry.Endpoint) {
	if maps.Equal(old, now) {
		return
	}
	for name, e := range now {
		if before, known := old[name]; !known || before != e {
			d.logger.Event("endpoint_changed", "endpoint", name, "service", e.Service, "address", e.Address,
				"role", e.Role, "software", e.Software, "leaving", e.Leaving, "unlisted", e.Unlisted(), "known", known)
		}
	}
	for name, e := range old {
		if _, still := now[name]; !still {
			d.logger.Event("endpoint_gone", "endpoint", name, "service", e.Service, "address", e.Address,
				"unlisted_for", d.unlistedFor(e))
		}
	}
}

// unlistedFor returns how long an endpoint was kept after the store stopped listing it.
func (d *Daemon) unlistedFor(e registry.Endpoint) time.Duration {
	if !e.Unlisted() {
		return 0
	}
	return d.now() - e.UnlistedSince
}
