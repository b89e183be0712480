package gateway

import (
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

// configChanged puts a newer configuration in force. If it is invalid, the previous
// one stays in force.
func (d *Daemon) configChanged(s feed.State) {
	k := d.tables
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.outdated(s) {
		d.considerConfig(s)
	}
}

// considerConfig puts the configuration of a state in force if it is newer, and if a daemon
// that has just started need not wait for its peers; the lock must be held.
func (d *Daemon) considerConfig(s feed.State) {
	k := d.tables
	config, ok, err := d.platform.Adapter.Config(s.Rows)
	if err != nil {
		d.badRow(s.Name, s.Version, err)
		return
	}
	if !ok || config.Version <= k.configVersion() {
		return
	}
	if k.routes == nil && table.Era(s.Version) > 0 && !k.start.MayUse(d.now(), config.Version) {
		if k.hold(s, config.Version) {
			d.logger.Event("config_held", "version", config.Version, "row", table.FormatVersion(s.Version))
			go d.awaitPeers()
		}
		return
	}
	routes, err := route.NewTable(config)
	if err != nil {
		d.badRow(s.Name, s.Version, err)
		return
	}
	k.routes, k.inForce = routes, s.Rows
	d.freshness.setVersion(config.Version)
	d.logger.Event("config_in_force", "version", config.Version, "row", table.FormatVersion(s.Version),
		"routes", len(config.Routes), "services", len(config.Services), "teams", len(config.Teams))
	d.publish()
}
