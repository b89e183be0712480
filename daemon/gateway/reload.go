package gateway

// Reload reads the settings file again after a change was announced, and logs the
// result. It applies no change: the listeners and the daemon's identity cannot change
// while it runs. Such changes, and a file with errors, are logged and left for the
// next start.
func (d *Daemon) Reload(path string) {
	set, faults := Load(path)
	if len(faults) > 0 {
		d.logger.Error("settings_not_reloaded", "path", path, "why", faults.Error())
		return
	}
	same := set.Daemon == d.set.Daemon && set.Domain == d.set.Domain && set.Listen == d.set.Listen && set.Store == d.set.Store
	d.logger.Event("settings_reloaded", "path", path, "applies_at_next_start", !same || set.Bounds != d.set.Bounds)
}
