package kvsched

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/fairshare"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Causes for which a waiting request is not granted.
const (
	causeNoPrefillEngine = "no prefill engine is free"
	causeNoMemory        = "no decode engine has memory"
	causeNoEngine        = "no engine can be used"
	causeLate            = "late requests wait until the pool has room to spare"
	causeSettling        = "the pool's owner has just started"
	causeUntried         = "its patience ended before it was tried"
)

// grantWaiting scans the queue and grants the requests that can be granted.
func (l *Ledger) grantWaiting(actions []sched.Action) []sched.Action {
	if l.now < l.settled || len(l.queue) == 0 {
		return actions
	}
	l.sortQueue()
	defer l.clearSetAside()
	l.scan.begin(l.queue)
	for i, w := range l.scan.queue {
		if l.noneLeft(i) {
			break
		}
		action, passable := l.try(w)
		if action != nil {
			actions = append(actions, *action)
		}
		if !passable {
			l.scan.stoppedBy = w.blocked
			break
		}
	}
	return actions
}

// sortQueue sorts the queue: prefilled requests first, then those that can be
// in time, then by priority, team share and age.
func (l *Ledger) sortQueue() {
	for _, w := range l.queue {
		late := !w.want.Prefilled && l.late(w)
		// One that the forecast let wait has been promised its turn.
		w.tooLate, w.overdue = late && !w.promised, late && w.promised
	}
	if l.sharesByTeam() {
		fairshare.Sort(l.queue, l.shares)
		return
	}
	fairshare.SortByAge(l.queue)
}

// sharesByTeam reports whether team shares affect the order: the mechanism is
// enabled and there are teams.
func (l *Ledger) sharesByTeam() bool { return l.enabled(TeamShares) && l.shares.HasTeams() }

// late reports whether a request granted now would miss its target.
func (l *Ledger) late(w *waiting) bool {
	return l.now+l.firstToken.expected(w.want.PromptTokens) > w.target
}

// initialPrefillTime returns the prefill time of a prompt at the initial rate,
// for an engine without samples.
func initialPrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / initialPrefillRate * float64(time.Second))
}

// try grants one request if possible. passable reports whether the requests
// after it may be tried.
func (l *Ledger) try(w *waiting) (granted *sched.Action, passable bool) {
	decode, cause := l.chooseInitialDecode(w)
	if decode == nil {
		w.blocked = cause
		if cause == causeNoEngine {
			return nil, l.tied(w)
		}
		return nil, cause == causeNoMemory && l.passable(w)
	}
	if w.want.Prefilled {
		return l.grant(w, nil, decode), true
	}
	if w.tooLate && !l.memoryForLate() {
		w.blocked = causeLate
		return nil, false
	}
	if l.reserved(w) {
		w.blocked = causeReserved
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
	// With the prefill engine known, a decode engine in its failure domain is
	// preferred.
	return l.grant(w, prefill, l.best(prefill)), true
}

// maxSetAsideShare is the largest share of the decode engines that are set
// aside for requests that fit on none yet; at least one engine may be.
const maxSetAsideShare = 0.2

// passable reports whether other requests may bypass one that fits on no
// engine. During the bypass time they may; after it an engine is set aside for
// the request, so that the others can use the free memory of the rest without
// starving it. If too many engines are set aside already, nothing bypasses it, unless
// it is tied to some of the engines only.
func (l *Ledger) passable(w *waiting) bool {
	if l.now-w.arrived < l.options.BypassAfter && !w.want.Prefilled || !l.enabled(KeptEngine) {
		return true
	}
	decoding, setAside := 0, 0
	for _, e := range l.order {
		if e.decodesHere() && e.available(l.now) {
			decoding++
		}
		if e.setAside {
			setAside++
		}
	}
	if setAside >= max(1, int(maxSetAsideShare*float64(decoding))) {
		return l.tied(w)
	}
	candidate := l.mostFree(w)
	if candidate == nil {
		return l.tied(w)
	}
	candidate.setAside = true
	return true
}

// tied reports whether a request may go to engines of one software version only while others
// decode as well, which the requests behind it need not wait for.
func (l *Ledger) tied(w *waiting) bool {
	return w.want.Software != "" && slices.ContainsFunc(l.order, func(e *endpoint) bool {
		return e.decodesHere() && e.software != w.want.Software
	})
}

// clearSetAside ends the setting aside of engines, which lasts for one scan of
// the queue.
func (l *Ledger) clearSetAside() {
	for _, e := range l.order {
		e.setAside = false
	}
}

// queuePrefillTime returns how long the prefill engines take for all prompts in
// the queue, which is the wait of the last one.
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

// prefillWait returns the time until a prefill engine is free.
func (l *Ledger) prefillWait() time.Duration {
	wait := never
	for _, e := range l.order {
		if e.role == live.RolePrefill && e.available(l.now) {
			wait = min(wait, e.startAt(l.now)-l.now)
		}
	}
	return min(wait, time.Hour)
}

// memoryForLate reports whether the pool has enough free memory for late
// requests.
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

// grant reserves the engines for a request and returns the answer. An already
// prefilled request needs no prefill engine.
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
		// A free prefill engine would have done this prefill.
		l.prefillWork += initialPrefillTime(r.want.PromptTokens)
	}
	r.grant.Reason = fmt.Sprintf("waited %v, starts in %v, %d tokens beside %d requests with %d of %d",
		(l.now - w.arrived).Round(time.Millisecond), (start - l.now).Round(time.Millisecond),
		w.tokens, len(decode.decodes), l.held(decode), decode.memory)
	decode.addDecode(r)
	l.addReservation(r)
	l.shares.Granted(w.Team(), w.startTag, w.Cost())
	l.outlook.granted += float64(w.tokens) / max(1, l.outlook.size)
	l.forecastError.granted(l.now, w, l.late(w))
	if l.waiting[w.want.Request] != nil {
		l.unqueue(w)
		l.serviceRate.granted(w.tokens)
	}
	grant := r.grant
	return &sched.Action{To: w.want.From, Grant: &grant}
}
