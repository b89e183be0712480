package fleet

import (
	"context"
	"io"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/app"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/settings"
)

// anyPort requests a free port of the loopback interface. Ports are assigned by
// binding and never searched for in advance, so that several fleets may start at the
// same time.
const anyPort = "127.0.0.1:0"

// member is one member of the fleet with its daemon, which is nil while none runs.
type member struct {
	name   id.Daemon
	domain id.Domain
	daemon *app.Daemon
	// addresses are the addresses for callers and operators of the member's current
	// and former daemons.
	addresses []*address
}

// reserveAddresses reserves addresses for the member's next daemon and returns its
// listen settings.
func (m *member) reserveAddresses() (settings.Listen, error) {
	l := settings.Listen{Peers: anyPort, Debug: anyPort}
	for _, at := range []*string{&l.Callers, &l.Operators} {
		a, err := reserveAddress()
		if err != nil {
			return l, eris.Wrapf(err, "daemon %s", m.name)
		}
		m.addresses = append(m.addresses, a)
		*at = a.String()
	}
	return l, nil
}

// release frees the member's addresses.
func (m *member) release() {
	for _, a := range m.addresses {
		a.release()
	}
	m.addresses = nil
}

// startMember starts the daemon of a member. Its seed peers are the running daemons;
// daemons that start later have it among their own seed peers.
func (f *Fleet) startMember(m *member) error {
	s := f.settings(m)
	var err error
	if s.Listen, err = m.reserveAddresses(); err != nil {
		return err
	}
	if f.config.AdjustSettings != nil {
		f.config.AdjustSettings(s)
	}
	material, err := f.ca.Peer(m.name)
	if err != nil {
		return eris.Wrapf(err, "daemon %s", m.name)
	}
	log := f.config.Log
	if log == nil {
		log = io.Discard
	}
	daemon, err := app.New(s, app.Options{PeerKeys: keys.FromMaterial(material), Log: log})
	if err != nil {
		return eris.Wrapf(err, "daemon %s", m.name)
	}
	if err := daemon.Start(); err != nil {
		return eris.Wrapf(err, "daemon %s", m.name)
	}
	f.mu.Lock()
	m.daemon = daemon
	f.mu.Unlock()
	return nil
}

// settings returns the start-up settings of a member's daemon.
func (f *Fleet) settings(m *member) *settings.Settings {
	s := settings.Defaults()
	s.Daemon = m.name
	s.Domain = m.domain
	for _, other := range f.hosts() {
		s.SeedPeers = append(s.SeedPeers, settings.Peer{Name: id.Daemon(other.Name), Address: other.Address})
	}
	s.InsecureCallers = true
	s.ResumeKeys = []settings.ResumeKey{{ID: 1, SecretHex: f.secret}}
	s.OperatorKeyHashes = []string{keys.Hash(operatorKey)}
	at := f.Platform().Addresses()
	s.Platform = settings.Platform{Table: at.Table, Objects: at.Objects, Hosts: at.Hosts, Weights: at.Weights}
	if f.config.Policy != "" {
		s.Policy = f.config.Policy
	}
	s.Timings.EntryLifetimeMS = entryLifetimeMS
	s.Timings.DrainMS = drainTimeMS
	return s
}

// Daemon returns the daemon of member i, or nil if none runs.
func (f *Fleet) Daemon(i int) *app.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[i].daemon
}

// detachDaemon removes the daemon from member i and returns it.
func (f *Fleet) detachDaemon(i int) *app.Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	daemon := f.members[i].daemon
	f.members[i].daemon = nil
	return daemon
}

// Kill ends the daemon of member i abruptly, like a process that is killed.
func (f *Fleet) Kill(i int) {
	if daemon := f.detachDaemon(i); daemon != nil {
		daemon.Kill()
	}
}

// Stop ends the daemon of member i by a planned stop.
func (f *Fleet) Stop(ctx context.Context, i int) error {
	daemon := f.detachDaemon(i)
	if daemon == nil {
		return eris.Errorf("member %d has no running daemon", i)
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return daemon.Stop(ctx)
}

// Replace starts a new daemon of member i with the same name on new sockets, after
// the former one was killed or stopped, and updates the host list.
func (f *Fleet) Replace(i int) error {
	f.mu.Lock()
	m := f.members[i]
	taken := m.daemon != nil
	f.mu.Unlock()
	if taken {
		return eris.Errorf("member %d has a running daemon already", i)
	}
	if err := f.startMember(m); err != nil {
		return err
	}
	f.Platform().Hosts.Set(f.hosts())
	return nil
}
