// Package app assembles a daemon: it creates every component from the start-up
// settings, starts and stops them, and connects the request pipeline with the
// components that the daemons of the fleet run together.
package app

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/resume"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/cancels"
	"github.com/samphirequay/samphirequay/daemon/claims"
	"github.com/samphirequay/samphirequay/daemon/configs"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/evidence"
	"github.com/samphirequay/samphirequay/daemon/front"
	"github.com/samphirequay/samphirequay/daemon/hangup"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/leaving"
	"github.com/samphirequay/samphirequay/daemon/logline"
	"github.com/samphirequay/samphirequay/daemon/members"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/operator"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/placer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
	"github.com/samphirequay/samphirequay/daemon/reports"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/httphead"
)

// Options are the parameters of a daemon that its settings do not hold.
type Options struct {
	// PeerKeys replaces the key files that the settings name. Default: nil,
	// which reads the files.
	PeerKeys *keys.Store
	// CallerKeys replaces the key files that the settings name. Default: nil,
	// which reads the files.
	CallerKeys *keys.Store
	// Log is where log lines are written. Default: standard error.
	Log io.Writer
	// Seed is the seed of the daemon's random numbers. Default: the incarnation.
	Seed uint64
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
}

// Daemon is one running daemon.
type Daemon struct {
	settings *settings.Settings
	opts     Options
	self     id.Process
	// epoch is when the daemon started; now measures from it.
	epoch time.Time
	rand  *rand.Rand

	metrics *metrics.Registry
	logger  *logline.Logger
	// malformed counts answers by the httphead.Rule that they break.
	malformed *metrics.CounterMap
	decisions *logline.Decisions
	work      *workpool.Pool
	endpoints *endpoints.Set
	store     *store.Store
	transport *peer.Transport
	members   *members.Members
	configs   *configs.Configs
	claims    *claims.Claims
	cancels   *cancels.Cancels
	broker    *broker.Broker
	quotas    *quotas.Quotas
	placer    *placer.Placer
	reports   *reports.Reports
	evidence  *evidence.Syncer
	retries   *retrier
	tokens    *resume.Keyring
	watcher   *hangup.Watcher
	front     *front.Server
	operator  *operator.Server
	debug     *fasthttp.Server

	callerLn   net.Listener
	operatorLn net.Listener
	debugLn    net.Listener

	connections *callerConns
	entryMu     sync.Mutex
	entryRand   *rand.Rand

	peerKeys   *keys.Store
	callerKeys *keys.Store
	poison     *poison.Ledger
	// started is closed once all components have been created. Until then, they
	// wait, and messages and calls from other daemons are not accepted.
	started  chan struct{}
	stopping atomic.Pointer[leaving.Stop]
	ctx      context.Context
	cancel   context.CancelFunc
	closed   chan struct{}
	ended    atomic.Bool
}

// New creates a daemon. It does not listen before Start.
func New(cfg *settings.Settings, opts Options) (*Daemon, error) {
	if opts.Log == nil {
		opts.Log = os.Stderr
	}
	epoch := time.Now()
	d := &Daemon{
		settings: cfg,
		opts:     opts,
		epoch:    epoch,
		self:     id.Process{Daemon: cfg.Daemon, Incarnation: id.Incarnation(epoch.UnixNano())},
		started:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
	d.connections = newCallerConns(cfg.Limits.MaxConnections, cfg.Limits.MaxConnectionsPerIP)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if opts.Seed == 0 {
		opts.Seed = uint64(d.self.Incarnation)
	}
	d.rand = rand.New(rand.NewPCG(opts.Seed, nameSeed(cfg.Daemon)))
	d.entryRand = d.newRand()
	if err := d.provision(); err != nil {
		d.cancel()
		return nil, err
	}
	return d, nil
}

func nameSeed(name id.Daemon) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// provision creates the components that need no network.
func (d *Daemon) provision() error {
	d.metrics = metrics.New(string(d.settings.Daemon))
	if d.opts.PanicOnViolation {
		d.metrics.PanicOnViolation()
	}
	var err error
	if err = d.provisionKeys(); err != nil {
		return err
	}
	d.logger, err = logline.New(logline.Config{
		Output:   d.opts.Log,
		Level:    logline.Level(d.settings.Log.Level),
		RingSize: d.settings.Limits.LogRing,
		Daemon:   string(d.settings.Daemon),
		Registry: d.metrics,
	})
	if err != nil {
		return err
	}
	d.malformed = d.metrics.CounterMap("answers_malformed", metrics.UnitCount, "Answers whose head breaks the grammar, by the rule that it breaks; each counts as a failure of its endpoint.")
	d.metrics.OnViolation(func(name, detail string) {
		d.logger.Error("invariant_violated", "name", name, "detail", detail)
	})
	journal, err := logline.NewJournal(d.settings.Limits.JournalDecisions)
	if err != nil {
		return err
	}
	d.poison = poison.New(poison.Config{})
	d.decisions = logline.NewDecisions(d.logger, journal)
	d.work, err = workpool.New("short", d.settings.Limits.Workers, d.metrics)
	return err
}

func (d *Daemon) provisionKeys() error {
	var err error
	d.peerKeys = d.opts.PeerKeys
	if d.peerKeys == nil {
		files := keys.Files{Cert: d.settings.PeersTLS.Cert, Key: d.settings.PeersTLS.Key, CA: d.settings.PeersTLS.CA}
		if d.peerKeys, err = keys.Open(files); err != nil {
			return err
		}
	}
	d.callerKeys = d.opts.CallerKeys
	if d.callerKeys == nil && d.settings.CallersTLS != nil {
		files := keys.Files{Cert: d.settings.CallersTLS.Cert, Key: d.settings.CallersTLS.Key}
		if d.callerKeys, err = keys.Open(files); err != nil {
			return err
		}
	}
	d.tokens, err = keyring(d.settings.ResumeKeys)
	return err
}

func keyring(in []settings.ResumeKey) (*resume.Keyring, error) {
	all := make([]resume.Key, 0, len(in))
	for _, k := range in {
		secret, err := k.Secret()
		if err != nil {
			return nil, err
		}
		all = append(all, resume.Key{ID: uint8(k.ID), Secret: secret})
	}
	if len(all) == 0 {
		return nil, eris.New("the settings contain no resume key")
	}
	return resume.NewKeyring(all[0], all[1:]...)
}

// now returns the time since the daemon's start, by the monotonic clock.
func (d *Daemon) now() time.Duration { return time.Since(d.epoch) }

// newRand returns a separate source of random numbers for one component.
func (d *Daemon) newRand() *rand.Rand { return rand.New(rand.NewPCG(d.rand.Uint64(), d.rand.Uint64())) }

// CallerAddr returns the address that the daemon listens on for callers.
func (d *Daemon) CallerAddr() string { return d.callerLn.Addr().String() }

// OperatorAddr returns the address that the daemon listens on for operators.
func (d *Daemon) OperatorAddr() string { return d.operatorLn.Addr().String() }

// DebugAddr returns the address of the metrics and health checks, or "" if the
// daemon has none.
func (d *Daemon) DebugAddr() string {
	if d.debugLn == nil {
		return ""
	}
	return d.debugLn.Addr().String()
}

// PeerAddr returns the UDP address that the daemon listens on for other daemons.
func (d *Daemon) PeerAddr() string { return d.transport.Address() }

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() *metrics.Registry { return d.metrics }

// Self returns the daemon's name and incarnation.
func (d *Daemon) Self() id.Process { return d.self }

// Transport returns the transport to other daemons. Experiments use its hooks to
// inject losses and delays.
func (d *Daemon) Transport() *peer.Transport { return d.transport }

// Revision returns the revision of the configuration in force.
func (d *Daemon) Revision() uint64 { return d.configs.Index().Document().Revision }

// Done returns a channel that is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.closed }

// platformOptions returns the options of the clients of the platform's services.
func (d *Daemon) platformOptions() client.Options {
	return client.Options{Timeout: d.settings.Timings.StoreTimeoutMS.Duration(), OnMalformed: d.reportMalformed}
}

// reportMalformed counts and logs an answer whose head is malformed.
func (d *Daemon) reportMalformed(address string, err error) {
	if rule, ok := httphead.RuleOf(err); ok {
		d.malformed.Add(string(rule), 1)
	}
	d.logger.Event("answer_malformed", "address", address, "why", err)
}
