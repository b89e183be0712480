package poison

import (
	"cmp"
	"slices"
	"time"
)

// maxPartSuccesses bounds the successes of parts that are kept in each of two
// generations.
const maxPartSuccesses = 4096

// ClearedPart discounts the crashes of a part up to a time: a request with it was
// answered.
type ClearedPart struct {
	Part     Part  `cbor:"1,keyasint"`
	AtUnixMS int64 `cbor:"2,keyasint"`
}

// PartsSucceeded records that a request with the given parts was answered with success,
// or has been coming for SettledAnswer. It clears the parts of the crashes recorded
// against them and speaks for them at crashes for successWindow. It returns whether other
// daemons are to be told: only if a crash counted against one of the parts.
func (l *Ledger) PartsSucceeded(wall time.Time, parts []Part) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := wall.UnixMilli()
	for _, p := range lookedAt(parts) {
		l.succeededParts.add(p, at)
		if len(l.byPart[p]) > 0 {
			l.mergeClearedPart(ClearedPart{Part: p, AtUnixMS: at})
			changed = true
		}
	}
	return changed
}

// clearSucceededParts clears the parts at a crash that this daemon has just seen succeed.
func (l *Ledger) clearSucceededParts(e *crashRecord) {
	for _, s := range e.crash.Running {
		for _, p := range s.Parts {
			if l.countsForPart(p, e.crash) && l.succeededParts.shortlyBefore(p, e.crash.AtUnixMS) {
				l.mergeClearedPart(ClearedPart{Part: p, AtUnixMS: e.crash.AtUnixMS})
			}
		}
	}
}

func (l *Ledger) mergeClearedPart(c ClearedPart) {
	m, ok := l.clearedParts[c.Part]
	if !ok {
		m = &clearance{}
		l.clearedParts[c.Part] = m
	}
	if c.AtUnixMS <= m.at {
		return
	}
	m.at = c.AtUnixMS
	m.changed = l.nextChange()
	l.unindexPart(c.Part, func(e *crashRecord) bool { return e.crash.AtUnixMS <= c.AtUnixMS })
}

// partClearedAt returns the time up to which crashes don't count against a part.
func (l *Ledger) partClearedAt(p Part) int64 {
	at := l.allCleared.at
	if m, ok := l.clearedParts[p]; ok {
		at = max(at, m.at)
	}
	return at
}

// countsForPart reports whether a crash is newer than what clears a part.
func (l *Ledger) countsForPart(p Part, c Crash) bool { return c.AtUnixMS > l.partClearedAt(p) }

// indexParts enters a crash for each part that it counts against.
func (l *Ledger) indexParts(e *crashRecord) {
	for _, s := range e.crash.Running {
		if !s.begun() {
			continue
		}
		for _, p := range s.Parts {
			if l.countsForPart(p, e.crash) {
				l.indexPart(p, e)
			}
		}
	}
}

// indexPart enters a crash for a part, unless it is there.
func (l *Ledger) indexPart(p Part, e *crashRecord) {
	i, known := slices.BinarySearchFunc(l.byPart[p], e, compareAges)
	if !known {
		l.byPart[p] = slices.Insert(l.byPart[p], i, e)
	}
}

// compareAges orders records from the oldest crash to the newest.
func compareAges(a, b *crashRecord) int {
	return cmp.Or(cmp.Compare(a.crash.AtUnixMS, b.crash.AtUnixMS), compareIDs(a.crash.ID, b.crash.ID))
}

func (l *Ledger) unindexParts(e *crashRecord) {
	for _, s := range e.crash.Running {
		for _, p := range s.Parts {
			l.unindexPart(p, func(o *crashRecord) bool { return o == e })
		}
	}
}

// unindexPart removes the given crashes of a part.
func (l *Ledger) unindexPart(p Part, gone func(*crashRecord) bool) {
	rest := slices.DeleteFunc(l.byPart[p], gone)
	if len(rest) == 0 {
		delete(l.byPart, p)
	} else {
		l.byPart[p] = rest
	}
}

// unindexCleared removes all crashes that no longer count against their parts.
func (l *Ledger) unindexCleared() {
	for p := range l.byPart {
		l.unindexPart(p, func(e *crashRecord) bool { return !l.countsForPart(p, e.crash) })
	}
}

// deltaParts returns the clearances of parts after the change of the given number.
func (l *Ledger) deltaParts(after uint64) []ClearedPart {
	var out []ClearedPart
	for p, m := range l.clearedParts {
		if m.changed > after {
			out = append(out, ClearedPart{Part: p, AtUnixMS: m.at})
		}
	}
	slices.SortFunc(out, func(a, b ClearedPart) int { return compareParts(a.Part, b.Part) })
	return out
}

// boundClearedParts drops the clearances that have expired and, above the bound, the
// oldest.
func (l *Ledger) boundClearedParts(oldest int64) {
	for p, m := range l.clearedParts {
		if m.at < oldest {
			delete(l.clearedParts, p)
		}
	}
	excess := len(l.clearedParts) - l.cfg.MaxCleared
	if excess <= 0 {
		return
	}
	all := l.deltaParts(0)
	slices.SortStableFunc(all, func(a, b ClearedPart) int { return cmp.Compare(a.AtUnixMS, b.AtUnixMS) })
	for _, c := range all[:excess] {
		delete(l.clearedParts, c.Part)
	}
}
