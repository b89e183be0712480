// Package gateway assembles the daemon that runs on the users' platform. It
// forwards requests unchanged, keeps persistent state in the platform's store, and
// reads the configuration and the registered endpoints from the store's tables. An
// Adapter contains everything that is specific to the platform.
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

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/bytebudget"
	"github.com/samphirequay/samphirequay/daemon/callerconn"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/forward"
	"github.com/samphirequay/samphirequay/daemon/hangup"
	"github.com/samphirequay/samphirequay/daemon/leaving"
	"github.com/samphirequay/samphirequay/daemon/logline"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/origins"
	"github.com/samphirequay/samphirequay/daemon/store"
)

// Tables names the platform's tables that the daemon follows.
type Tables struct {
	// Config holds the routing configuration.
	Config string
	// Endpoints holds one row for each registered endpoint.
	Endpoints string
}

// Adapter translates between the daemon and the platform's formats and protocols.
type Adapter interface {
	// Tables names the platform's tables.
	Tables() Tables
	// Config decodes the routing configuration from the rows of its table; ok is
	// false if there is none yet.
	Config(rows []table.Row) (c route.Config, ok bool, err error)
	// Endpoint decodes one registered endpoint.
	Endpoint(row table.Row) (registry.Endpoint, error)
	// Request decodes a caller's request.
	Request(ctx *fasthttp.RequestCtx) (*forward.Request, *verdict.Error)
	// Reply sends an endpoint's response to the caller.
	Reply(ctx *fasthttp.RequestCtx, r *forward.Reply)
	// Error answers with an error of the daemon itself; left is the time for which
	// the caller still waits, 0 if unknown.
	Error(ctx *fasthttp.RequestCtx, err *verdict.Error, left time.Duration)
	// ProtocolError answers a request that could not be parsed.
	ProtocolError(ctx *fasthttp.RequestCtx, err error)
	// Entry returns the handler for callers that query the addresses to use; ok is
	// false while the daemon has no answer.
	Entry(answer func() (a entry.Answer, ok bool)) fasthttp.RequestHandler
	// Ready returns the handler of the platform's readiness probe.
	Ready(ready func() (ok bool, why string)) fasthttp.RequestHandler
}

// Platform holds the platform's implementations of the interfaces that the daemon
// needs.
type Platform struct {
	Adapter   Adapter
	Store     store.Table
	Source    feed.Source
	Endpoints forward.Endpoints
	Engines   Engines
	Inspector Inspector
	Paths     Paths
	Notices   Notices
	// Budget bounds the bytes that are held for requests; nil for no bound.
	Budget *bytebudget.Budget
}

// Options are the inputs of a daemon apart from its settings.
type Options struct {
	// Log receives the log lines.
	Log io.Writer
	// Metrics receives the metrics of the daemon and of the platform's
	// implementations.
	Metrics *metrics.Registry
	// Seed seeds the daemon's random numbers.
	Seed uint64
	// Wall returns the host's wall clock time, which may jump. Certificates are
	// dated by it, and evidence until the store's clock is known. Default time.Now.
	Wall func() time.Time
	// PanicOnViolation makes a violated invariant panic, for tests.
	PanicOnViolation bool
	// FleetIsComplete makes a daemon that starts take all daemons that it knows for the
	// whole fleet at once, and not when others have had the time to join, for tests.
	FleetIsComplete bool
	// WrapPeerSocket replaces the UDP socket for other daemons by one that uses it, for
	// tests; may be nil.
	WrapPeerSocket func(net.PacketConn) net.PacketConn
}

// Daemon is one running daemon.
type Daemon struct {
	set      *Settings
	platform Platform
	opts     Options
	// scheduling holds the switches in force, which may change while the daemon runs.
	scheduling atomic.Pointer[Scheduling]
	// epoch is the wall clock time at the daemon's time zero, by which evidence is
	// dated. It comes from the host's clock until the first answer of the store, and
	// then from the store's clock, which all daemons share and which does not jump.
	epoch atomic.Pointer[time.Time]
	rand  *rand.Rand

	metrics *metrics.Registry
	logger  *logline.Logger
	poison  *poison.Ledger
	// evidenceGate holds requests back until the evidence of other daemons is known.
	evidenceGate *evidenceGate

	tables    *tableCache
	configs   *feed.Follower
	endpoints *feed.Follower
	forwarder *forward.Forwarder
	// origins knows which software versions began streams.
	origins *origins.Origins
	// retryShare is this daemon's share of the slack of the retry limit.
	retryShare *retryShare
	watcher    *hangup.Watcher
	// callers are those that have an answer to read.
	callers *callerconn.Callers
	// answers counts the requests of callers whose answer has not been written whole.
	answers callerconn.Answers
	// serversMu guards servers.
	serversMu    sync.Mutex
	servers      []server
	acceptCounts acceptCounts

	inFlight  atomic.Int64
	probes    activeChecks
	inspected activeChecks
	// incomplete counts requests whose bodies could not be read whole.
	incomplete *metrics.Counter
	// unusable counts registered entries that describe no usable endpoint, by reason.
	unusable *metrics.CounterMap
	endOnce  sync.Once

	// authorityDue is when this daemon may create a CA although others have enrolled; 0
	// until it has found that they have. Used only during enrolment.
	authorityDue time.Duration
	// fullReads counts the full reads of the store's tables, by table.
	fullReads *metrics.CounterMap

	// queryingUptime is set while peers are queried for the store's uptime.
	queryingUptime atomic.Bool
	// freshness tracks how old the configuration may be.
	freshness configFreshness
	// catchingUpConfig is set while a peer that has a newer configuration is asked for it.
	catchingUpConfig atomic.Bool
	// helper is the daemon through which a tunnel was last opened; nil if there is none.
	helper       atomic.Pointer[id.Daemon]
	tunnelCounts tunnelCounts
	noticeCounts noticeCounts
	// fleet is nil until the daemon has enrolled.
	fleet    atomic.Pointer[fleet]
	stopping atomic.Pointer[leaving.Stop]
	ctx      context.Context
	cancel   context.CancelFunc
	closed   chan struct{}
}

// New creates a daemon. It does not listen until Start.
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

		evidenceGate: newEvidenceGate(),
	}
	scheduling := set.Scheduling
	d.scheduling.Store(&scheduling)
	d.setEpoch(opts.Wall())
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.provision(); err != nil {
		d.cancel()
		return nil, err
	}
	return d, nil
}

// logRing bounds the log lines that are queued for writing.
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
	d.metrics.GaugeFunc("evidence_breaks", metrics.UnitCount, "Crashes of endpoints that are recorded as evidence against the requests that they ran, from all daemons.", func() float64 {
		return float64(d.poison.Len())
	})
	d.callers = d.newCallers()
	d.provisionListeners()
	d.incomplete = d.metrics.Counter("requests_incomplete", metrics.UnitCount, "Requests that were refused since their bodies could not be read whole.")
	d.tables = newTableCache()
	d.unusable = d.metrics.CounterMap("registry_entries_unusable", metrics.UnitCount, "Changed registry entries that describe no usable endpoint, by reason.")
	d.fullReads = d.metrics.CounterMap("table_reads", metrics.UnitCount, "Full reads of the store's tables that were answered, by table.")
	d.metrics.GaugeFunc("registry_unlisted", metrics.UnitCount, "Endpoints that the store no longer lists and that are kept, since they may have lapsed with it.", func() float64 {
		return float64(d.tables.current().Lapsed)
	})
	joinDelay := retry.DefaultJoinDelay
	if d.opts.FleetIsComplete {
		joinDelay = 0
	}
	d.retryShare = newRetryShare(d.now(), Seconds(d.set.Bounds.RepeatWindowS), joinDelay)
	d.origins = d.newOrigins()
	d.forwarder = d.newForwarder()
	d.provisionTunnels()
	d.provisionNotices()
	return nil
}

// Now returns the daemon's time: the time since the host booted. Unlike the
// monotonic clock, it includes the time in which the host was suspended, so that
// leases and deadlines expire during a suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("gateway: cannot read the boot clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

func (d *Daemon) now() time.Duration { return Now() }

// wall returns the wall clock time by which evidence is dated.
func (d *Daemon) wall() time.Time { return d.epoch.Load().Add(d.now()) }

// setEpoch sets the epoch from a wall clock that shows now. The boot clock advances
// the time from there.
func (d *Daemon) setEpoch(now time.Time) {
	epoch := now.Add(-d.now())
	d.epoch.Store(&epoch)
}

// newRand returns a separate random source for one component.
func (d *Daemon) newRand() *rand.Rand { return rand.New(rand.NewPCG(d.rand.Uint64(), d.rand.Uint64())) }

// Start opens the listeners, follows the store's tables and joins the fleet. If an
// address is in use, it returns an error that names the setting and leaves nothing
// running.
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

// Done returns a channel that is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.closed }

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() *metrics.Registry { return d.metrics }
