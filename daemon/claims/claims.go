// Package claims runs the claims of non-idempotent calls. Its duty drives
// core/claim, runs the store calls that core/claim requests, and wakes the callers
// that wait for a result.
package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/client"
)

// Config holds the dependencies of a Claims.
type Config struct {
	// Self is this process.
	Self id.Process
	// Writers sends claims to the daemons that write them in a large fleet. If it is
	// nil, each daemon writes its own claims.
	Writers Writers
	Store   *store.Store
	Objects *client.Objects
	Work    *workpool.Pool
	Metrics *metrics.Registry
	// OwnerAlive reports whether the membership counts a process as alive.
	OwnerAlive func(id.Process) bool
	// Now is the time since the daemon's start; Wall is the wall clock.
	Now  func() time.Duration
	Wall func() time.Time
}

// Claims is the running duty.
type Claims struct {
	cfg     Config
	duty    *duty.Duty
	core    *claim.Claims
	waiting map[claim.Token]chan<- result
	// settling holds the outcomes that other daemons sent and that are not stored
	// yet; the channel receives whether the outcome was stored.
	settling map[claim.Token]chan<- bool
	// writers are the daemons that write claims; if empty, each daemon writes its
	// own.
	writers  atomic.Pointer[[]id.Daemon]
	unstored *metrics.Counter
}

// result is the result of a Begin; one field is set.
type result struct {
	claim  *claim.Claim
	answer *claim.Answer
	err    *verdict.Error
}

// Start starts the duty.
func Start(cfg Config) *Claims {
	c := &Claims{
		cfg:      cfg,
		core:     claim.New(claim.Config{OwnerAlive: cfg.OwnerAlive}),
		waiting:  make(map[claim.Token]chan<- result),
		settling: make(map[claim.Token]chan<- bool),
		unstored: cfg.Metrics.Counter("claims_unkept", metrics.UnitCount, "outcomes of claimed calls that could not be stored in time"),
	}
	c.duty = duty.Start(duty.Config{Name: "claims", Now: cfg.Now, Tick: c.tick, Metrics: cfg.Metrics})
	return c
}

// Close stops the duty.
func (c *Claims) Close() { c.duty.Close() }

func (c *Claims) tick(now time.Duration) time.Duration {
	c.perform(c.core.Tick(now, c.cfg.Wall()))
	return c.core.Next()
}

// Begin claims a call and waits for the result: the claim, the stored answer of an
// earlier run, or an error. If ctx ends first, the claim is released, since nothing
// was dispatched under it.
func (c *Claims) Begin(ctx context.Context, b claim.Begin) (*claim.Claim, *claim.Answer, *verdict.Error) {
	writers := c.writersOf(claim.RowKey(b.Team, b.Service, b.Key))
	if len(writers) == 0 {
		return c.resolve(ctx, c.beginLocally(ctx, b))
	}
	return c.resolve(ctx, c.beginRemotely(ctx, writers, b))
}

// beginLocally claims a call with a transaction of this daemon.
func (c *Claims) beginLocally(ctx context.Context, b claim.Begin) result {
	results := make(chan result, 1)
	posted := c.duty.PostContext(ctx, func(now time.Duration) {
		c.waiting[b.Token] = results
		c.perform(c.core.Begin(now, c.cfg.Wall(), b))
	})
	if !posted {
		return result{err: stoppingError()}
	}
	select {
	case r := <-results:
		return r
	case <-ctx.Done():
		c.abandon(b)
		return result{err: callerGoneError()}
	case <-c.duty.Context().Done():
		return result{err: stoppingError()}
	}
}

func callerGoneError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller is gone")
}

func stoppingError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeClaimUnavailable, "this daemon takes no claims now")
}

func (c *Claims) resolve(ctx context.Context, r result) (*claim.Claim, *claim.Answer, *verdict.Error) {
	if r.err != nil || r.claim != nil {
		return r.claim, nil, r.err
	}
	if r.answer.Object == "" {
		return nil, r.answer, nil
	}
	body, err := c.cfg.Objects.Get(ctx, r.answer.Object)
	if err != nil {
		verr := verdict.New(verdict.Ran, verdict.CodeUnavailable, "the call has run; its stored answer can't be read now")
		return nil, nil, verr.WithRetryAfter(time.Second).WithCause(err)
	}
	full := *r.answer
	full.Body = body
	return nil, &full, nil
}

// abandon releases a claim whose caller no longer waits, also if it was acquired in
// the meantime.
func (c *Claims) abandon(b claim.Begin) {
	c.duty.Post(func(now time.Duration) {
		delete(c.waiting, b.Token)
		c.perform(c.core.Release(now, claim.Claim{
			Row:         claim.RowKey(b.Team, b.Service, b.Key),
			RequestHash: b.RequestHash,
			Token:       b.Token,
			Owner:       b.Owner,
		}))
	})
}

// Finish stores the outcome of a claimed call asynchronously.
func (c *Claims) Finish(held claim.Claim, o claim.Outcome) {
	writers := c.writersOf(held.Row)
	if len(writers) == 0 || len(outcomeBody(o)) > maxForwardedBody {
		c.finishLocally(held, o)
		return
	}
	if !c.cfg.Work.Submit(func() { c.finishRemotely(writers[0], held, o) }) {
		c.finishLocally(held, o)
	}
}

func (c *Claims) finishLocally(held claim.Claim, o claim.Outcome) {
	c.duty.Post(func(now time.Duration) { c.perform(c.core.Finish(now, held, o)) })
}

func (c *Claims) perform(actions []claim.Action) {
	for _, a := range actions {
		c.performOne(a)
	}
}

func (c *Claims) performOne(a claim.Action) {
	switch {
	case a.Transact != nil:
		c.transact(a.Transact)
	case a.Read != nil:
		c.read(a.Read)
	case a.StoreObject != nil:
		c.storeObject(a.StoreObject)
	case a.Proceed != nil:
		c.wake(a.Proceed.Claim.Token, result{claim: &a.Proceed.Claim})
	case a.Refuse != nil:
		c.wake(a.Refuse.Token, result{err: a.Refuse.Err})
	case a.Replay != nil:
		c.wake(a.Replay.Token, result{answer: &a.Replay.Answer})
	case a.Settled != nil:
		c.settle(a.Settled)
	}
}

// settle completes a Finish or a Release.
func (c *Claims) settle(s *claim.Settled) {
	if !s.Stored {
		c.unstored.Inc()
	}
	if ch, ok := c.settling[s.Token]; ok {
		delete(c.settling, s.Token)
		ch <- s.Stored
	}
}

func (c *Claims) wake(t claim.Token, r result) {
	ch, ok := c.waiting[t]
	if !ok {
		return
	}
	delete(c.waiting, t)
	ch <- r
}

func (c *Claims) transact(t *claim.Transact) {
	c.call(t.ID, table.Request{Transaction: &t.Transaction}, func(now time.Duration, r table.Reply) []claim.Action {
		return c.core.StoreReply(now, t.ID, r)
	})
}

func (c *Claims) read(r *claim.Read) {
	c.call(r.ID, table.Request{Keys: r.Keys}, func(now time.Duration, reply table.Reply) []claim.Action {
		return c.core.ReadReply(now, r.ID, reply.Rows)
	})
}

// call runs a store call and passes its reply or its failure to core/claim.
func (c *Claims) call(call claim.StoreCallID, q table.Request, reply func(time.Duration, table.Reply) []claim.Action) {
	c.cfg.Store.Do(c.duty.Context(), q, func(r table.Reply) {
		c.duty.Post(func(now time.Duration) {
			switch r.Status {
			case table.Done:
				c.perform(reply(now, r))
			case table.NotRun:
				c.perform(c.core.StoreFailed(now, call, claim.CertainlyNotRun))
			default:
				c.perform(c.core.StoreFailed(now, call, claim.OutcomeUnknown))
			}
		})
	})
}

func (c *Claims) storeObject(o *claim.StoreObject) {
	done := func(stored bool) {
		c.duty.Post(func(now time.Duration) { c.perform(c.core.ObjectReply(now, o.Row, stored)) })
	}
	put := func() {
		ctx, cancel := endpoints.WithShortTimeout(c.duty.Context())
		defer cancel()
		done(c.cfg.Objects.Put(ctx, o.Name, o.Body) == nil)
	}
	if !c.cfg.Work.Submit(put) {
		go done(false)
	}
}
