package gateway

// Reload reads the settings file again after a change was announced. It applies changed
// scheduling switches and logs the result. The listeners and the daemon's identity cannot
// change while it runs: such changes, and a file with errors, are logged and left for the
// next start.
func (d *Daemon) Reload(path string) {
	set, faults := Load(path)
	if len(faults) > 0 {
		d.logger.Error("settings_not_reloaded", "path", path, "why", faults.Error())
		return
	}
	same := set.Daemon == d.set.Daemon && set.Domain == d.set.Domain && set.Listen == d.set.Listen && set.Store == d.set.Store
	d.logger.Event("settings_reloaded", "path", path, "applies_at_next_start", !same || set.Bounds != d.set.Bounds)
	d.setScheduling(set.Scheduling)
}

// setScheduling puts scheduling switches in force. Requests under way end as they began. The
// schedulers of plain services are created or dropped; those of engines take the switches
// over when a daemon next becomes the owner of their pool.
func (d *Daemon) setScheduling(now Scheduling) {
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	before := *d.scheduling.Load()
	if before == now {
		return
	}
	d.logger.Event("scheduling_changed", "call_queue", now.CallQueue, "learned_limits", now.LearnedLimits,
		"forecast_refusal", now.ForecastRefusal, "urgent_reserve", now.UrgentReserve, "avoid_lossy", now.AvoidLossy,
		"engines_at_next_owner", before.ForecastRefusal != now.ForecastRefusal || before.UrgentReserve != now.UrgentReserve || before.AvoidLossy != now.AvoidLossy)
	callsDiffer := before.LearnedLimits != now.LearnedLimits || before.AvoidLossy != now.AvoidLossy
	if callsDiffer && before.CallQueue && now.CallQueue {
		// Without their pools, the schedulers that were created with the former switches end.
		d.scheduling.Store(&Scheduling{})
		d.publish()
	}
	d.scheduling.Store(&now)
	d.publish()
}
