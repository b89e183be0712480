// Package upstream sends requests to endpoints over a pool of HTTP/1.1 keep-alive
// connections. Each request is written once and never retried by this package,
// and the verdict of every error states whether the request may have run. The
// package doesn't interpret bodies, nor headers other than Options.IDHeader and
// those that concern the connection.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/bytebudget"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/endpoint/httphead"
	"github.com/samphirequay/samphirequay/endpoint/netconn"
)

// Options configures a Pool; zero fields take the defaults.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleLife is how long an idle connection is kept if its endpoint sends no
	// Keep-Alive timeout.
	IdleLife time.Duration
	// IdleMargin is subtracted from the Keep-Alive timeout that an endpoint sends.
	IdleMargin time.Duration
	// MaxBodyBytes bounds the body of an answer that is not streamed.
	MaxBodyBytes int
	// IDHeader is the header in which endpoints return a request's id.
	IDHeader string
	// Dial opens a connection to an address within the given time. Default: over TCP.
	Dial DialFunc
	// Budget bounds the bytes of the answers that are held whole. An answer is charged to
	// the account of its context, if that has one. Default: no bound.
	Budget *bytebudget.Budget
	// Metrics is the registry for the pool's counters.
	Metrics *metrics.Registry
}

// DialFunc opens a connection to an address within timeout.
type DialFunc func(ctx context.Context, address string, timeout time.Duration) (*netconn.Conn, error)

// Defaults of Options.
const (
	// DefaultDialTimeout is several round trips between failure domains, and longer
	// than a busy endpoint takes to accept a connection.
	DefaultDialTimeout  = 250 * time.Millisecond
	DefaultIdleLife     = 900 * time.Millisecond
	DefaultIdleMargin   = 600 * time.Millisecond
	DefaultMaxBodyBytes = 16 << 20
)

func (o Options) withDefaults() Options {
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.IdleLife, DefaultIdleLife)
	defaults.Set(&o.IdleMargin, DefaultIdleMargin)
	defaults.Set(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	return o
}

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	opts  Options
	paths *paths

	mu        sync.Mutex
	addresses map[string]*addressConns

	dialled *metrics.Counter
	reused  *metrics.Counter
	foreign *metrics.Counter
	// malformed counts by httphead.Rule.
	malformed *metrics.CounterMap
}

// addressConns holds the connections to one address: the number of open ones,
// including the idle ones, and the idle ones, the most recently used last.
type addressConns struct {
	open int
	idle []*conn
}

// conn is one connection.
type conn struct {
	*netconn.Conn
	reader *bufio.Reader
	// cutsBefore is the number of cuts of paths before the connection became idle.
	cutsBefore uint64
	// tunnelled is set for a connection through another daemon. It is used once, since
	// its end can't be seen while it is idle.
	tunnelled bool
	// expires is when the connection is too old to be reused; it is idle since
	// idleSince.
	expires   time.Time
	idleSince time.Time
}

// New returns a Pool without connections.
func New(o Options) *Pool {
	o = o.withDefaults()
	return &Pool{
		opts:      o,
		addresses: map[string]*addressConns{},
		paths:     newPaths(),
		dialled:   o.Metrics.Counter("upstream_dialled", metrics.UnitCount, "Connections opened to endpoints."),
		reused:    o.Metrics.Counter("upstream_kept", metrics.UnitCount, "Requests sent on a reused connection."),
		foreign:   o.Metrics.Counter("upstream_foreign", metrics.UnitCount, "Answers dropped because they belong to no pending request."),
		malformed: o.Metrics.CounterMap("answers_malformed", metrics.UnitCount, "Answers whose head breaks the grammar, by the rule that it breaks; each counts as a failure of its endpoint."),
	}
}

// Call describes one exchange with an endpoint.
type Call struct {
	// Address is IP:port.
	Address string
	// Request is written once; Do does not retain it.
	Request *fasthttp.Request
	// ID is the request's id, which the endpoint returns in IDHeader; empty for
	// none.
	ID string
	// Until is when the answer, or the header of a stream, must have arrived.
	Until time.Time
	// MaxConns bounds the connections to the address; 0 for no bound.
	MaxConns int
	// AvoidStaleConn prefers a new connection to an idle one that its endpoint may be
	// closing right now. It is set for requests that must not run more than once.
	AvoidStaleConn bool
	// MaySend, if set, is asked once there is a connection, right before the request is
	// written: opening one may take long. If it returns false, the request is not sent.
	MaySend func() bool
	// Stream leaves the body to be read with Answer.Read as it arrives.
	Stream bool
	// MaxBodyBytes bounds the body of an answer that is not streamed; 0 for the pool's
	// bound.
	MaxBodyBytes int
}

func (c *Call) maxBodyBytes(p *Pool) int { return cmp.Or(c.MaxBodyBytes, p.opts.MaxBodyBytes) }

// maxForeignAnswers is how many answers to other requests are skipped on a
// connection.
const maxForeignAnswers = 2

// Do sends the request and reads the answer, which must be closed. If the caller
// cancels ctx, the connection is closed at once; at the deadline of ctx, bytes
// that have arrived can still be read.
func (p *Pool) Do(ctx context.Context, c *Call) (*Answer, *verdict.Error) {
	if err := ctx.Err(); err != nil {
		return nil, notRun(c, contextErrorCode(err), err)
	}
	used, err := p.connect(ctx, c)
	if err != nil {
		return nil, err
	}
	if c.MaySend != nil && !c.MaySend() {
		p.keep(c.Address, used)
		return nil, notRun(c, verdict.CodeOverloaded, errors.New("it wants no requests by now"))
	}
	a := &Answer{pool: p, address: c.Address, conn: used, resp: fasthttp.AcquireResponse(), until: c.Until}
	a.stopWatching = used.BindContext(ctx)
	if err := a.exchange(ctx, c); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func (p *Pool) connect(ctx context.Context, c *Call) (*conn, *verdict.Error) {
	if kept := p.takeIdle(c); kept != nil {
		p.reused.Inc()
		return kept, nil
	}
	if !p.reserveSlot(c) {
		return nil, notRun(c, verdict.CodeOverloaded, errors.New("all connections to it are in use"))
	}
	opened, err := p.open(ctx, c.Address)
	if err != nil {
		p.releaseSlot(c.Address)
		return nil, notRun(c, dialErrorCode(ctx), err)
	}
	p.dialled.Inc()
	return opened, nil
}

// lackPause is the pause between two dials for which this host lacks what they take.
const lackPause = 20 * time.Millisecond

// Reachable reports whether a process at the address accepts connections, of this host
// or of another one. A direct connection that tells is kept for reuse. A dial that tells
// nothing, since no answer came or this host lacks what a connection takes, is repeated until
// ctx ends; known is false if no dial told since this host lacked something.
func (p *Pool) Reachable(ctx context.Context, address string) (accepts, known bool) {
	p.reserveSlot(&Call{Address: address})
	opened, err := p.open(ctx, address)
	lacked := isLack(err)
	for ctx.Err() == nil && (isTimeout(err) || isLack(err)) {
		if isLack(err) && !pauseFor(ctx, lackPause) {
			break
		}
		opened, err = p.open(ctx, address)
		lacked = lacked || isLack(err)
	}
	if err != nil {
		p.releaseSlot(address)
		return false, !isLack(err) && !(lacked && isTimeout(err))
	}
	p.dialled.Inc()
	p.keep(address, opened)
	return true, true
}

// pauseFor waits for d. It returns false if ctx ends first.
func pauseFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// keep keeps a connection on which nothing was sent for reuse, unless it is tunnelled.
func (p *Pool) keep(address string, unused *conn) {
	if unused.tunnelled {
		_ = unused.Close()
		p.releaseSlot(address)
		return
	}
	p.putIdle(address, unused, p.opts.IdleLife)
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// dialErrorCode is the code of a failed dial. A cancellation by the caller doesn't
// count as a failure of the endpoint.
func dialErrorCode(ctx context.Context) verdict.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.CodeCallerGone
	}
	return verdict.CodeUnavailable
}

// countMalformed counts an answer whose head is malformed, if err says so.
func (p *Pool) countMalformed(err error) {
	if rule, ok := httphead.RuleOf(err); ok {
		p.malformed.Add(string(rule), 1)
	}
}

func notRun(c *Call, code verdict.Code, cause error) *verdict.Error {
	return verdict.New(verdict.NotRun, code, "the request was not sent to %s", c.Address).WithCause(cause)
}

// contextErrorCode is the code for the error of an ended context: CodeDeadline or
// CodeCallerGone.
func contextErrorCode(err error) verdict.Code {
	if errors.Is(err, context.DeadlineExceeded) {
		return verdict.CodeDeadline
	}
	return verdict.CodeCallerGone
}

// mayHaveRun returns the error for a failure after bytes were sent.
func mayHaveRun(ctx context.Context, c *Call, cause error) *verdict.Error {
	code := verdict.CodeEndpointFailed
	switch {
	case ctx.Err() != nil:
		code = contextErrorCode(ctx.Err())
	case errors.Is(cause, bytebudget.ErrShort):
		code = verdict.CodeMemoryShort
	case errors.Is(cause, os.ErrDeadlineExceeded), errors.Is(cause, fasthttp.ErrTimeout):
		code = verdict.CodeDeadline
	}
	if cause == io.EOF {
		cause = errors.New("it closed the connection without an answer")
	}
	return verdict.New(verdict.MayHaveRun, code, "the exchange with %s broke", c.Address).WithCause(cause)
}
