package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/members"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/workpool"
)

// The fleet's own tables and rows. A key is TABLE/ROW.
const (
	// tableDaemons has one row for each daemon that ever enrolled.
	tableDaemons = "daemons"
	// keyAuthority holds the CA that signs the daemons' certificates.
	keyAuthority = "trust/authority"
)

const (
	// enrollTimeout bounds one call of an enrolment.
	enrollTimeout = time.Second
	// enrollRetry and enrollRetryMost bound the pause after a failed enrolment.
	enrollRetry    = 50 * time.Millisecond
	enrollRetryMax = 500 * time.Millisecond
	// authorityWait bounds the wait for another daemon to make the fleet's CA: of
	// those that start together, all would else write one, and read again.
	authorityWait = 250 * time.Millisecond
	// shortWorkers bounds the store calls and orders that run at once.
	shortWorkers = 64
)

// hostRow is a daemon's row: where others reach it.
type daemonRow struct {
	Domain  id.Domain `json:"domain"`
	Peers   string    `json:"peers"`
	Callers string    `json:"callers"`
}

// enroll joins the fleet as soon as the store lets it: the version of the
// daemon's own row is its incarnation, so that no clock matters.
func (d *Daemon) enroll() {
	pause := enrollRetry
	for d.ctx.Err() == nil {
		err := d.tryEnroll()
		if err == nil {
			return
		}
		d.logger.Warn("enrolment_failed", "why", err)
		if !d.sleep(pause/2 + time.Duration(d.rand.Int64N(int64(pause)))) {
			return
		}
		pause = min(2*pause, enrollRetryMax)
	}
}

func (d *Daemon) tryEnroll() error {
	authority, err := d.authority()
	if err != nil {
		return err
	}
	incarnation, err := d.register()
	if err != nil {
		return err
	}
	material, err := authority.Peer(d.set.Daemon)
	if err != nil {
		return err
	}
	return d.join(id.Process{Daemon: d.set.Daemon, Incarnation: incarnation}, keys.Fixed(material))
}

// read reads one row. The store's clock comes with it, and dates evidence from
// then on.
func (d *Daemon) read(key string) (table.Row, error) {
	ctx, cancel := context.WithTimeout(d.ctx, enrollTimeout)
	defer cancel()
	sent := d.now()
	reply := d.platform.Store.Run(ctx, table.Request{Keys: []string{key}})
	if reply.Status != table.Done {
		return table.Row{}, eris.Errorf("reading row %s: %s", key, reply.Status)
	}
	if reply.Clock > 0 {
		d.freshness.sample(sent, d.now(), reply.Clock)
		d.setEpoch(time.Unix(0, 0).Add(reply.Clock))
	}
	return reply.Row(key), nil
}

// write replaces a row that has the given version; it returns the new version,
// or false if the row has changed.
func (d *Daemon) write(key string, version uint64, value []byte) (uint64, bool, error) {
	ctx, cancel := context.WithTimeout(d.ctx, enrollTimeout)
	defer cancel()
	reply := d.platform.Store.Run(ctx, table.Request{Transaction: &table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Puts:       []table.Put{{Key: key, Value: value}},
	}})
	if reply.Status != table.Done {
		return 0, false, eris.Errorf("writing row %s: %s", key, reply.Status)
	}
	if !reply.Applied || len(reply.Versions) == 0 {
		return 0, false, nil
	}
	return reply.Versions[0], true, nil
}

// authority reads the fleet's CA; the first daemon makes it.
func (d *Daemon) authority() (*keys.DevCA, error) {
	row, err := d.read(keyAuthority)
	if err != nil {
		return nil, err
	}
	if row.Version == 0 && d.sleep(time.Duration(d.rand.Int64N(int64(authorityWait)))) {
		row, err = d.read(keyAuthority)
	}
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return d.createAuthority()
	}
	return keys.LoadCA(row.Value, d.opts.Wall())
}

func (d *Daemon) createAuthority() (*keys.DevCA, error) {
	made, err := keys.NewDevCA(d.opts.Wall())
	if err != nil {
		return nil, err
	}
	encoded, err := made.Marshal()
	if err != nil {
		return nil, err
	}
	_, won, err := d.write(keyAuthority, 0, encoded)
	if err != nil {
		return nil, err
	}
	if won {
		return made, nil
	}
	row, err := d.read(keyAuthority)
	if err != nil {
		return nil, err
	}
	return keys.LoadCA(row.Value, d.opts.Wall())
}

// register writes the daemon's row and returns its incarnation.
func (d *Daemon) register() (id.Incarnation, error) {
	key := tableDaemons + "/" + string(d.set.Daemon)
	row, err := d.read(key)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(daemonRow{Domain: d.set.Domain, Peers: d.set.Listen.Peers, Callers: d.set.Listen.Callers})
	if err != nil {
		return 0, eris.Wrap(err, "the daemon's row")
	}
	version, won, err := d.write(key, row.Version, value)
	if err != nil {
		return 0, err
	}
	if !won {
		return 0, eris.New("the daemon's row was changed meanwhile")
	}
	return id.Incarnation(version), nil
}

// join starts the duties that need the fleet.
func (d *Daemon) join(self id.Process, material *keys.Store) error {
	f := &fleet{self: self}
	wired := make(chan struct{})
	transport, err := peer.Listen(d.peerConfig(f, material, wired))
	if err != nil {
		return eris.Wrapf(err, "listen.peers %s", d.set.Listen.Peers)
	}
	f.transport = transport
	work, err := workpool.New("short", shortWorkers, d.metrics)
	if err != nil {
		transport.Close()
		return err
	}
	f.broker = broker.New(broker.Config{
		Self:       self,
		NewManager: func(p id.Pool) *pool.Manager { return d.newManager(f, p) },
		Sender:     f.links(),
		Poison:     d.poison,
		Spread:     func(s poison.State) { d.spreadEvidence(f, s) },
		Relay:      func(s poison.State) { d.relayEvidence(f, s) },
		Epoch:      *d.epoch.Load(),
		Behind:     d.logDelay("broker"),
		Metrics:    d.metrics,
		Now:        d.now,
		Ready:      wired,
	})
	f.quotas = d.newQuotas(f, wired)
	f.members = members.Start(members.Config{
		Core: memberConfig(),
		Self: member.Entry{
			Process: self, Domain: d.set.Domain, Address: d.set.Listen.Peers, CallerAddress: d.set.Listen.Callers,
			Capacity: d.set.Capacity,
		},
		Sender:   f.links(),
		Listener: fleetListener{d, f},
		Metrics:  d.metrics,
		Local: func() member.Local {
			return member.Local{
				Revision:  d.revision(),
				InFlight:  int(d.inFlight.Load()),
				Watched:   f.owner.Load(),
				Linked:    f.linked.Load(),
				StoreLost: d.storeLost(),
				Stale:     d.stale(),
				Proof:     d.proofToSend(),
			}
		},
		Log:    d.logger.Event,
		Now:    d.now,
		Rand:   d.newRand(),
		Behind: d.logDelay("members"),
		Ready:  wired,
	})
	f.orderer = startOrderer(d, f, work, wired)
	f.hosts = feed.Start(d.hostsConfig(f))
	d.fleet.Store(f)
	close(wired)
	go d.updateReading(f)
	go d.syncStoreClock()
	go d.logUsage(f)
	d.logger.Event("daemon_enrolled", "incarnation", self.Incarnation)
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	d.publish()
	f.quotas.SetKey(keeperKey(d.tables.routes))
	return nil
}

// behindLeast is how long work must wait for a duty to be worth a line: a
// quarter of the shortest time in which callers expect a first event.
const minLoggedDelay = 200 * time.Millisecond

// behind writes a line when work waits long for a duty: the daemon's answers,
// and all that it decides, are late by as much.
func (d *Daemon) logDelay(name string) func(late time.Duration) {
	return func(late time.Duration) {
		if late >= minLoggedDelay {
			d.logger.Event("duty_behind", "duty", name, "late", late)
		}
	}
}

// hostsWait is how long one call waits for new daemons: it may be long, since
// the daemons tell one another as well.
const hostsWait = 15 * time.Second

// hostsGather is the pause after new daemons: a fleet starts at once, and each
// of its daemons would else be told of each other one by a call of its own.
const hostsGather = time.Second

func (d *Daemon) hostsConfig(f *fleet) feed.Config {
	cfg := d.followerConfig(tableDaemons, func(s feed.State) { f.members.SetHosts(d.hosts(s)) })
	cfg.Wait = hostsWait
	cfg.Gather = hostsGather
	return cfg
}

// hosts reads the rows of the other daemons.
func (d *Daemon) hosts(s feed.State) []member.Host {
	var out []member.Host
	for _, row := range s.Rows {
		var h daemonRow
		if err := json.Unmarshal(row.Value, &h); err != nil {
			d.tables.mu.Lock()
			d.badRow(row.Key, row.Version, err)
			d.tables.mu.Unlock()
			continue
		}
		if id.Daemon(row.Key) != d.set.Daemon {
			out = append(out, member.Host{Name: id.Daemon(row.Key), Domain: h.Domain, Address: h.Peers})
		}
	}
	return out
}
