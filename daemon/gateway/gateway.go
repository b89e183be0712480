// Package gateway assembles the daemon that runs on the users' platform:
// requests are passed on as they are, what must last lives in the platform's
// store, and the store's tables say what is configured and which endpoints
// there are. What is particular to the platform comes in through an Adapter.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/forward"
	"github.com/samphirequay/samphirequay/daemon/hangup"
	"github.com/samphirequay/samphirequay/daemon/leaving"
	"github.com/samphirequay/samphirequay/daemon/logline"
	"github.com/samphirequay/samphirequay/daemon/members"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
	"github.com/samphirequay/samphirequay/daemon/store"
)

// Tables names the platform's tables that the daemon follows.
type Tables struct {
	// Config holds the routing configuration.
	Config string
	// Endpoints holds one row for each registered endpoint.
	Endpoints string
}

// Adapter is what is particular to the platform.
type Adapter interface {
	// Tables names the platform's tables.
	Tables() Tables
	// Config reads the routing configuration out of its table; ok is false
	// where there is none yet.
	Config(rows []table.Row) (c route.Config, ok bool, err error)
	// Endpoint reads one registered endpoint.
	Endpoint(row table.Row) (registry.Endpoint, error)
	// Request reads a caller's request.
	Request(ctx *fasthttp.RequestCtx) (*forward.Request, *verdict.Error)
	// Reply passes an endpoint's answer on.
	Reply(ctx *fasthttp.RequestCtx, r *forward.Reply)
	// Error answers with an error of the daemon's own; left is how long the
	// caller still waits, 0 if not known.
	Error(ctx *fasthttp.RequestCtx, err *verdict.Error, left time.Duration)
	// ProtocolError answers a request that could not be read.
	ProtocolError(ctx *fasthttp.RequestCtx, err error)
	// Entry answers callers that ask which addresses to use; ok is false while
	// the daemon can't say.
	Entry(answer func() (a entry.Answer, ok bool)) fasthttp.RequestHandler
	// Ready answers the platform's question whether the daemon is ready.
	Ready(ready func() (ok bool, why string)) fasthttp.RequestHandler
}

// Platform is the platform's side of the daemon's ports.
type Platform struct {
	Adapter   Adapter
	Store     store.Table
	Source    feed.Source
	Endpoints forward.Endpoints
	Engines   Engines
	Inspector Inspector
}

// Options are what a process gives a daemon besides its settings.
type Options struct {
	// Log takes the log lines.
	Log io.Writer
	// Metrics takes the metrics of the daemon and of the platform's side.
	Metrics *metrics.Registry
	// Seed of the daemon's random numbers.
	Seed uint64
	// Wall is the host's time of day, which may jump: certificates and evidence
	// are dated by it at the daemon's start. Default time.Now.
	Wall func() time.Time
	// PanicOnViolation ends the process at a broken invariant: for tests.
	PanicOnViolation bool
}

// Daemon is one running daemon.
type Daemon struct {
	set      *Settings
	platform Platform
	opts     Options
	// epoch is the time at the daemon's time zero by which evidence is dated: by
	// the host's clock, and once it has enrolled by the store's, which all
	// daemons share and which does not jump.
	epoch atomic.Pointer[time.Time]
	rand  *rand.Rand

	metrics *metrics.Registry
	logger  *logline.Logger
	poison  *poison.Ledger

	tables    *tableCache
	configs   *feed.Follower
	endpoints *feed.Follower
	forwarder *forward.Forwarder
	watcher   *hangup.Watcher
	servers   []*fasthttp.Server
	listeners []net.Listener
	inFlight  atomic.Int64
	probes    activeChecks
	inspected activeChecks
	// unusable counts registered entries that name no endpoint to use, by reason.
	unusable *metrics.CounterMap
	endOnce  sync.Once

	// asking is set while others are asked when the store answered.
	queryingUptime atomic.Bool
	// freshness is how old the configuration may be.
	freshness configFreshness
	// fleet is nil until the daemon has enrolled.
	fleet    atomic.Pointer[fleet]
	stopping atomic.Pointer[leaving.Stop]
	ctx      context.Context
	cancel   context.CancelFunc
	closed   chan struct{}
}

// fleet is what the daemon has once it has enrolled.
type fleet struct {
	self      id.Process
	transport *peer.Transport
	members   *members.Members
	broker    *broker.Broker
	quotas    *quotas.Quotas
	hosts     *feed.Follower
	orderer   *orderer
	// owner is set while this daemon owns a pool.
	owner atomic.Bool
	// tells is set while this daemon tells the others of the store's tables, and
	// readers are those that do.
	broadcasts atomic.Bool
	readers    atomic.Pointer[[]id.Daemon]
	// lostSince is since when others have been without the store, by the daemon's
	// time; 0 where none is.
	peersLostSince atomic.Int64
	// linked is set while this daemon keeps connections to all others.
	linked atomic.Bool
	// pursuit brings the tables up to what other daemons know of them.
	catchUpTarget catchUpTarget
}

// New provisions a daemon. Nothing listens yet.
func New(set *Settings, p Platform, opts Options) (*Daemon, error) {
	if opts.Wall == nil {
		opts.Wall = time.Now
	}
	d := &Daemon{
		set:      set,
		platform: p,
		opts:     opts,
		rand:     rand.New(rand.NewPCG(opts.Seed, uint64(len(set.Daemon)))),
		closed:   make(chan struct{}),
	}
	d.setEpoch(opts.Wall())
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.provision(); err != nil {
		d.cancel()
		return nil, err
	}
	return d, nil
}

// logRing bounds the log lines that wait to be written.
const logRing = 512

func (d *Daemon) provision() error {
	d.metrics = d.opts.Metrics
	if d.opts.PanicOnViolation {
		d.metrics.PanicOnViolation()
	}
	var err error
	d.logger, err = logline.New(logline.Config{
		Output:   d.opts.Log,
		Level:    logline.Level(d.set.Log.Level),
		RingSize: logRing,
		Daemon:   string(d.set.Daemon),
		Registry: d.metrics,
	})
	if err != nil {
		return err
	}
	d.metrics.OnViolation(func(name, detail string) {
		d.logger.Error("invariant_violated", "name", name, "detail", detail)
	})
	d.poison = poison.New(poison.Config{AloneCrashes: crashesToRefuse})
	d.metrics.GaugeFunc("evidence_breaks", metrics.UnitCount, "Endpoints that broke off while they ran requests, as held against those by all daemons.", func() float64 {
		return float64(d.poison.Len())
	})
	d.tables = newTableCache()
	d.unusable = d.metrics.CounterMap("registry_entries_unusable", metrics.UnitCount, "Changes of registered entries that name no endpoint to use, by reason.")
	d.metrics.GaugeFunc("registry_unlisted", metrics.UnitCount, "Endpoints that the store no longer lists and that are kept, since they may have lapsed with it.", func() float64 {
		return float64(d.tables.current().Lapsed)
	})
	d.forwarder = forward.New(forward.Deps{
		Self:      d.self,
		Domain:    d.set.Domain,
		View:      d.tables.current,
		Endpoints: d.platform.Endpoints,
		Pairer:    pairer{d},
		Balancer:  balance.New(d.set.Domain, d.newRand()),
		Suspicion: forward.Suspicion{
			Ledger: d.poison,
			Wall:   d.wall,
			Spread: func() {
				if f := d.fleet.Load(); f != nil {
					f.broker.EvidenceChanged()
				}
			},
		},
		Repeats: retry.WindowConfig{
			Span:   Seconds(d.set.Bounds.RepeatWindowS),
			Ratio:  d.set.Bounds.RepeatRatio,
			Slack:  d.set.Bounds.RepeatSlack,
			Safety: repeatSafety,
		},
		Misdirected: d.inspect,
		Stale:       func() bool { return d.configs.Lost() },
		Freshness:   freshnessAdapter{d},
		Payer:       payer{d},
		TooLate:     d.streamCutoffPassed,
		Daemons:     d.daemons,
		Log:         d.logger,
		Metrics:     d.metrics,
		Now:         d.now,
	})
	return nil
}

// breaksToRefuse is how many endpoints must have broken off while they ran a
// request alone, and none have finished it, before all daemons refuse it. Two
// may be chance: an endpoint that spoils three answers in a hundred does so to
// one request in a thousand.
const crashesToRefuse = 3

// repeatSafety is the share of the bound on repeats that the daemons use: their
// parts of it follow the membership, which lags.
const repeatSafety = 0.75

// Now is the daemon's time: since the host's start, counting the time in which
// the host stood still, which the monotonic clock does not. What lapsed
// meanwhile has lapsed.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("gateway: the boot clock can't be read: " + err.Error())
	}
	return time.Duration(t.Nano())
}

func (d *Daemon) now() time.Duration { return Now() }

// wall is the time by which evidence is dated.
func (d *Daemon) wall() time.Time { return d.epoch.Load().Add(d.now()) }

// dateBy has evidence dated by a clock that shows now; the boot clock moves it on.
func (d *Daemon) setEpoch(now time.Time) {
	epoch := now.Add(-d.now())
	d.epoch.Store(&epoch)
}

// newRand returns a source of its own for one duty.
func (d *Daemon) newRand() *rand.Rand { return rand.New(rand.NewPCG(d.rand.Uint64(), d.rand.Uint64())) }

// Start listens, follows the store's tables and joins the fleet. An address in
// use is an error that names it; nothing is left running then.
func (d *Daemon) Start() error {
	d.watcher = hangup.New(4 * hangup.DefaultInterval)
	if err := d.serve(); err != nil {
		d.closeListeners()
		d.watcher.Close()
		return err
	}
	d.logger.Event("daemon_started", "daemon_domain", d.set.Domain, "callers", d.set.Listen.Callers, "store", d.set.Store,
		"disabled", len(d.set.Disable))
	d.follow()
	go d.enroll()
	return nil
}

// Done is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.closed }

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() *metrics.Registry { return d.metrics }
