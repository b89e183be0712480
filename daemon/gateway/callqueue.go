package gateway

import (
	"slices"

	"github.com/samphirequay/samphirequay/core/pairing"
)

// callQueue reports whether the owners of pools queue the calls of plain services.
func (d *Daemon) callQueue() bool { return d.scheduling.Load().CallQueue }

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
