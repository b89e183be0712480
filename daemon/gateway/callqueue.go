package gateway

import (
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
)

// callQueue reports whether the owners of pools queue the calls of plain services.
func (d *Daemon) callQueue() bool { return d.scheduling.Load().CallQueue }

// setDocument passes the schedulers their configuration; the lock of the tables must be held.
// A service that begins or ceases to run on engines gets another scheduler.
func (d *Daemon) setDocument(f *fleet, before *route.Table, entries []registry.Endpoint) {
	doc := document(d.tables.routes, entries, d.callQueue())
	if changed := otherKind(before, d.tables.routes); len(changed) > 0 {
		without := *doc
		without.Pools = slices.DeleteFunc(slices.Clone(doc.Pools), func(p live.Pool) bool { return slices.Contains(changed, p.Name) })
		f.broker.SetDocument(&without)
	}
	f.broker.SetDocument(doc)
}

// otherKind returns the pools of the services that run on engines in one of two
// configurations and not in the other.
func otherKind(before, now *route.Table) []id.Pool {
	if before == nil || now == nil || before == now {
		return nil
	}
	var out []id.Pool
	for _, s := range now.Config().Services {
		if old := before.Service(s.Name); old != nil && (old.Engine == nil) != (s.Engine == nil) {
			out = append(out, id.Pool(s.Name))
		}
	}
	return out
}

// ownsCallPool reports whether this daemon owns the pool of a plain service. The others
// watch it more closely then, as they do the owner of a pool of engines.
func (d *Daemon) ownsCallPool(f *fleet) bool {
	names := callPoolNames(d.tables.current().Routes, d.callQueue())
	return len(names) > 0 && slices.Contains(f.broker.Owners(names), f.self.Daemon)
}

// logOwnerChange logs that the owner of a pool of calls stops or starts answering.
func (d *Daemon) logOwnerChange(c pairing.OwnerChange) {
	event := "call_owner_back"
	if c.Silent {
		event = "call_owner_silent"
	}
	d.logger.Event(event, "owner", c.Owner)
}
