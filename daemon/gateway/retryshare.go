package gateway

// retrySharers returns among how many daemons the slack of the retry limit is divided. It
// is 0, which stands for no slack, until this daemon has enrolled and knows the others:
// a daemon that counted itself alone would use all of it.
func (d *Daemon) retrySharers() int {
	f := d.fleet.Load()
	if f == nil || !f.knowsListed() {
		return 0
	}
	return f.count().Daemons
}

// knowsListed reports whether the membership contains all daemons that the store lists.
func (f *fleet) knowsListed() bool {
	listed := int(f.listed.Load())
	return listed > 0 && len(f.members.Entries()) >= listed
}
