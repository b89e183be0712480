package claim

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// StoreReply handles the store's reply to a transaction.
func (c *Claims) StoreReply(now time.Duration, id StoreCallID, r table.Reply) []Action {
	c.advance(now)
	k := c.endStoreCall(id)
	if k == nil {
		return c.flush()
	}
	c.resetBackoff()
	if r.Applied {
		c.applied(k.ops, r.Versions)
	} else {
		c.notApplied(k.ops, r.Failed)
	}
	return c.flush()
}

func (c *Claims) applied(ops []*op, versions []uint64) {
	for i, o := range ops {
		if o.phase != phaseWriting {
			continue
		}
		if i >= len(versions) {
			o.writeUncertain = true
			c.queueRead(o)
			continue
		}
		c.writeApplied(o, versions[i])
	}
}

// writeApplied handles a write that took effect.
func (c *Claims) writeApplied(o *op, version uint64) {
	switch {
	case o.kind == opBegin:
		c.proceed(o, version)
	case o.sentState == StateClaimed:
		// The Begin was abandoned while its write was in flight.
		o.expectedVersion = version
		c.queueWrite(o)
	default:
		c.complete(o)
	}
}

func (c *Claims) proceed(o *op, version uint64) {
	c.stats.Proceeds++
	c.recent.Add(o.row, struct{}{})
	c.emit(Action{Proceed: &Proceed{Claim: o.claim(version)}})
	c.done(o)
}

// complete ends a Finish or Release whose row has the state that it writes.
func (c *Claims) complete(o *op) {
	if o.kind == opRelease {
		c.stats.Releases++
		c.recent.Remove(o.row)
	}
	c.settle(o, true)
	c.done(o)
}

// notApplied reads the rows whose condition failed and requeues the other writes.
func (c *Claims) notApplied(ops []*op, failed []string) {
	var rest []*op
	for _, o := range ops {
		switch {
		case o.phase != phaseWriting:
		case slices.Contains(failed, o.row):
			c.conditionFailed(o)
		default:
			rest = append(rest, o)
		}
	}
	if len(rest) == len(ops) {
		// The reply does not name the rows whose condition failed.
		for _, o := range rest {
			c.conditionFailed(o)
		}
		return
	}
	c.requeueWrites(rest)
}

func (c *Claims) conditionFailed(o *op) {
	o.staleVersion = max(o.staleVersion, o.expectedVersion)
	c.queueRead(o)
}

// ReadReply handles the rows of a read, which may be stale. A key without a row
// counts as absent.
func (c *Claims) ReadReply(now time.Duration, id StoreCallID, rows []table.Row) []Action {
	c.advance(now)
	k := c.endStoreCall(id)
	if k == nil {
		return c.flush()
	}
	c.resetBackoff()
	byKey := make(map[string]table.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	for _, o := range k.ops {
		if o.phase == phaseReading {
			c.handleRow(o, byKey[o.row])
		}
	}
	return c.flush()
}

// handleRow decides how an op goes on after its row was read; the read may be
// stale.
func (c *Claims) handleRow(o *op, stored table.Row) {
	if stored.Version == 0 {
		c.rowAbsent(o)
		return
	}
	if o.stale(stored.Version) {
		c.delayRead(o)
		return
	}
	row, err := DecodeRow(stored.Value)
	if err != nil {
		c.rowUnreadable(o, err)
		return
	}
	switch o.kind {
	case opBegin:
		c.decideBegin(o, row, stored.Version)
	case opFinish:
		c.decideFinish(o, row, stored.Version)
	case opRelease:
		c.decideRelease(o, row, stored.Version)
	}
}

// rowAbsent handles a read that found no row. Only a write that expects no row
// can show whether the read was stale.
func (c *Claims) rowAbsent(o *op) {
	if o.kind == opFinish {
		c.delayRead(o)
		return
	}
	o.expectedVersion = 0
	c.queueWrite(o)
}

func (c *Claims) rowUnreadable(o *op, err error) {
	if o.kind == opBegin {
		c.refuse(o, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the claim row can't be read").WithCause(err))
	} else {
		c.settle(o, false)
	}
	c.done(o)
}

func (c *Claims) decideBegin(o *op, row Row, version uint64) {
	switch {
	case row.Token == o.token && row.State == StateClaimed:
		c.proceed(o, version)
	case row.Token == o.token && row.State == StateReleased:
		c.refuse(o, verdict.New(verdict.NotRun, verdict.CodeSuperseded, "the owner has given this claim up"))
		c.done(o)
	case c.claimable(row):
		o.expectedVersion = version
		c.queueWrite(o)
	case row.RequestHash != o.hash || row.State == StateClaimed:
		c.recent.Add(o.row, struct{}{})
		c.refuse(o, refusal(row.RequestHash == o.hash, c.cfg.OwnerAlive(row.Owner)))
		c.done(o)
	default:
		c.recent.Add(o.row, struct{}{})
		c.answerOutcome(o, row.Outcome)
		c.done(o)
	}
}

// claimable reports whether a new claim may overwrite the row.
func (c *Claims) claimable(row Row) bool {
	if row.State == StateReleased {
		return true
	}
	if !c.clockTrusted() || !row.Expired(c.wall) {
		return false
	}
	return row.State == StateFinished || !c.cfg.OwnerAlive(row.Owner)
}

func (c *Claims) answerOutcome(o *op, out Outcome) {
	if out.Answer != nil {
		c.stats.Replays++
		c.emit(Action{Replay: &Replay{Token: o.token, Answer: *out.Answer}})
		return
	}
	f := out.Failure
	if f == nil {
		f = &Failure{Verdict: verdict.MayHaveRun, Code: verdict.CodeInternal, Message: "the stored outcome is empty"}
	}
	c.refuse(o, verdict.New(f.Verdict, f.Code, "an earlier call under this key failed: %s", f.Message))
}

func (c *Claims) decideFinish(o *op, row Row, version uint64) {
	switch {
	case row.Token == o.token && row.State == StateFinished:
		c.complete(o)
	case row.Token == o.token && row.State == StateClaimed:
		o.expectedVersion = version
		c.queueWrite(o)
	default:
		c.settle(o, false)
		c.done(o)
	}
}

// decideRelease releases the op's own row. It also overwrites a claimable row of
// another attempt, so that the op's own claim write fails if it is still in
// flight.
func (c *Claims) decideRelease(o *op, row Row, version uint64) {
	own := row.Token == o.token
	switch {
	case own && row.State == StateReleased:
		c.complete(o)
	case own && row.State == StateClaimed, !own && c.claimable(row):
		o.expectedVersion = version
		c.queueWrite(o)
	default:
		c.settle(o, true)
		c.done(o)
	}
}

// refusal returns the error for a call whose key is held by another call.
func refusal(sameRequest, ownerAlive bool) *verdict.Error {
	if !sameRequest {
		return verdict.New(verdict.NotRun, verdict.CodeConflict,
			"the idempotency key was used for another request")
	}
	if !ownerAlive {
		return verdict.New(verdict.MayHaveRun, verdict.CodeClaimed,
			"an earlier call under this key was lost with its daemon and may have run")
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeClaimed,
		"a call under this key is running").WithRetryAfter(defaultRetryAfter)
}
