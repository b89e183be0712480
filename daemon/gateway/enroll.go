package gateway

import (
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

// Tables and rows that the fleet keeps for itself. A key is TABLE/ROW.
const (
	// tableDaemons has one row for each daemon that has ever enrolled.
	tableDaemons = "daemons"
	// keyAuthority is the row with the CA that signs the daemons' certificates.
	keyAuthority = "trust/authority"
)

const (
	// enrollTimeout bounds one store call during enrolment.
	enrollTimeout = time.Second
	// enrollRetry and enrollRetryMax bound the pause after a failed enrolment, which
	// doubles with each failure.
	enrollRetry    = 50 * time.Millisecond
	enrollRetryMax = 500 * time.Millisecond
	// authorityWait bounds the random wait for another daemon to create the fleet's
	// CA. Without it, daemons that start together would all generate a CA, and all
	// but one would have to read the row again.
	authorityWait = 250 * time.Millisecond
	// shortWorkers bounds the store calls and role orders that run concurrently.
	shortWorkers = 64
)

// daemonRow is the value of a daemon's row: its failure domain and the addresses at
// which it can be reached.
type daemonRow struct {
	Domain  id.Domain `json:"domain"`
	Peers   string    `json:"peers"`
	Callers string    `json:"callers"`
	// Retries is set by a process that has stopped, and removed by the next one.
	Retries *retryAccount `json:"retries,omitempty"`
}

// enroll joins the fleet, and retries until the store accepts the enrolment. The
// version of the daemon's own row becomes its incarnation, so that incarnations do
// not depend on a clock.
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
	former, incarnation, err := d.register()
	if err != nil {
		return err
	}
	if former == nil && d.set.FirstStart {
		d.retryShare.setFirstStart(d.retryShare.startedAt + Seconds(d.set.Bounds.RepeatWindowS))
	}
	if former != nil {
		d.adoptRetries(former.Retries, incarnation)
	}
	return d.join(id.Process{Daemon: d.set.Daemon, Incarnation: incarnation}, authority)
}

// rowKey is the key of this daemon's row; row is its value.
func (d *Daemon) rowKey() string { return tableDaemons + "/" + string(d.set.Daemon) }

func (d *Daemon) row() daemonRow {
	return daemonRow{Domain: d.set.Domain, Peers: d.set.Listen.Peers, Callers: d.set.Listen.Callers}
}

// register writes the daemon's row. It returns the row of the former process, nil if the
// daemon has never enrolled, and the incarnation of this one.
func (d *Daemon) register() (*daemonRow, id.Incarnation, error) {
	row, err := d.readRow(d.rowKey())
	if err != nil {
		return nil, 0, err
	}
	value, err := json.Marshal(d.row())
	if err != nil {
		return nil, 0, eris.Wrap(err, "encode the daemon's row")
	}
	version, written, err := d.writeRow(d.rowKey(), row.Version, value)
	if err != nil {
		return nil, 0, err
	}
	if !written {
		return nil, 0, eris.New("the daemon's row was changed concurrently")
	}
	if row.Version == 0 {
		return nil, id.Incarnation(version), nil
	}
	former := &daemonRow{}
	if err := json.Unmarshal(row.Value, former); err != nil {
		// Only the account of retries is read from it, without which this process waits.
		d.logger.Warn("former_row_unreadable", "why", err)
	}
	return former, id.Incarnation(version), nil
}

// join starts the components that need the fleet: the peer transport, the broker,
// the quotas, the membership, the role orders, and the follower of the daemons'
// table. Messages of peers are dropped until all are assembled.
func (d *Daemon) join(self id.Process, authority *keys.DevCA) error {
	f := &fleet{self: self}
	f.rowsChecked.Store(table.Era(uint64(self.Incarnation)))
	var err error
	if f.authority, err = authority.Marshal(); err != nil {
		return err
	}
	material, err := authority.Peer(d.set.Daemon)
	if err != nil {
		return err
	}
	ready := make(chan struct{})
	f.keys = keys.FromMaterial(material)
	transport, err := peer.Listen(d.peerConfig(f, f.keys, ready))
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
		Self:         self,
		NewManager:   func(p id.Pool) *pool.Manager { return d.newManager(f, p) },
		Sender:       f.links(),
		Poison:       d.poison,
		Spread:       func(s poison.State) { d.spreadEvidence(f, s) },
		Relay:        func(s poison.State) { d.relayEvidence(f, s) },
		Epoch:        *d.epoch.Load(),
		OwnerChanged: d.logOwnerChange,
		OnDelay:      d.logDelay("broker"),
		Metrics:      d.metrics,
		Now:          d.now,
		Ready:        ready,
	})
	f.quotas = d.newQuotas(f, ready)
	f.members = members.Start(members.Config{
		Core: memberConfig(),
		Self: member.Entry{
			Process: self, Domain: d.set.Domain, Address: d.set.Listen.Peers, CallerAddress: d.set.Listen.Callers,
			Capacity: d.set.Capacity,
		},
		Sender:   f.links(),
		Listener: fleetListener{d, f},
		Metrics:  d.metrics,
		Local: func() member.LocalStatus {
			return member.LocalStatus{
				Revision:  d.revision(),
				InFlight:  int(d.inFlight.Load()),
				Watched:   f.owner.Load(),
				Linked:    f.linked.Load(),
				StoreLost: d.storeLost(),
				Stale:     d.stale(),
				Proof:     d.proofToSend(),

				ConfigVersion: d.configVersion(),
			}
		},
		Log:     d.logger.Event,
		Now:     d.now,
		Rand:    d.newRand(),
		OnDelay: d.logDelay("members"),
		Ready:   ready,
	})
	f.orderer = startOrderer(d, f, work, ready)
	f.hosts = feed.Start(d.hostsConfig(f))
	f.versions = d.followVersions()
	f.evidence = d.syncEvidence(f)
	d.fleet.Store(f)
	close(ready)
	go d.openEvidenceGate(f)
	go d.updateReading(f)
	go d.syncStoreClock()
	go d.keepOrigins(f)
	if f.rowsChecked.Load() > 0 {
		go d.confirmAuthority(f)
	}
	go d.logUsage(f)
	d.logger.Event("daemon_enrolled", "incarnation", self.Incarnation)
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	d.publish()
	f.quotas.SetKey(keeperKey(d.tables.routes))
	return nil
}

// minLoggedDelay is the least queueing delay of a component's event loop that is
// logged: a quarter of the shortest time in which callers expect a first event.
const minLoggedDelay = 200 * time.Millisecond

// logDelay returns a function that logs how long work waited for the named event
// loop, if that was long: the daemon's answers and decisions are late by as much.
func (d *Daemon) logDelay(name string) func(late time.Duration) {
	return func(late time.Duration) {
		if late >= minLoggedDelay {
			d.logger.Event("duty_behind", "duty", name, "late", late)
		}
	}
}

// hostsWait is how long one call to the store waits for changes in the daemons'
// table. It can be long, since the membership spreads new daemons as well.
const hostsWait = 15 * time.Second

// hostsBatchDelay is the pause after changes in the daemons' table. All daemons of a
// fleet start at about the same time; without the pause each of them would make
// one call for each other daemon.
const hostsBatchDelay = time.Second

func (d *Daemon) hostsConfig(f *fleet) feed.Config {
	cfg := d.followerConfig(tableDaemons, func(s feed.State) { d.hostsChanged(f, s) })
	cfg.Wait = hostsWait
	cfg.BatchDelay = hostsBatchDelay
	return cfg
}

// hosts decodes the rows of the other daemons. A row that cannot be decoded is
// logged and left out.
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
