package claim

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// recentRows bounds the rows that are read before they are written.
	maxRecentRows = 4096
	// retryAfterLive is the advice while a live owner runs the call.
	defaultRetryAfter = time.Second
	// readPause is the wait after a stale read.
	staleReadDelay = 10 * time.Millisecond
	// objectPause is the wait after a body could not be stored.
	objectRetryDelay = 500 * time.Millisecond
	// objectTries bounds the attempts to store a body.
	maxObjectAttempts = 8
	// clockTolerance is how far wall time may move against the running time
	// before expiry is no longer believed.
	maxClockDrift = time.Minute
)

// Never is what Next returns when nothing is due.
const Never = time.Duration(math.MaxInt64)

// Stats counts what happened since the start.
type Stats struct {
	Transactions, Rows, Reads    uint64
	Proceeds, Refusals, Replays  uint64
	Releases, Unstored, Unknowns uint64
}

// Claims decides for the rows of one writer. It is not safe for concurrent use.
type Claims struct {
	cfg        Config
	now        time.Duration
	wall       time.Time
	wallOffset time.Duration
	// started is set once offset is known.
	offsetKnown bool

	ops   map[string][]*op
	count int
	// recent holds rows that are likely to exist: reading them first keeps
	// repeats from failing their neighbours' transactions.
	recent *simplelru.LRU[string, struct{}]

	commit     committer
	reads      reader
	storeCalls map[CallID]*storeCall
	lastID     CallID

	timers   timers
	timerSeq uint64
	actions  []Action
	stats    Stats
}

// New returns Claims without work. cfg.OwnerAlive must be set.
func New(cfg Config) *Claims {
	cfg = cfg.withDefaults()
	recent, err := simplelru.NewLRU[string, struct{}](maxRecentRows, nil)
	if err != nil {
		panic(err) // the size is constant: a fault of the build
	}
	return &Claims{cfg: cfg, ops: map[string][]*op{}, storeCalls: map[CallID]*storeCall{}, recent: recent}
}

func (cfg Config) withDefaults() Config {
	defaults.Set(&cfg.Window, DefaultWindow)
	defaults.Set(&cfg.Gap, DefaultGap)
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

// Begin takes a call that must not run twice. It ends with one Proceed, Refuse
// or Replay that names its token.
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

// answeredByQueue answers a Begin from the ops at work on the same row.
func (c *Claims) answeredByQueue(o *op) bool {
	for _, other := range c.ops[o.row] {
		switch {
		case other.token == o.token && other.kind == opBegin:
			return true // the same Begin again
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

// Finish stores the outcome of a claim. The caller's answer need not wait for
// it. It ends with one Settled that names the claim's token.
func (c *Claims) Finish(now time.Duration, claim Claim, outcome Outcome) []Action {
	c.advance(now)
	if outcome.Failure != nil && outcome.Failure.Verdict == verdict.NotRun {
		c.release(claim)
		return c.flush()
	}
	o := opFor(claim, opFinish)
	o.outcome = outcome
	if c.count >= 2*c.cfg.MaxOps {
		c.settle(o, false)
		return c.flush()
	}
	c.enqueue(o, c.cfg.FinishTimeout)
	return c.flush()
}

// Release gives up a claim whose call was not dispatched and never will be, or
// a Begin that nobody waits for. Only the owner may ask for it. The version
// may be 0. It ends with one Settled, unless nothing was written yet.
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
		c.settle(opFor(claim, opRelease), false)
		return
	}
	c.enqueue(opFor(claim, opRelease), c.cfg.FinishTimeout)
}

func opFor(claim Claim, kind opKind) *op {
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

// Tick does what is due; call it at Next or earlier.
func (c *Claims) Tick(now time.Duration, wall time.Time) []Action {
	c.observe(now, wall)
	c.fireTimers()
	return c.flush()
}

// Next is when Tick is due; Never when nothing is.
func (c *Claims) Next() time.Duration {
	next := Never
	if len(c.timers) > 0 {
		next = c.timers[0].at
	}
	return max(c.now, min(next, c.nextSendAt()))
}

// SetGap changes Config.Gap, as when the number of writers has changed.
func (c *Claims) SetGap(gap time.Duration) { c.cfg.Gap = gap }

// Working counts the Begins, Finishes and Releases at work.
func (c *Claims) Pending() int { return c.count }

// Stats returns the counts since the start.
func (c *Claims) Stats() Stats { return c.stats }

// advance takes the running time; it never goes back.
func (c *Claims) advance(now time.Duration) { c.now = max(c.now, now) }

// observe takes both times.
func (c *Claims) observe(now time.Duration, wall time.Time) {
	c.advance(now)
	c.wall = wall
	if !c.offsetKnown {
		c.offsetKnown = true
		c.wallOffset = time.Duration(wall.UnixNano()) - now
	}
}

// clockTrusted says whether wall time has run like the running time: after a
// jump no row is taken for expired.
func (c *Claims) clockTrusted() bool {
	drift := time.Duration(c.wall.UnixNano()) - c.now - c.wallOffset
	return drift.Abs() <= maxClockDrift
}
