package claim

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// maxRecentRows bounds the row keys kept in Claims.recent.
	maxRecentRows = 4096
	// defaultRetryAfter is the retry delay given with a refusal while a live owner
	// runs the call, on overload and when the claim could not be stored in time.
	defaultRetryAfter = time.Second
	// staleReadDelay is the delay before a row is read again after a stale read.
	staleReadDelay = 10 * time.Millisecond
	// objectRetryDelay is the delay before another attempt to store a body.
	objectRetryDelay = 500 * time.Millisecond
	// maxObjectAttempts bounds the attempts to store a body.
	maxObjectAttempts = 8
	// maxClockDrift is how far wall time may drift from monotonic time before
	// rows no longer count as expired.
	maxClockDrift = time.Minute
)

// Never is the result of Next when nothing is scheduled.
const Never = time.Duration(math.MaxInt64)

// Stats counts events since the start.
type Stats struct {
	Transactions, Rows, Reads    uint64
	Proceeds, Refusals, Replays  uint64
	Releases, Unstored, Unknowns uint64
}

// Claims is the state machine of one claim writer. It is not safe for
// concurrent use.
type Claims struct {
	cfg        Config
	now        time.Duration
	wall       time.Time
	wallOffset time.Duration
	// offsetKnown is set once wallOffset, the difference between wall time and
	// monotonic time, was taken.
	offsetKnown bool

	ops   map[string][]*op
	count int
	// recent holds the keys of rows that are likely to exist. These are read
	// before they are written: a write that expects no row would fail, and with
	// it the whole transaction, which other calls share.
	recent *simplelru.LRU[string, struct{}]

	commit     committer
	reads      reader
	storeCalls map[StoreCallID]*storeCall
	lastID     StoreCallID

	timers   timers
	timerSeq uint64
	actions  []Action
	stats    Stats
}

// New returns a Claims without operations. cfg.OwnerAlive must be set.
func New(cfg Config) *Claims {
	cfg = cfg.withDefaults()
	recent, err := simplelru.NewLRU[string, struct{}](maxRecentRows, nil)
	if err != nil {
		panic(err) // unreachable: the size is a positive constant
	}
	return &Claims{cfg: cfg, ops: map[string][]*op{}, storeCalls: map[StoreCallID]*storeCall{}, recent: recent}
}

func (cfg Config) withDefaults() Config {
	defaults.Set(&cfg.Window, DefaultWindow)
	defaults.Set(&cfg.MinInterval, DefaultMinInterval)
	defaults.Set(&cfg.MaxBatch, DefaultMaxBatch)
	defaults.Set(&cfg.MaxInFlight, DefaultMaxInFlight)
	defaults.Set(&cfg.MaxWait, DefaultMaxWait)
	defaults.Set(&cfg.CallTimeout, DefaultCallTimeout)
	defaults.Set(&cfg.FinishTimeout, DefaultFinishTimeout)
	defaults.Set(&cfg.Retention, DefaultRetention)
	defaults.Set(&cfg.MaxInline, DefaultMaxInline)
	defaults.Set(&cfg.MaxOps, DefaultMaxOps)
	return cfg
}

// Begin claims a call that must not run twice. The result is one Proceed, Refuse
// or Replay with the token of b, returned now or by a later event.
func (c *Claims) Begin(now time.Duration, wall time.Time, b Begin) []Action {
	c.observe(now, wall)
	o := &op{
		kind:    opBegin,
		row:     RowKey(b.Team, b.Service, b.Key),
		token:   b.Token,
		hash:    b.RequestHash,
		owner:   b.Owner,
		claimed: wall.UnixMilli(),
	}
	if c.count >= c.cfg.MaxOps {
		c.refuse(o, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many claims at work").WithRetryAfter(defaultRetryAfter))
		return c.flush()
	}
	if !c.answeredByQueue(o) {
		c.enqueue(o, c.cfg.MaxWait)
	}
	return c.flush()
}

// answeredByQueue answers a Begin from the operations in progress on its row.
func (c *Claims) answeredByQueue(o *op) bool {
	for _, other := range c.ops[o.row] {
		switch {
		case other.token == o.token && other.kind == opBegin:
			return true // a repeat of the same Begin
		case other.kind == opRelease:
			continue
		case other.kind == opFinish && other.hash == o.hash && other.phase != phaseObject:
			c.answerOutcome(o, other.outcome)
			return true
		default:
			c.refuse(o, refusal(o.hash == other.hash, c.cfg.OwnerAlive(other.owner)))
			return true
		}
	}
	return false
}

// Finish stores the outcome of a claimed call. The caller may be answered before
// it is stored. The result is one Settled with the token of the claim.
func (c *Claims) Finish(now time.Duration, claim Claim, outcome Outcome) []Action {
	c.advance(now)
	if outcome.Failure != nil && outcome.Failure.Verdict == verdict.NotRun {
		c.release(claim)
		return c.flush()
	}
	o := newOp(claim, opFinish)
	o.outcome = outcome
	if c.count >= 2*c.cfg.MaxOps {
		c.settle(o, false)
		return c.flush()
	}
	c.enqueue(o, c.cfg.FinishTimeout)
	return c.flush()
}

// Release ends a claim whose call was not dispatched and never will be, or
// cancels a Begin whose caller no longer waits. Only the owner may request it.
// The version of the claim may be 0. The result is one Settled, unless nothing
// was written yet.
func (c *Claims) Release(now time.Duration, claim Claim) []Action {
	c.advance(now)
	c.release(claim)
	return c.flush()
}

func (c *Claims) release(claim Claim) {
	for _, o := range c.ops[claim.Row] {
		if o.token == claim.Token && o.kind == opBegin {
			c.abandon(o)
			return
		}
	}
	if c.count >= 2*c.cfg.MaxOps {
		c.settle(newOp(claim, opRelease), false)
		return
	}
	c.enqueue(newOp(claim, opRelease), c.cfg.FinishTimeout)
}

func newOp(claim Claim, kind opKind) *op {
	return &op{
		kind:            kind,
		row:             claim.Row,
		token:           claim.Token,
		hash:            claim.RequestHash,
		owner:           claim.Owner,
		claimed:         claim.ClaimedUnixMS,
		expectedVersion: claim.Version,
	}
}

func (c *Claims) settle(o *op, stored bool) {
	if !stored {
		c.stats.Unstored++
	}
	c.emit(Action{Settled: &Settled{Token: o.token, Stored: stored}})
}

func (c *Claims) refuse(o *op, err *verdict.Error) {
	c.stats.Refusals++
	c.emit(Action{Refuse: &Refuse{Token: o.token, Err: err}})
}

func (c *Claims) emit(a Action) { c.actions = append(c.actions, a) }

// Tick runs what is due. Call it no later than the time that Next returns.
func (c *Claims) Tick(now time.Duration, wall time.Time) []Action {
	c.observe(now, wall)
	c.fireTimers()
	return c.flush()
}

// Next returns when Tick is due, or Never.
func (c *Claims) Next() time.Duration {
	next := Never
	if len(c.timers) > 0 {
		next = c.timers[0].at
	}
	return max(c.now, min(next, c.nextSendAt()))
}

// SetMinInterval changes Config.MinInterval, for example when the number of writers
// changes.
func (c *Claims) SetMinInterval(interval time.Duration) { c.cfg.MinInterval = interval }

// Pending returns the number of Begins, Finishes and Releases in progress.
func (c *Claims) Pending() int { return c.count }

// Stats returns the counts since the start.
func (c *Claims) Stats() Stats { return c.stats }

// advance sets the monotonic time, which never goes back.
func (c *Claims) advance(now time.Duration) { c.now = max(c.now, now) }

// observe sets the monotonic time and the wall time.
func (c *Claims) observe(now time.Duration, wall time.Time) {
	c.advance(now)
	c.wall = wall
	if !c.offsetKnown {
		c.offsetKnown = true
		c.wallOffset = time.Duration(wall.UnixNano()) - now
	}
}

// clockTrusted reports whether wall time has kept pace with monotonic time. After
// a jump, no row counts as expired.
func (c *Claims) clockTrusted() bool {
	drift := time.Duration(c.wall.UnixNano()) - c.now - c.wallOffset
	return drift.Abs() <= maxClockDrift
}
