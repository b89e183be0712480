package poison

import (
	"slices"
	"time"
)

// A part may be at the crashes of another one: because the same requests hold both, or
// because its own requests are resumed beside the other's time and again. It is then to
// be refused only together with that other part, which is its companion.

// share is how often a part must come with another one to be its companion.
type share struct {
	// crashes is in how many of each hundred crashes of the other it must have been.
	crashes int
	// requests is in how many of each hundred requests with the other it must be.
	requests int
}

var (
	// firmShare is not all, since reports may be lost, and endpoints crash by chance.
	firmShare = share{crashes: 75, requests: 50}
	// earlyShare holds while reports may be on their way: what is innocent and shared by
	// many may then seem to have been without the part that is to blame.
	earlyShare = share{crashes: 33, requests: 33}
)

// companions returns the parts that were at the given share of the crashes of a part and
// are not cleared since: in that share of the requests with the part, which itself is one
// of them, or in another one if they were in more requests than it.
func (l *Ledger) companions(p Part, crashes []Crash, least share) []Part {
	requests, held := map[Fingerprint]bool{}, map[Part]map[Fingerprint]bool{}
	at := map[Part]int{}
	for _, c := range crashes {
		for s := range holders(p, c) {
			requests[s.Fingerprint] = true
			for _, x := range s.Parts {
				if held[x] == nil {
					held[x] = map[Fingerprint]bool{}
				}
				held[x][s.Fingerprint] = true
			}
		}
		for _, x := range sortedParts(l.beside(p, c)) {
			at[x]++
		}
	}
	var out []Part
	for x, n := range at {
		isIn := len(held[x]) == 0 || 100*len(held[x]) >= least.requests*len(requests)
		if isIn && 100*n >= least.crashes*len(crashes) {
			out = append(out, x)
		}
	}
	slices.SortFunc(out, compareParts)
	return out
}

// beside returns the parts at a crash that may be companions of a part.
func (l *Ledger) beside(p Part, c Crash) []Part {
	var out []Part
	for _, s := range c.Running {
		if !s.begun() {
			continue
		}
		same := holdsPart(s.Parts, p)
		for _, x := range s.Parts {
			if l.countsForPart(x, c) && (same || l.strength(x) > l.strength(p)) {
				out = append(out, x)
			}
		}
	}
	return out
}

// withoutConvicted returns the crashes of a part at which a request with it held another
// one that more requests at crashes hold and that is convicted, and not only together with
// it. A sound part that requests with several deadly ones share is at the crashes of each.
func (l *Ledger) withoutConvicted(wall time.Time, p Part, crashes []Crash) []Crash {
	return slices.DeleteFunc(crashes, func(c Crash) bool {
		return anyOf(holders(p, c), func(s Suspect) bool { return l.holdsConvicted(wall, s, p, c) })
	})
}

func (l *Ledger) holdsConvicted(wall time.Time, s Suspect, p Part, c Crash) bool {
	return slices.ContainsFunc(s.Parts, func(x Part) bool {
		if !l.countsForPart(x, c) || l.strength(x) <= l.strength(p) {
			return false
		}
		v := l.partVerdict(wall, x)
		return v.convicted && !holdsPart(v.companions, p)
	})
}

// strength returns the number of different requests with a part at the newest crashes that
// count against it.
func (l *Ledger) strength(p Part) int {
	if l.strengths.lastChange != l.lastChange || l.strengths.of == nil {
		l.strengths = strengths{lastChange: l.lastChange, of: map[Part]int{}}
	}
	n, ok := l.strengths.of[p]
	if !ok {
		n = requestsWith(p, l.newest(p))
		l.strengths.of[p] = n
	}
	return n
}

// strengths keeps the strength of parts in one state of the evidence.
type strengths struct {
	lastChange uint64
	of         map[Part]int
}
