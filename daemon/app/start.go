package app

import (
	"cmp"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/lease"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/placement"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/cancels"
	"github.com/samphirequay/samphirequay/daemon/claims"
	"github.com/samphirequay/samphirequay/daemon/configs"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/evidence"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/link"
	"github.com/samphirequay/samphirequay/daemon/listener"
	"github.com/samphirequay/samphirequay/daemon/members"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/placer"
	"github.com/samphirequay/samphirequay/daemon/reports"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/endpoint/client"
)

// Start listens and starts every component. If an address can't be listened on, it
// returns an error that names the setting and the address, with no listener left
// open.
func (d *Daemon) Start() error {
	if err := d.listen(); err != nil {
		d.closeListeners()
		return err
	}
	d.startStore()
	d.startFleet()
	d.startRequests()
	close(d.started)
	d.watchKeys("peers", d.peerKeys)
	d.watchKeys("callers", d.callerKeys)
	d.serve()
	d.logger.Event("daemon_started", "incarnation", d.self.Incarnation, "domain", d.settings.Domain, "policy", d.settings.Policy,
		"callers", d.CallerAddr(), "operators", d.OperatorAddr(), "peers", d.PeerAddr())
	return nil
}

func (d *Daemon) listen() error {
	var err error
	keepalive, idle := ConnectionTimeouts(member.Mode(d.settings.Membership.Mode))
	if d.callerLn, err = d.listenTCP("callers", d.settings.Listen.Callers); err != nil {
		return err
	}
	if d.operatorLn, err = d.listenTCP("operators", d.settings.Listen.Operators); err != nil {
		return err
	}
	if d.settings.Listen.Debug != "" {
		if d.debugLn, err = d.listenTCP("debug", d.settings.Listen.Debug); err != nil {
			return err
		}
	}
	d.transport, err = peer.Listen(peer.Config{
		Self:      d.self,
		Listen:    d.settings.Listen.Peers,
		Keys:      d.peerKeys,
		Handler:   newPeerHandler(d),
		KindName:  link.KindName(kindNames),
		Registry:  d.metrics,
		RingSize:  d.settings.Limits.PeerRing,
		Report:    d.logger.Debug,
		Keepalive: keepalive,
		Lost:      d.peersLost,

		IdleTimeout: idle,
	})
	if err != nil {
		return eris.Wrapf(err, "listen.peers %s", d.settings.Listen.Peers)
	}
	return nil
}

func (d *Daemon) listenTCP(field, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen.%s", field)
	}
	return listener.New(ln, d.listenerConfig(field)), nil
}

func (d *Daemon) closeListeners() {
	for _, ln := range []net.Listener{d.callerLn, d.operatorLn, d.debugLn} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// startStore starts the components that call the platform and the endpoints.
func (d *Daemon) startStore() {
	d.endpoints = endpoints.New(nil)
	d.endpoints.OnMalformed(d.reportMalformed)
	table := client.NewTable(d.settings.Platform.Table, d.platformOptions())
	d.store = store.New(store.TableService{Client: table}, d.work, d.metrics)
	d.retries = newRetrier(d.now, d.newRand())
	d.cancels = cancels.Start(cancels.Config{
		Self:      d.self,
		Endpoints: d.endpoints,
		Address:   d.endpointAddress,
		Work:      d.work,
		Metrics:   d.metrics,
		Log:       d.logger.Event,
		Now:       d.now,
		Ready:     d.started,
	})
}

// startFleet starts the components that work with the other daemons, from the
// configuration to the reports. Each may call those started before it.
func (d *Daemon) startFleet() {
	d.configs = configs.Start(configs.Config{
		Store:     d.store,
		Peers:     peerFetcher{d},
		Metrics:   d.metrics,
		Installed: d.applyConfig,
		Replicate: d.replicateRecord,
		Log:       d.logger.Event,
		Violation: d.metrics.Violation,
		Now:       d.now,
		Rand:      d.newRand(),
		Follower:  revision.DefaultFollowerConfig(),
		Ready:     d.started,
	})
	d.broker = broker.New(broker.Config{
		Self:       d.self,
		Local:      d.localPolicy(),
		NewManager: d.newManager,
		Sender:     d.peerSender(),
		Poison:     d.poison,
		Spread:     func(s poison.State) { d.peerSender().SendEvidence(d.members.Others(), s) },
		Relay:      func(s poison.State) { d.peerSender().RelayEvidence(d.members.Others(), s) },
		Epoch:      d.epoch,
		Metrics:    d.metrics,
		Now:        d.now,
		Ready:      d.started,
	})
	d.quotas = d.newQuotas()
	d.claims = claims.Start(claims.Config{
		Self:       d.self,
		Writers:    claimWriters{d},
		Store:      d.store,
		Objects:    client.NewObjects(d.settings.Platform.Objects, d.platformOptions()),
		Work:       d.work,
		Metrics:    d.metrics,
		OwnerAlive: d.processAlive,
		Now:        d.now,
		Wall:       time.Now,
	})
	d.members = members.Start(members.Config{
		Core:     d.memberConfig(),
		Self:     d.memberEntry(),
		Seeds:    d.seeds(),
		Hosts:    client.NewHosts(d.settings.Platform.Hosts, d.platformOptions()),
		Sender:   d.peerSender(),
		Listener: fleetListener{d},
		Metrics:  d.metrics,
		Local:    d.memberLocal,
		Log:      d.logger.Event,
		Now:      d.now,
		Rand:     d.newRand(),
		Ready:    d.started,
	})
	d.evidence = evidence.Start(evidence.Config{
		Ledger: d.poison,
		Others: d.members.Others,
		Alone:  func() bool { return false },
		Ask:    d.peerSender().AskEvidence,
		Adopt:  d.broker.AdoptEvidence,
		Log:    d.logger.Event,
	})
	d.placer = placer.Start(placer.Config{
		Self:      d.self,
		Store:     d.store,
		Weights:   client.NewWeights(d.settings.Platform.Weights, d.platformOptions()),
		Endpoints: d.endpoints,
		Work:      d.work,
		Metrics:   d.metrics,
		Decide:    d.recordPlacement,
		Log:       d.logger.Event,
		Drain:     d.drain,
		Demand:    d.demand,
		Now:       d.now,
		Rand:      d.newRand(),
		Lease:     lease.DefaultConfig(),
		Core:      placement.DefaultConfig(),
		Ready:     d.started,
	})
	d.reports = reports.Start(reports.Config{
		Endpoints: d.endpoints,
		Index:     d.configs.Index,
		Owned:     d.ownedPools,
		Sink:      reportSink{d},
		Work:      d.work,
		Metrics:   d.metrics,
		Now:       d.now,
		Rand:      d.newRand(),
		Ready:     d.started,
	})
}

func (d *Daemon) memberConfig() member.Config {
	cfg := member.DefaultConfig(member.Mode(d.settings.Membership.Mode))
	cfg.Period = d.settings.Membership.PeriodMS.Duration()
	cfg.SuspectAfter = d.settings.Membership.SuspectAfterMS.Duration()
	cfg.DeadAfter = d.settings.Membership.DeadAfterMS.Duration()
	return cfg
}

func (d *Daemon) memberEntry() member.Entry {
	return member.Entry{
		Process:       d.self,
		Domain:        d.settings.Domain,
		Address:       cmp.Or(d.settings.Advertise.Peers, d.PeerAddr()),
		CallerAddress: d.advertisedCallers(),
	}
}

func (d *Daemon) advertisedCallers() string {
	return cmp.Or(d.settings.Advertise.Callers, d.CallerAddr())
}

func (d *Daemon) seeds() []member.Host {
	var out []member.Host
	for _, p := range d.settings.SeedPeers {
		if p.Name != d.settings.Daemon {
			out = append(out, member.Host{Name: p.Name, Address: p.Address})
		}
	}
	return out
}

func (d *Daemon) localPolicy() bool {
	return d.settings.Policy == settings.PolicyOptimistic || d.settings.Policy == settings.PolicyNaive
}

// serve starts the HTTP servers.
func (d *Daemon) serve() {
	go d.serveOn("callers", d.wrapTLS(trackingListener{d.callerLn, d.connections}), d.front.Serve)
	go d.serveOn("operators", d.wrapTLS(d.operatorLn), d.operator.Serve)
	if d.debugLn == nil {
		return
	}
	d.debug = &fasthttp.Server{Handler: d.debugHandler()}
	go d.serveOn("debug", d.debugLn, d.debug.Serve)
}

func (d *Daemon) serveOn(name string, ln net.Listener, serve func(net.Listener) error) {
	d.listenerEnded(name, serve(ln))
}

// watchKeys polls the files of a key store, so that keys are replaced without a
// restart. It does nothing if s is nil.
func (d *Daemon) watchKeys(name string, s *keys.Store) {
	if s == nil {
		return
	}
	ticker := time.NewTicker(d.settings.KeysPollMS.Duration())
	go func() {
		defer ticker.Stop()
		s.Watch(d.ctx, ticker.C, func(changed bool, err error) {
			switch {
			case err != nil:
				d.logger.Error("keys_not_reloaded", "keys", name, "err", err)
			case changed:
				d.logger.Event("keys_reloaded", "keys", name)
			}
		})
	}()
}

func (d *Daemon) endpointAddress(e id.Endpoint) (string, bool) {
	endpoint, ok := d.configs.Index().Endpoint(e)
	if !ok {
		return "", false
	}
	return endpoint.Address, true
}
