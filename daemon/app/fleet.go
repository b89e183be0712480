package app

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/logline"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// fleetListener passes changes of the membership on to the other components.
type fleetListener struct{ d *Daemon }

// Live implements members.Listener. A leaving daemon is not in the list but still
// serves its callers, so it uses itself if no other daemon is left.
func (l fleetListener) Live(daemons []id.Daemon) {
	if len(daemons) == 0 {
		daemons = []id.Daemon{l.d.self.Daemon}
	}
	l.d.broker.SetMembers(daemons)
	l.d.quotas.SetMembers(daemons)
	l.d.claims.SetMembers(daemons)
	for _, e := range l.d.members.Entries() {
		if e.State != member.Dead {
			l.d.cancels.ProcessAlive(e.Process)
		}
	}
}

// Joined implements members.Listener.
func (l fleetListener) Joined(id.Daemon) {}

// Gone implements members.Listener.
func (l fleetListener) Gone(p id.Process) {
	l.d.cancels.ProcessGone(p)
	l.d.configs.PeerGone(p.Daemon)
	time.AfterFunc(deadDaemonGrace, func() { l.d.broker.ProcessGone(p) })
}

// Forgotten implements members.Listener. It removes the daemon from the transport.
func (l fleetListener) Forgotten(d id.Daemon) { l.d.transport.RemovePeer(d) }

// deadDaemonGrace is how long a dead daemon's slots stay reserved, since its
// callers may resume their requests through another daemon.
const deadDaemonGrace = 2 * time.Second

// PeerRevision implements members.Listener.
func (l fleetListener) PeerRevision(d id.Daemon, revision uint64) {
	l.d.configs.PeerRevision(d, revision)
}

// StopActing implements members.Listener. A daemon that a newer incarnation has
// superseded ends itself.
func (l fleetListener) StopActing(superseded bool) {
	l.d.placer.Halt()
	if superseded {
		l.d.logger.Error("daemon_superseded", "incarnation", l.d.self.Incarnation)
		go l.d.Kill()
	}
}

// processAlive reports whether a process may still act on its claims.
func (d *Daemon) processAlive(p id.Process) bool { return p == d.self || d.members.Alive(p) }

// memberLocal returns what the membership announces about this daemon.
func (d *Daemon) memberLocal() member.LocalStatus {
	return member.LocalStatus{Revision: d.Revision(), InFlight: d.inFlight()}
}

func (d *Daemon) inFlight() int { return d.front.InFlight() }

// applyConfig applies a newer configuration.
func (d *Daemon) applyConfig(x *live.Index, _ uint64) {
	doc := x.Document()
	d.broker.SetDocument(doc)
	d.placer.SetIndex(x)
	d.endpoints.Prune(doc)
}

// candidates converts the members into candidates for the entry answer.
func (d *Daemon) candidates() []entry.Candidate {
	view := d.members.Entries()
	out := make([]entry.Candidate, len(view))
	for i, e := range view {
		out[i] = entry.Candidate{
			Daemon:   e.Process.Daemon,
			Domain:   e.Domain,
			Address:  e.CallerAddress,
			State:    e.State,
			InFlight: e.InFlight,
		}
	}
	return out
}

// entryAnswer returns the addresses that a caller should use. It records whether
// the answer names this daemon, for a planned stop.
func (d *Daemon) entryAnswer() opapi.EntryAnswer {
	cfg := entry.DefaultConfig()
	cfg.Lifetime = d.settings.Timings.EntryLifetimeMS.Duration()
	cfg.MinLifetime = min(cfg.MinLifetime, cfg.Lifetime)
	d.entryMu.Lock()
	answer := entry.NewAnswer(cfg, d.candidates(), d.self.Daemon, d.entryRand)
	d.entryMu.Unlock()
	out := opapi.EntryAnswer{LifetimeMS: int(answer.Lifetime.Milliseconds()), Addresses: []opapi.EntryAddress{}}
	for _, a := range answer.Addresses {
		out.Addresses = append(out.Addresses, opapi.EntryAddress{Address: a.Address, Domain: a.Domain, Weight: a.Weight})
	}
	d.recordNamed(answer)
	return out
}

// recordNamed records for a planned stop that an answer still named this daemon.
func (d *Daemon) recordNamed(a entry.Answer) {
	s := d.stopping.Load()
	if s == nil {
		return
	}
	named := slices.ContainsFunc(a.Addresses, func(x entry.Address) bool { return x.Daemon == d.self.Daemon })
	if named {
		s.RecordNamed(d.now())
	}
}

// ready reports whether the daemon accepts requests, and the reason if not.
func (d *Daemon) ready() (bool, string) {
	switch {
	case d.stopping.Load() != nil:
		return false, "leaving"
	case !d.configs.Ready():
		return false, "no configuration yet"
	}
	if ok, why := d.callersAccepted(); !ok {
		return false, why
	}
	return true, "ready"
}

// recordCaller records for a planned stop that a caller's request still arrived.
func (d *Daemon) recordCaller() {
	if s := d.stopping.Load(); s != nil {
		s.RecordCaller(d.now())
	}
}

// recordPlacement records a decision about an endpoint's placement.
func (d *Daemon) recordPlacement(e id.Endpoint, event string, kv ...any) {
	d.decisions.Decide(logline.SubjectPlacement, string(e), event, kv...)
}

// drain has the pool's owner stop new work on an endpoint, or resume it if on is
// false.
func (d *Daemon) drain(p id.Pool, e id.Endpoint, on bool) {
	d.broker.Drain(p, e, on)
}
