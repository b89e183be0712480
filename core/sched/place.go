package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

const (
	// perDomain bounds the endpoints of each role and failure domain that a
	// decision considers.
	perDomain = 3
	// bypassTeams bounds the blocked teams that a decision bypasses, bypassDepth
	// the requests that it tries of one team.
	bypassTeams = 8
	bypassDepth = 4
)

// candidates holds buffers that decisions reuse.
type candidates struct {
	prefills []prefillChoice
	decodes  []*endpoint
	pairs    []pair
	aside    []*team
	memo     []linkMemo
}

// dispatch grants queued requests in the order of the fair queue until none can
// be granted.
func (l *Ledger) dispatch(actions []Action) []Action {
	l.blocked = false
	for l.queue.queued > 0 {
		l.queue.markHeavy(len(l.granted), l.activeWeights())
		granted := l.grantNext()
		if granted == nil {
			l.blocked = true
			return actions
		}
		actions = append(actions, *granted)
	}
	return actions
}

// activeWeightsInterval is how long a sum of the active teams' weights is reused.
const activeWeightsInterval = 5 * time.Millisecond

// activeWeights returns the sum of the weights of the teams that have requests in
// the pool. The sum may be out of date by activeWeightsInterval.
func (l *Ledger) activeWeights() float64 {
	if l.now-l.activeSum.at < activeWeightsInterval && l.activeSum.sum > 0 {
		return l.activeSum.sum
	}
	l.activeSum = timedSum{at: l.now}
	for _, t := range l.teams {
		if t.inFlight() > 0 {
			l.activeSum.sum += t.weight
		}
	}
	return l.activeSum.sum
}

// grantNext grants the first request in order that can be granted. It bypasses
// only requests that are blocked for a cause of their own: if requests that lack
// a slot were bypassed, requests that accept more risk would starve them.
func (l *Ledger) grantNext() *Action {
	var granted *Action
	aside := l.scratch.aside[:0]
	for len(l.queue.teams) > 0 && len(aside) < bypassTeams {
		t := l.queue.teams[0]
		action, mayBypass := l.grantFrom(t)
		granted = action
		if granted != nil || !mayBypass {
			break
		}
		l.queue.setAside(t)
		aside = append(aside, t)
	}
	for _, t := range aside {
		l.queue.restore(t)
	}
	l.scratch.aside = aside[:0]
	return granted
}

// grantFrom tries to grant one of a team's next requests. mayBypass is true if
// the team may be bypassed.
func (l *Ledger) grantFrom(t *team) (granted *Action, mayBypass bool) {
	for n := range bypassDepth {
		w := t.nth(n)
		if w == nil {
			return nil, true
		}
		chosen, cause := l.choose(w)
		w.blocked = cause
		if chosen != nil {
			return l.grant(w, chosen, cause), false
		}
		if !isRequestSpecific(w, cause) {
			return nil, false
		}
	}
	return nil, true
}

// isRequestSpecific is true if a request is blocked for a cause of its own.
func isRequestSpecific(w *waiting, cause string) bool {
	return w.want.Suspect || len(w.want.Avoid) > 0 || cause == deadlineFilter{}.name()
}

// choose runs the pipeline for a request. The string is the reason for the
// choice, or the name of the filter that rejected the last candidate.
func (l *Ledger) choose(w *waiting) (*pair, string) {
	c := l.newCycle(w)
	l.findDecodes(c, w)
	if len(l.scratch.decodes) == 0 {
		return nil, c.blocked
	}
	l.findPrefills(c, w)
	if len(l.scratch.prefills) == 0 {
		return nil, c.blocked
	}
	l.findPairs(c)
	l.scratch.memo = c.memo[:0]
	best := l.pipeline.picker.pick(c, l.scratch.pairs)
	if best < 0 {
		return nil, c.blocked
	}
	chosen := &l.scratch.pairs[best]
	reason := fmt.Sprintf("best of %d pairs of %d prefill and %d decode endpoints, score %.4f",
		len(l.scratch.pairs), len(l.scratch.prefills), len(l.scratch.decodes), chosen.score)
	return chosen, reason
}

// newCycle returns the state of a new decision.
func (l *Ledger) newCycle(w *waiting) *cycle {
	l.cycle = cycle{
		now:       l.now,
		options:   &l.options,
		want:      &w.want,
		service:   w.service,
		settling:  l.settling(),
		model:     l.model,
		waited:    l.now - w.arrived,
		meanQueue: l.fleet.meanQueue(),
		kvBytes:   w.service.estimate.kvBytes(&w.want),
		probe:     l.mayProbe(w.service, l.now-w.arrived+w.minFirstToken),
		memo:      l.scratch.memo[:0],
		blocked:   "none",
	}
	return &l.cycle
}

// findDecodes collects from each failure domain the endpoints with the most free
// slots or the earliest predicted release.
func (l *Ledger) findDecodes(c *cycle, w *waiting) {
	found := l.scratch.decodes[:0]
	l.fleet.roles[w.service.role()].nearest(perDomain, func(e *endpoint) (bool, bool) {
		if e.key.class == noCapacity {
			c.blocked = slotFilter{}.name()
			return false, false
		}
		if !keepAll(l.pipeline.perRequest, c, e) {
			return false, true
		}
		found = append(found, e)
		return true, true
	})
	l.scratch.decodes = found
}

// findPrefills collects the engines that are idle within the horizon, and those
// that have the prompt's prefix cached if this justifies the wait for them.
func (l *Ledger) findPrefills(c *cycle, w *waiting) {
	found := l.scratch.prefills[:0]
	if w.service.plain {
		l.scratch.prefills = append(found, prefillChoice{start: l.now})
		return
	}
	until := l.now + l.options.Horizon
	l.fleet.roles[live.RolePrefill].nearest(perDomain, func(e *endpoint) (bool, bool) {
		if e.key.at > until {
			c.blocked = "prefill"
			return false, false
		}
		if e.overdue(l.now) || !keepAll(l.pipeline.perRequest, c, e) {
			return false, true
		}
		found = append(found, l.prefillChoice(e, w))
		return true, true
	})
	l.scratch.prefills = l.addAffinityCandidates(c, w, found)
}

// addAffinityCandidates adds the engines that have the prompt's prefix cached.
func (l *Ledger) addAffinityCandidates(c *cycle, w *waiting, found []prefillChoice) []prefillChoice {
	if len(w.want.Prefix) == 0 {
		return found
	}
	for _, e := range l.caches.find(w.want.Prefix[0]) {
		known := slices.ContainsFunc(found, func(p prefillChoice) bool { return p.endpoint == e })
		if known || !e.indexed || e.indexedRole != live.RolePrefill || e.overdue(l.now) {
			continue
		}
		choice := l.prefillChoice(e, w)
		if choice.start-l.now > l.maxAffinityWait(&choice) || !keepAll(l.pipeline.perRequest, c, e) {
			continue
		}
		found = append(found, choice)
	}
	return found
}

// maxAffinityWait returns how long to wait for an engine that has the prefix
// cached: the time that the prefix saves, up to AffinityWait.
func (l *Ledger) maxAffinityWait(p *prefillChoice) time.Duration {
	saved := seconds(float64(p.cachedTokens) / p.endpoint.prefillRate.mean)
	return min(saved, l.options.AffinityWait)
}

// prefillChoice predicts the prefill on an engine.
func (l *Ledger) prefillChoice(e *endpoint, w *waiting) prefillChoice {
	cached := l.cachedTokens(e, &w.want)
	tokens := max(1, w.want.PromptTokens-cached)
	return prefillChoice{
		endpoint:     e,
		cachedTokens: cached,
		start:        max(l.now, e.busyUntil, e.fullUntil),
		took:         seconds(float64(tokens) / e.prefillRate.mean),
	}
}

// findPairs filters and scores the pairs.
func (l *Ledger) findPairs(c *cycle) {
	pairs := l.scratch.pairs[:0]
	for _, p := range l.scratch.prefills {
		for _, d := range l.scratch.decodes {
			pairs = append(pairs, pair{prefill: p, decode: d})
			candidate := &pairs[len(pairs)-1]
			if p.endpoint != nil {
				candidate.link = l.linkBetween(p.endpoint.domain, d.domain)
			}
			if !l.keepPair(c, candidate) {
				pairs = pairs[:len(pairs)-1]
				continue
			}
			for _, s := range l.pipeline.scorers {
				candidate.score += s.score(c, candidate)
			}
			candidate.tie = l.random.Uint64()
		}
	}
	l.scratch.pairs = pairs
}

// keepPair applies the pair filters.
func (l *Ledger) keepPair(c *cycle, p *pair) bool {
	for _, f := range l.pipeline.pairs {
		if !f.keepPair(c, p) {
			c.blocked = f.name()
			return false
		}
	}
	return true
}
