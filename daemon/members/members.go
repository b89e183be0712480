// Package members is the duty that keeps the membership: it drives
// core/member, sends its messages as datagrams, reads the platform's host list
// and tells the other duties who lives.
package members

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/endpoint/client"
)

const (
	// hostListEvery is the mean pause between reads of the host list.
	hostListInterval = 2 * time.Second
	// stateLeaving is the host list's word for a host that leaves.
	stateLeaving = "leaving"
)

// Sender sends a membership message without guarantee.
type Sender interface {
	SendMember(to id.Daemon, address string, m *member.Message)
}

// Listener is told of changes, within the duty; it must not block.
type Listener interface {
	// Live is called with the daemons that take part, sorted, this one among
	// them, whenever they change.
	Live(daemons []id.Daemon)
	// Gone is called when a process is taken as ended.
	Gone(p id.Process)
	// Forgotten is called with a daemon that the membership no longer keeps.
	Forgotten(d id.Daemon)
	// PeerRevision is called with the configuration revision that a peer tells.
	PeerRevision(d id.Daemon, revision uint64)
	// StopActing is called when this daemon may have been declared dead. When
	// it returns, nothing acts any longer on what the daemon held before.
	StopActing(superseded bool)
}

// Config is what the duty works with.
type Config struct {
	Core     member.Config
	Self     member.Entry
	Seeds    []member.Host
	Hosts    *client.Hosts
	Sender   Sender
	Listener Listener
	Metrics  *metrics.Registry
	// Local gives what the daemon tells of itself.
	Local func() member.Local
	// Log takes one line an event.
	Log  func(event string, kv ...any)
	Now  func() time.Duration
	Rand *rand.Rand
	// Behind, if set, is told how long work waits for the duty.
	Behind func(late time.Duration)
	// Ready holds the duty back until it is closed.
	Ready <-chan struct{}
}

// Members is the running duty.
type Members struct {
	cfg  Config
	duty *duty.Duty
	core *member.Membership
	live []id.Daemon
	// revisions are those that were last told on.
	reportedRevisions map[id.Daemon]uint64
	// snapshot is the view for readers outside the duty.
	snapshot atomic.Pointer[view]
	changes  *metrics.CounterMap
	stalls   *metrics.Counter
}

// view is an immutable copy of the membership.
type view struct {
	entries  []member.Entry
	byDaemon map[id.Daemon]member.Entry
	large    bool
}

// Start starts the duty.
func Start(cfg Config) *Members {
	m := &Members{
		cfg:               cfg,
		core:              member.New(cfg.Core, cfg.Self, cfg.Now(), cfg.Rand),
		reportedRevisions: make(map[id.Daemon]uint64),
		changes:           cfg.Metrics.CounterMap("member_changes", metrics.UnitCount, "changes of daemons' states, by new state"),
		stalls:            cfg.Metrics.Counter("member_stalls", metrics.UnitCount, "times that this daemon was not run for a while"),
	}
	m.publish()
	m.duty = duty.Start(duty.Config{Name: "members", Now: cfg.Now, Tick: m.tick, Behind: cfg.Behind, Metrics: cfg.Metrics, Ready: cfg.Ready})
	m.SetHosts(cfg.Seeds)
	if cfg.Hosts != nil {
		go m.readHosts()
	}
	return m
}

// Close ends the duty.
func (m *Members) Close() { m.duty.Close() }

// Receive takes a message from another daemon.
func (m *Members) Receive(msg member.Message) {
	m.duty.Post(func(now time.Duration) {
		m.perform(m.core.Receive(now, msg))
		m.notifyRevision(msg.From)
	})
}

// Leave tells the others that this daemon stops soon.
func (m *Members) Leave() {
	m.duty.Post(func(now time.Duration) { m.perform(m.core.Leave(now)) })
}

// SetHosts takes a host list that was read elsewhere.
func (m *Members) SetHosts(hosts []member.Host) {
	m.duty.Post(func(now time.Duration) { m.perform(m.core.Hosts(now, hosts)) })
}

// Entries returns the view, this daemon first.
func (m *Members) Entries() []member.Entry { return m.snapshot.Load().entries }

// Others lists the other daemons that are not dead.
func (m *Members) Others() []id.Daemon {
	var out []id.Daemon
	for _, e := range m.Entries() {
		if e.Process.Daemon != m.cfg.Self.Process.Daemon && e.State != member.Dead {
			out = append(out, e.Process.Daemon)
		}
	}
	return out
}

// Address is where a daemon is reached; empty if that is not known.
func (m *Members) Address(d id.Daemon) string { return m.snapshot.Load().byDaemon[d].Address }

// Large says whether the fleet is so large that daemons exchange heartbeats with
// their neighbours only, and are not connected to all others.
func (m *Members) Large() bool { return m.snapshot.Load().large }

// Alive says whether a process may still act: it is not known to have ended.
func (m *Members) Alive(p id.Process) bool {
	e, ok := m.snapshot.Load().byDaemon[p.Daemon]
	if !ok {
		return false
	}
	return e.Process.Incarnation == p.Incarnation && e.State != member.Dead
}

// Known says whether the membership has heard of a daemon.
func (m *Members) Known(d id.Daemon) bool {
	_, ok := m.snapshot.Load().byDaemon[d]
	return ok
}

func (m *Members) tick(now time.Duration) time.Duration {
	due := now >= m.core.Next()
	m.core.SetLocal(m.cfg.Local())
	m.perform(m.core.Tick(now))
	if due {
		// Not at each look of the duty: copying the view of a large fleet costs
		// more than all its messages. Changes are published as they come.
		m.publish()
		m.notifyLive()
	}
	return m.core.Next()
}

func (m *Members) perform(actions []member.Action) {
	changed := false
	for _, a := range actions {
		m.performOne(a)
		changed = changed || a.Changed != nil || a.DeclaredDead != nil
	}
	if changed {
		// Not at each message: a look at the whole view costs more than the message.
		m.notifyLive()
	}
}

func (m *Members) performOne(a member.Action) {
	switch {
	case a.Send != nil:
		m.cfg.Sender.SendMember(a.Send.To, a.Send.Address, &a.Send.Message)
	case a.Changed != nil:
		m.changed(a.Changed)
	case a.Stalled != nil:
		m.stalls.Inc()
		m.cfg.Log("member_stalled", "late", a.Stalled.Late)
	case a.Isolated != nil:
		m.cfg.Log("member_isolated", "isolated", a.Isolated.Now, "silent", a.Isolated.Silent, "known", a.Isolated.Known)
	case a.DeclaredDead != nil:
		m.declaredDead(a.DeclaredDead)
	}
}

func (m *Members) changed(c *member.Changed) {
	m.changes.Add(c.To.String(), 1)
	m.cfg.Log("member_changed", "peer", c.Process.Daemon, "incarnation", c.Process.Incarnation,
		"domain", c.Domain, "from", c.From, "to", c.To, "why", c.Reason)
	m.publish()
	if c.To == member.Dead {
		// When it comes back, its revision is news, also an unchanged one.
		delete(m.reportedRevisions, c.Process.Daemon)
		m.cfg.Listener.Gone(c.Process)
	}
}

func (m *Members) declaredDead(d *member.DeclaredDead) {
	m.cfg.Log("member_declared_dead", "by", d.By, "superseded", d.Superseded)
	m.cfg.Listener.StopActing(d.Superseded)
	if !d.Superseded {
		m.duty.PostLater(func(now time.Duration) { m.perform(m.core.Resume(now)) })
	}
}

func (m *Members) publish() {
	entries := m.core.View()
	v := &view{entries: entries, byDaemon: make(map[id.Daemon]member.Entry, len(entries)), large: m.core.Large()}
	for _, e := range entries {
		v.byDaemon[e.Process.Daemon] = e
	}
	old := m.snapshot.Swap(v)
	if old != nil {
		m.notifyForgotten(old, v)
	}
}

// tellForgotten tells the listener of daemons that are no longer kept.
func (m *Members) notifyForgotten(old, now *view) {
	for _, e := range old.entries {
		d := e.Process.Daemon
		if _, kept := now.byDaemon[d]; !kept {
			delete(m.reportedRevisions, d)
			m.cfg.Listener.Forgotten(d)
		}
	}
}

// tellLive tells the listener when the daemons that take part have changed.
func (m *Members) notifyLive() {
	live := m.core.Ready()
	if slices.Equal(live, m.live) {
		return
	}
	m.live = live
	m.publish()
	m.cfg.Listener.Live(live)
}

func (m *Members) notifyRevision(e member.Entry) {
	d := e.Process.Daemon
	if m.reportedRevisions[d] == e.Revision {
		return
	}
	m.reportedRevisions[d] = e.Revision
	m.cfg.Listener.PeerRevision(d, e.Revision)
}

// readHosts reads the platform's host list again and again, with jitter so
// that the fleet does not ask at once.
func (m *Members) readHosts() {
	ctx := m.duty.Context()
	rng := rand.New(rand.NewPCG(uint64(m.cfg.Self.Process.Incarnation), 1))
	for {
		m.readHostsOnce(ctx)
		pause := hostListInterval/2 + time.Duration(rng.Int64N(int64(hostListInterval)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (m *Members) readHostsOnce(ctx context.Context) {
	call, cancel := endpoints.Short(ctx)
	defer cancel()
	list, err := m.cfg.Hosts.List(call)
	if err != nil {
		return
	}
	hosts := make([]member.Host, 0, len(list.Hosts))
	for _, h := range list.Hosts {
		hosts = append(hosts, member.Host{
			Name:    id.Daemon(h.Name),
			Domain:  id.Domain(h.Domain),
			Address: h.Address,
			Leaving: h.State == stateLeaving,
		})
	}
	m.SetHosts(hosts)
}
