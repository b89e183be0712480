package poison

import (
	"cmp"
	"slices"
	"time"
)

// maxWeighed bounds the crashes, the newest, that are weighed for one part.
const maxWeighed = 32

// PartFinding is the worst standing among the parts of a request and the reason for it.
type PartFinding struct {
	// Standing is Held or Quarantined if the request is to be refused.
	Standing Standing
	// Part is the part with that standing; it is zero for Clear.
	Part Part
	// Crashes is the number of crashes that count against the part.
	Crashes int
	// Until is the end of Held or Quarantined.
	Until time.Time
}

// CheckParts returns how a request with the given parts, in any order, is to be treated.
//
// A crash counts against a part that has not succeeded since if a request with it had
// just begun there. See refusesPart for what convicts it.
func (l *Ledger) CheckParts(wall time.Time, parts []Part) PartFinding {
	l.mu.Lock()
	defer l.mu.Unlock()
	worst := PartFinding{Standing: Clear}
	if len(l.byPart) == 0 {
		return worst
	}
	set := sortedParts(lookedAt(parts))
	for _, p := range set {
		f := l.checkPart(wall, p, set)
		if cmp.Or(cmp.Compare(f.Standing, worst.Standing), cmp.Compare(f.Crashes, worst.Crashes)) > 0 {
			worst = f
		}
	}
	return worst
}

// checkPart returns the standing of a part in a request with the given parts.
func (l *Ledger) checkPart(wall time.Time, p Part, set []Part) PartFinding {
	v := l.partVerdict(wall, p)
	out := PartFinding{Standing: Clear, Part: p, Crashes: v.crashes}
	switch {
	case v.crashes == 0:
		out.Part = Part{}
	case v.refuses(wall, set) && wall.Before(v.firmFrom):
		out.Standing, out.Until = Held, v.firmFrom
	case v.refuses(wall, set):
		out.Standing, out.Until = Quarantined, v.latest.Add(l.cfg.Quarantine)
	case v.crashes == 1:
		out.Standing = Suspected
	default:
		out.Standing = Isolated
	}
	return out
}

// partEvidence returns the newest crashes that count against a part.
func (l *Ledger) partEvidence(wall time.Time, p Part) []Crash {
	since := wall.Add(-l.cfg.Quarantine).UnixMilli()
	return slices.DeleteFunc(l.newest(p), func(c Crash) bool { return c.AtUnixMS <= since })
}

// newest returns the newest maxWeighed crashes of a part, the oldest first.
func (l *Ledger) newest(p Part) []Crash {
	all := l.byPart[p]
	var out []Crash
	for _, e := range all[max(0, len(all)-maxWeighed):] {
		out = append(out, e.crash)
	}
	return out
}
