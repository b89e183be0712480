package claims

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

const (
	// beginTimeout bounds a Begin at another daemon: that daemon's wait for the
	// store and the round trip.
	beginTimeout = claim.DefaultMaxWait + 200*time.Millisecond
	// finishTimeout bounds the wait for another daemon to store an outcome.
	finishTimeout = time.Second
	// maxForwardedBody bounds the body of an answer that is sent to another daemon,
	// in bytes. This daemon writes larger bodies to the object store itself.
	maxForwardedBody = claim.DefaultMaxInline
	// writerRetryAfter is advised to callers when no writer replied.
	writerRetryAfter = time.Second
)

// beginRemotely claims a call through the writers. It tries the next writer only if
// the previous one certainly did not receive the call: a writer that may have
// received it may also release the claim again, so that another writer's reply about
// it would not be reliable.
func (c *Claims) beginRemotely(ctx context.Context, writers []id.Daemon, b claim.Begin) result {
	for _, to := range writers {
		if to == c.cfg.Self.Daemon {
			return c.beginLocally(ctx, b)
		}
		reply, err := c.callBegin(ctx, to, b)
		if err == nil {
			return c.handleReply(b, reply)
		}
		if verdict.Of(err) != verdict.NotRun {
			return c.handleLostReply(ctx, b, to, err)
		}
	}
	return result{err: verdict.New(verdict.NotRun, verdict.CodeClaimUnavailable,
		"no daemon that writes claims can be reached").WithRetryAfter(writerRetryAfter)}
}

func (c *Claims) callBegin(ctx context.Context, to id.Daemon, b claim.Begin) (BeginReply, error) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	return c.cfg.Writers.Begin(ctx, to, &BeginCall{Begin: b})
}

// handleReply converts a writer's reply to a result. It accepts a claim only if the
// claim belongs to this attempt.
func (c *Claims) handleReply(b claim.Begin, reply BeginReply) result {
	held := reply.Claim
	switch {
	case reply.Refusal != nil:
		return c.handleRefusal(b, reply.Refusal.asError())
	case reply.Answer != nil:
		return result{answer: reply.Answer}
	case held != nil && held.Token == b.Token && held.Owner == b.Owner && held.Row == claim.RowKey(b.Team, b.Service, b.Key):
		return result{claim: held}
	}
	c.abandon(b)
	return result{err: verdict.New(verdict.NotRun, verdict.CodeInternal, "the reply of a claim's writer is of another claim")}
}

// handleRefusal returns a writer's refusal. A writer that failed to store the claim
// may have a write in flight and may terminate before it releases the claim, so this
// daemon releases it too.
func (c *Claims) handleRefusal(b claim.Begin, err *verdict.Error) result {
	if err.Code == verdict.CodeClaimUnavailable || err.Code == verdict.CodeCallerGone {
		c.abandon(b)
	}
	return result{err: err}
}

// handleLostReply ends an attempt whose writer did not reply. The claim may have
// been written or may still be. It is safe to release, since this daemon does not
// dispatch the call under it.
func (c *Claims) handleLostReply(ctx context.Context, b claim.Begin, to id.Daemon, cause error) result {
	c.abandon(b)
	if ctx.Err() != nil {
		return result{err: callerGoneError()}
	}
	return result{err: verdict.New(verdict.NotRun, verdict.CodeClaimUnavailable,
		"daemon %s, which writes the claim, gave no answer", to).WithRetryAfter(writerRetryAfter).WithCause(cause)}
}

// finishRemotely stores an outcome through the row's first writer, and locally if
// the writer does not confirm it. Both may write it; the row accepts it only once.
func (c *Claims) finishRemotely(to id.Daemon, held claim.Claim, o claim.Outcome) {
	ctx, cancel := context.WithTimeout(c.duty.Context(), finishTimeout)
	defer cancel()
	reply, err := c.cfg.Writers.Finish(ctx, to, &FinishCall{Claim: held, Outcome: o})
	if err != nil || !reply.Stored {
		c.finishLocally(held, o)
	}
}

// HandleBegin claims a call for another daemon.
func (c *Claims) HandleBegin(ctx context.Context, from id.Daemon, call *BeginCall) BeginReply {
	b := call.Begin
	if b.Owner.Daemon != from || b.Token == "" || b.Key == "" {
		return BeginReply{Refusal: refusalOf(verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			"daemon %s can't claim for %s", from, b.Owner))}
	}
	r := c.beginLocally(ctx, b)
	if r.err != nil {
		return BeginReply{Refusal: refusalOf(r.err)}
	}
	return BeginReply{Claim: r.claim, Answer: r.answer}
}

// HandleFinish stores an outcome for another daemon and waits until it is stored.
func (c *Claims) HandleFinish(ctx context.Context, from id.Daemon, call *FinishCall) FinishReply {
	if call.Claim.Owner.Daemon != from || call.Claim.Token == "" || len(outcomeBody(call.Outcome)) > maxForwardedBody {
		return FinishReply{}
	}
	settled := make(chan bool, 1)
	token := call.Claim.Token
	posted := c.duty.PostContext(ctx, func(now time.Duration) {
		c.settling[token] = settled
		c.perform(c.core.Finish(now, call.Claim, call.Outcome))
	})
	if !posted {
		return FinishReply{}
	}
	select {
	case stored := <-settled:
		return FinishReply{Stored: stored}
	case <-ctx.Done():
	case <-c.duty.Context().Done():
	}
	c.duty.Post(func(time.Duration) { c.forgetSettling(token, settled) })
	return FinishReply{}
}

// forgetSettling removes a wait, unless a later wait under the same token has
// replaced it.
func (c *Claims) forgetSettling(t claim.Token, settled chan<- bool) {
	if c.settling[t] == settled {
		delete(c.settling, t)
	}
}

func outcomeBody(o claim.Outcome) []byte {
	if o.Answer == nil {
		return nil
	}
	return o.Answer.Body
}
