// Package members runs the membership as a duty: it drives core/member, sends its
// messages as datagrams, reads the platform's host list and reports the alive
// daemons to the other duties.
package members

import (
	"context"
	"math/rand/v2"
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
	// hostListInterval is the mean interval between reads of the host list.
	hostListInterval = 2 * time.Second
	// stateLeaving is the state of a leaving host in the host list.
	stateLeaving = "leaving"
)

// Sender sends membership messages without a delivery guarantee.
type Sender interface {
	SendMember(to id.Daemon, address string, m *member.Message)
}

// Listener is called on changes, on the duty's goroutine. Its methods must not
// block.
type Listener interface {
	// Live is called with the sorted names of the alive daemons that have a
	// configuration, whenever they change. This daemon is among them unless it is
	// leaving, is halted or has no configuration.
	Live(daemons []id.Daemon)
	// Joined is called with a daemon that is heard of for the first time, or again after
	// others may have considered it dead. It has missed what was sent to the others
	// meanwhile.
	Joined(d id.Daemon)
	// Gone is called when a process is considered dead.
	Gone(p id.Process)
	// Forgotten is called with a daemon that was removed from the membership.
	Forgotten(d id.Daemon)
	// PeerRevision is called with the configuration revision that a peer reports.
	PeerRevision(d id.Daemon, revision uint64)
	// StopActing is called when other daemons may have declared this daemon dead.
	// When it returns, nothing acts any longer on what the daemon held before.
	StopActing(superseded bool)
}

// Config configures the duty.
type Config struct {
	Core     member.Config
	Self     member.Entry
	Seeds    []member.Host
	Hosts    *client.Hosts
	Sender   Sender
	Listener Listener
	Metrics  *metrics.Registry
	// Local returns the state that this daemon reports about itself.
	Local func() member.LocalStatus
	// Log writes one line for each event.
	Log  func(event string, kv ...any)
	Now  func() time.Duration
	Rand *rand.Rand
	// OnDelay, if set, is called with the time that work waits in the duty's queue.
	OnDelay func(late time.Duration)
	// Ready delays the duty's start until it is closed.
	Ready <-chan struct{}
}

// Members is the running duty.
type Members struct {
	cfg  Config
	duty *duty.Duty
	core *member.Membership
	live []id.Daemon
	// reportedRevisions holds the revisions last reported to the listener.
	reportedRevisions map[id.Daemon]uint64
	// snapshot is the view for readers on other goroutines.
	snapshot atomic.Pointer[view]
	changes  *metrics.CounterMap
	stalls   *metrics.Counter
}

// Start starts the duty.
func Start(cfg Config) *Members {
	m := &Members{
		cfg:               cfg,
		core:              member.New(cfg.Core, cfg.Self, cfg.Now(), cfg.Rand),
		reportedRevisions: make(map[id.Daemon]uint64),
		changes:           cfg.Metrics.CounterMap("member_changes", metrics.UnitCount, "changes of daemons' states, by new state"),
		stalls:            cfg.Metrics.Counter("member_stalls", metrics.UnitCount, "times that this daemon's process got no processor time for a while"),
	}
	m.publish()
	m.duty = duty.Start(duty.Config{Name: "members", Now: cfg.Now, Tick: m.tick, OnDelay: cfg.OnDelay, Metrics: cfg.Metrics, Ready: cfg.Ready})
	m.SetHosts(cfg.Seeds)
	if cfg.Hosts != nil {
		go m.readHosts()
	}
	return m
}

// Close stops the duty.
func (m *Members) Close() { m.duty.Close() }

// Receive handles a message from another daemon.
func (m *Members) Receive(msg member.Message) {
	m.duty.Post(func(now time.Duration) {
		m.perform(m.core.Receive(now, msg))
		m.notifyRevision(msg.From)
	})
}

// Leave announces to the other daemons that this daemon will stop soon.
func (m *Members) Leave() {
	m.duty.Post(func(now time.Duration) { m.perform(m.core.Leave(now)) })
}

// SetHosts applies a host list that was read elsewhere.
func (m *Members) SetHosts(hosts []member.Host) {
	m.duty.Post(func(now time.Duration) { m.perform(m.core.MergeHosts(now, hosts)) })
}

func (m *Members) tick(now time.Duration) time.Duration {
	due := now >= m.core.Next()
	m.core.SetLocalStatus(m.cfg.Local())
	m.perform(m.core.Tick(now))
	if due {
		// Not on each tick: copying the view of a large fleet costs more than all
		// its messages. Changes are published as they occur.
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
		// Not for each message: comparing the whole view costs more than handling
		// the message.
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
		m.publish()
	case a.DeclaredDead != nil:
		m.declaredDead(a.DeclaredDead)
	}
}

func (m *Members) changed(c *member.Changed) {
	m.changes.Add(c.To.String(), 1)
	m.cfg.Log("member_changed", "peer", c.Process.Daemon, "incarnation", c.Process.Incarnation,
		"domain", c.Domain, "from", c.From, "to", c.To, "why", c.Reason)
	m.publish()
	if c.To == member.Alive && c.From != member.Suspect && c.From != member.Leaving {
		m.cfg.Listener.Joined(c.Process.Daemon)
	}
	if c.To == member.Dead {
		// If the daemon returns, its revision must be reported again even if it is
		// unchanged.
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

// readHosts reads the platform's host list periodically, with jitter so that the
// daemons of the fleet do not call at the same time.
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
	call, cancel := endpoints.WithShortTimeout(ctx)
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
