package kvsched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// What a request may lack.
const (
	causeNoPrefillEngine = "no prefill engine is free"
	causeNoMemory        = "no decode engine has memory"
	causeNoEngine        = "no engine can be used"
	causeLate            = "late requests wait until the pool has room to spare"
)

// pump grants what can be granted.
func (l *Ledger) grantWaiting(actions []sched.Action) []sched.Action {
	if l.now < l.settled || len(l.queue) == 0 {
		return actions
	}
	l.sortQueue()
	defer l.clearSetAside()
	l.scan.begin(l.queue)
	for _, w := range l.scan.queue {
		action, passable := l.try(w)
		if action != nil {
			actions = append(actions, *action)
		}
		if !passable {
			break
		}
	}
	return actions
}

// sortQueue puts those whose prompt was read first, then those in time, then by
// priority, then by their teams' shares, then by age.
func (l *Ledger) sortQueue() {
	for _, w := range l.queue {
		w.tooLate = !w.want.Prefilled && l.late(w)
	}
	l.sortByShares(l.queue)
}

// inOrder sorts requests into the order in which they are granted.
func (l *Ledger) sortByShares(queue []*waiting) {
	byAge(queue)
	if !l.sharesByTeam() {
		return
	}
	l.fairQueue.assignStartTags(queue)
	slices.SortStableFunc(queue, func(a, b *waiting) int { return cmp.Or(byRank(a, b), cmp.Compare(a.startTag, b.startTag)) })
}

// byAge sorts requests by rank, then by age.
func byAge(queue []*waiting) {
	slices.SortStableFunc(queue, func(a, b *waiting) int { return cmp.Or(byRank(a, b), cmp.Compare(a.arrived, b.arrived)) })
}

// byRank puts what goes before all others first, whatever its team and age.
func byRank(a, b *waiting) int {
	return cmp.Or(
		falseFirst(!a.want.Prefilled, !b.want.Prefilled),
		falseFirst(a.tooLate, b.tooLate),
		cmp.Compare(b.want.Priority, a.want.Priority),
	)
}

// sharesByTeam says whether the requests' teams matter for their order: there
// are any.
func (l *Ledger) sharesByTeam() bool { return l.enabled(TeamShares) && l.fairQueue.hasTeams() }

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// late says whether a request granted now would miss its target.
func (l *Ledger) late(w *waiting) bool {
	return l.now+l.firstToken.expected(w.want.PromptTokens) > w.target
}

// readTimeOf is how long an engine that nothing is known of takes to read a prompt.
func initialPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / initialPrefillRate * float64(time.Second))
}

// try grants one request if it can be. It is passable if those behind it may
// be tried.
func (l *Ledger) try(w *waiting) (granted *sched.Action, passable bool) {
	decode, cause := l.chooseInitialDecode(w)
	if decode == nil {
		w.blocked = cause
		return nil, cause == causeNoMemory && l.passable(w)
	}
	if w.want.Prefilled {
		return l.grant(w, nil, decode), true
	}
	if w.tooLate && !l.memoryForLate() {
		w.blocked = causeLate
		return nil, false
	}
	if decode.role == live.RoleWhole {
		return l.grant(w, nil, decode), true
	}
	prefill := l.choosePrefill(w, decode)
	if prefill == nil {
		w.blocked = causeNoPrefillEngine
		return l.grantLocalPrefill(w)
	}
	// Known where the prompt is read, the decode engine nearest to it is better.
	if near, _ := l.chooseDecode(w, prefill); near != nil {
		decode = near
	}
	return l.grant(w, prefill, decode), true
}

// keptShare is the share of the decode engines that are kept for requests which
// don't fit on any yet; one at least.
const maxSetAsideShare = 0.2

// passable says whether others may pass a request that fits on no engine. For a
// while they may; then an engine is kept for it, so that the others can have
// what is free on the rest without its waiting for ever. Where too many engines
// are kept already, nobody passes.
func (l *Ledger) passable(w *waiting) bool {
	if l.now-w.arrived < l.options.BypassAfter && !w.want.Prefilled || !l.enabled(KeptEngine) {
		return true
	}
	writers, kept := 0, 0
	for _, e := range l.order {
		if e.decodesHere() && e.available(l.now) {
			writers++
		}
		if e.setAside {
			kept++
		}
	}
	if kept >= max(1, int(maxSetAsideShare*float64(writers))) {
		return false
	}
	roomiest := l.mostFree(w)
	if roomiest == nil {
		return false
	}
	roomiest.setAside = true
	return true
}

// roomiest is the decode engine that will have room for a request first: the
// one that has the most left.
func (l *Ledger) mostFree(w *waiting) *endpoint {
	for _, e := range l.byFreeShare() {
		if l.usable(e, w) {
			return e
		}
	}
	return nil
}

// byRoom lists the engines that write, the one with the most left first; worked
// out once a look.
func (l *Ledger) byFreeShare() []*endpoint {
	if len(l.scan.byFreeShare) > 0 {
		return l.scan.byFreeShare
	}
	for _, e := range l.order {
		if e.decodesHere() {
			e.freeShare = l.freeShare(e)
			l.scan.byFreeShare = append(l.scan.byFreeShare, e)
		}
	}
	slices.SortStableFunc(l.scan.byFreeShare, func(a, b *endpoint) int { return cmp.Compare(b.freeShare, a.freeShare) })
	return l.scan.byFreeShare
}

// keepNone ends the keeping of engines: it holds for one look at the queue.
func (l *Ledger) clearSetAside() {
	for _, e := range l.order {
		e.setAside = false
	}
}

// queueTime is how long the prefill engines take to read all prompts in the
// queue: what the last of them waits.
func (l *Ledger) queuePrefillTime() time.Duration {
	tokens, rate := 0, 0.0
	for _, w := range l.queue {
		tokens += w.want.PromptTokens
	}
	for _, e := range l.order {
		if e.role == live.RolePrefill && e.available(l.now) {
			rate += e.prefillRate.perSecond()
		}
	}
	if rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// prefillWait is how long until a prefill engine is free.
func (l *Ledger) prefillWait() time.Duration {
	wait := never
	for _, e := range l.order {
		if e.role == live.RolePrefill && e.available(l.now) {
			wait = min(wait, e.startAt(l.now)-l.now)
		}
	}
	return min(wait, time.Hour)
}

// roomForLate says whether the pool has memory to spare.
func (l *Ledger) memoryForLate() bool {
	memory, free := 0, 0
	for _, e := range l.order {
		if e.decodesHere() && e.available(l.now) {
			memory += e.memory
			free += max(0, e.memory-int(l.peak(e, nil)))
		}
	}
	return float64(free) >= l.options.LateFreeShare*float64(memory)
}

// nearBonus is what an engine in the same failure domain is worth, as a share
// of an engine's memory: the KV cache's way is half as long there.
const sameDomainBonus = 0.15

// chooseDecode picks the decode engine with the most room that the request
// fits on; one near the prefill engine, if that is known, is preferred.
func (l *Ledger) chooseDecode(w *waiting, prefill *endpoint) (*endpoint, string) {
	cause := causeNoEngine
	var best *endpoint
	bestScore := 0.0
	for _, e := range l.order {
		if !e.decodesHere() || !l.usable(e, w) {
			continue
		}
		score, ok := l.fits(e, w)
		if !ok {
			cause = causeNoMemory
			continue
		}
		if prefill != nil && prefill.domain == e.domain {
			score += sameDomainBonus
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best, cause
}

// choosePrefill picks the prefill engine that is free first, within the
// horizon; among equals one near the decode engine.
func (l *Ledger) choosePrefill(w *waiting, decode *endpoint) *endpoint {
	var best *endpoint
	var bestAt time.Duration
	for _, e := range l.order {
		if e.role != live.RolePrefill || !l.usable(e, w) || len(e.prefills) >= max(1, e.slots) {
			continue
		}
		start := e.startAt(l.now)
		if start > l.now+l.options.Horizon {
			continue
		}
		at := start + e.prefillTime(w.want.PromptTokens)
		if e.domain == decode.domain {
			at -= sameDomainLead
		}
		if best == nil || at < bestAt {
			best, bestAt = e, at
		}
	}
	return best
}

// nearHead is how much later a prefill engine in the decode engine's failure
// domain may end and still be preferred.
const sameDomainLead = 5 * time.Millisecond

// usable says whether an endpoint may serve this request at all.
func (l *Ledger) usable(e *endpoint, w *waiting) bool {
	if e.setAside || !e.available(l.now) || slices.Contains(w.want.Avoid, e.name) {
		return false
	}
	return l.options.Health == nil || l.options.Health.Allowed(e.name)
}

// grant reserves and answers. A request whose prompt was read needs no prefill
// engine.
func (l *Ledger) grant(w *waiting, prefill, decode *endpoint) *sched.Action {
	l.serial++
	r := &reservation{
		want:      w.want,
		tokens:    w.tokens,
		output:    w.output,
		prefill:   prefill,
		decode:    decode,
		grantedAt: l.now,
		expires:   l.now + l.options.ExpiresIn,
		lifetime:  w.lifetime,
	}
	r.grant = sched.Grant{
		Request:     w.want.Request,
		Decode:      decode.name,
		Reservation: l.serial,
		Owner:       l.options.Self,
		ExpiresIn:   l.options.ExpiresIn,
	}
	start := l.now
	if prefill != nil {
		r.grant.Prefill = prefill.name
		start = prefill.startAt(l.now)
		prefill.addPrefill(l.now, r)
		l.prefillWork += prefill.prefillTime(r.want.PromptTokens)
	} else if decode.role == live.RoleDecode {
		// A prefill engine would have read it, had one been free.
		l.prefillWork += initialPrefillTime(r.want.PromptTokens)
	}
	r.grant.Reason = fmt.Sprintf("waited %v, starts in %v, %d tokens beside %d requests with %d of %d",
		(l.now - w.arrived).Round(time.Millisecond), (start - l.now).Round(time.Millisecond),
		w.tokens, len(decode.decodes), l.held(decode), decode.memory)
	decode.addDecode(r)
	l.addReservation(r)
	l.fairQueue.granted(w)
	if l.waiting[w.want.Request] != nil {
		l.unqueue(w)
		l.serviceRate.granted(w.tokens)
	}
	grant := r.grant
	return &sched.Action{To: w.want.From, Grant: &grant}
}
