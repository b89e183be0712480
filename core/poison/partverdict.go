package poison

import (
	"iter"
	"slices"
	"time"
)

const (
	// partCrashes is after how many crashes a part is refused.
	partCrashes = 5
	// partMoments is how many of these must have come about independently of each other,
	// partRequests how many different requests with the part must have been there, and
	// partAlone at how many of them nothing else may be as likely a cause.
	partMoments, partRequests, partAlone = 4, 2, 3
	// verdictStep is how long a verdict is kept while the evidence stays the same.
	verdictStep = 100 * time.Millisecond
	// rivalFactor is how many times as many crashes as a part another cause must be
	// suspected of to explain the part's crashes.
	rivalFactor = 2
	// unknownFactor is how many times partCrashes are few beside requests of unknown parts.
	unknownFactor = 2
	// momentLength is the time within which crashes count as one event.
	momentLength = 50 * time.Millisecond
)

// partVerdict is what the crashes that count against a part come to.
type partVerdict struct {
	crashes int
	latest  time.Time
	// convicted is set if requests are refused; from firmFrom on no further report of the
	// first of these crashes can change that.
	convicted bool
	firmFrom  time.Time
	// companions are the parts that a request must hold to be refused from firmFrom on,
	// and early those before that.
	companions, early []Part
}

// refuses reports whether a request with the given parts is refused.
func (v *partVerdict) refuses(wall time.Time, set []Part) bool {
	needed := v.companions
	if wall.Before(v.firmFrom) {
		needed = v.early
	}
	return v.convicted && !slices.ContainsFunc(needed, func(c Part) bool { return !holdsPart(set, c) })
}

// verdicts keeps the verdicts of one state of the evidence.
type verdicts struct {
	lastChange uint64
	// step is the number of verdictSteps since 1970.
	step  int64
	parts map[Part]*partVerdict
}

// currentVerdicts returns the verdicts as of the present state of the evidence.
func (l *Ledger) currentVerdicts(wall time.Time) *verdicts {
	step := wall.UnixMilli() / verdictStep.Milliseconds()
	if v := &l.verdicts; v.parts == nil || v.lastChange != l.lastChange || v.step != step {
		l.verdicts = verdicts{lastChange: l.lastChange, step: step, parts: map[Part]*partVerdict{}}
	}
	return &l.verdicts
}

// partVerdict returns the verdict on a part.
//
// A part is convicted by partCrashes crashes that nothing explains better, if partRequests
// requests with it were there, at partMoments independent moments, and at partAlone of
// them no other request. A request is refused if it also holds the part's companions: the
// parts that were with it at each of these crashes and are not cleared since.
func (l *Ledger) partVerdict(wall time.Time, p Part) *partVerdict {
	if len(l.byPart[p]) == 0 {
		return &partVerdict{}
	}
	known := l.currentVerdicts(wall)
	v, ok := known.parts[p]
	if !ok {
		v = l.judgePart(wall, p)
		known.parts[p] = v
	}
	return v
}

func (l *Ledger) judgePart(wall time.Time, p Part) *partVerdict {
	crashes := l.partEvidence(wall, p)
	v := &partVerdict{crashes: len(crashes), latest: latestCrash(crashes)}
	if !suffice(p, crashes) {
		return v
	}
	rest := l.withoutConvicted(wall, p, l.unexplained(p, crashes))
	if !l.convicts(p, rest) {
		return v
	}
	first := partCrashes
	for !l.convicts(p, rest[:first]) {
		first++
	}
	v.firmFrom = time.UnixMilli(rest[first-1].AtUnixMS).Add(l.cfg.Settle)
	v.convicted = true
	v.companions, v.early = l.companions(p, rest, firmShare), l.companions(p, rest, earlyShare)
	return v
}

// convicts reports whether crashes are many and independent enough to convict a part: at
// partAlone of them nothing else may be as likely a cause, or nothing else that was there
// has been at more crashes.
func (l *Ledger) convicts(p Part, crashes []Crash) bool {
	return suffice(p, crashes) && (alone(p, crashes) >= partAlone || suffice(p, l.asTop(p, crashes)))
}

// suffice reports whether there are partCrashes crashes, by partRequests requests and at
// partMoments moments.
func suffice(p Part, crashes []Crash) bool {
	return len(crashes) >= partCrashes && requestsWith(p, crashes) >= partRequests && moments(p, crashes) >= partMoments
}

// unexplained returns the crashes of a part at which no request without it is suspected
// of far more.
func (l *Ledger) unexplained(p Part, crashes []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		return anyOf(rivals(p, c), func(s Suspect) bool { return l.leads(s, p, c, rivalFactor) })
	})
}

// asTop returns the crashes of a part at which no request without it is suspected of
// more. One of which the parts are not known may have any, while crashes are few.
func (l *Ledger) asTop(p Part, crashes []Crash) []Crash {
	few := len(l.byPart[p]) < unknownFactor*partCrashes
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool {
		return anyOf(rivals(p, c), func(s Suspect) bool { return (few && s.isUnknown()) || l.leads(s, p, c, 1) })
	})
}

// leads reports whether a request at a crash is suspected of more than the given number of
// times as many crashes as a part, or holds a part that is so, in so many more requests.
func (l *Ledger) leads(s Suspect, p Part, c Crash, times int) bool {
	if len(l.byFingerprint[s.Fingerprint]) > times*len(l.byPart[p]) && !l.clearedSince(s.Fingerprint, c) {
		return true
	}
	return slices.ContainsFunc(s.Parts, func(x Part) bool {
		return l.countsForPart(x, c) && l.strength(x) > times*l.strength(p) && len(l.byPart[x]) > times*len(l.byPart[p])
	})
}

// rivals yields the requests without a part that had just begun at a crash.
func rivals(p Part, c Crash) iter.Seq[Suspect] { return begunWith(p, c, false) }

// holders yields the requests with a part that had just begun at a crash.
func holders(p Part, c Crash) iter.Seq[Suspect] { return begunWith(p, c, true) }

func begunWith(p Part, c Crash, holds bool) iter.Seq[Suspect] {
	return func(yield func(Suspect) bool) {
		for i := range c.Running {
			s := &c.Running[i]
			if s.begun() && holdsPart(s.Parts, p) == holds && !yield(*s) {
				return
			}
		}
	}
}

func anyOf(seq iter.Seq[Suspect], is func(Suspect) bool) bool {
	for s := range seq {
		if is(s) {
			return true
		}
	}
	return false
}

// alone returns the number of crashes at which the endpoint was further with each request
// without the part than with one that holds it.
func alone(p Part, crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		least := Answering
		for s := range holders(p, c) {
			least = min(least, s.Progress)
		}
		if !anyOf(rivals(p, c), func(s Suspect) bool { return s.Progress <= least }) {
			n++
		}
	}
	return n
}

// requestsWith returns the number of different requests with a part.
func requestsWith(p Part, crashes []Crash) int {
	seen := map[Fingerprint]bool{}
	for _, c := range crashes {
		for s := range holders(p, c) {
			seen[s.Fingerprint] = true
		}
	}
	return len(seen)
}

// moments returns the number of independent moments at which crashes came about. A crash
// belongs to the moment before if it came shortly after its begin, or if its requests had
// been sent before that: what takes many endpoints at once is noticed one by one.
func moments(p Part, crashes []Crash) int {
	n, begin := 0, int64(0)
	for _, c := range crashes {
		if n == 0 || (c.AtUnixMS > begin+momentLength.Milliseconds() && lastSent(p, c) > begin) {
			n, begin = n+1, c.AtUnixMS
		}
	}
	return n
}

// lastSent returns when the last request with a part was sent to the endpoint of a crash;
// one for which that is not known counts as sent at the crash.
func lastSent(p Part, c Crash) int64 {
	var last int64
	for s := range holders(p, c) {
		sent := s.SentUnixMS
		if sent == 0 {
			sent = c.AtUnixMS
		}
		last = max(last, sent)
	}
	return last
}
