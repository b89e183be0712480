package poison

import (
	"cmp"
	"slices"
	"time"
)

// prune drops what has expired and, above the bounds, the oldest.
func (l *Ledger) prune(wall time.Time) {
	oldest := wall.Add(-l.cfg.Quarantine).UnixMilli()
	for id, e := range l.crashes {
		if e.crash.AtUnixMS < oldest {
			l.drop(id)
		}
	}
	for f, m := range l.cleared {
		if m.at < oldest {
			delete(l.cleared, f)
		}
	}
	l.boundCrashes()
	l.boundCleared()
	l.boundClearedParts(oldest)
}

func (l *Ledger) drop(id CrashID) {
	dropped := l.crashes[id]
	l.refuseUntil = max(l.refuseUntil, dropped.crash.AtUnixMS+l.cfg.Settle.Milliseconds())
	l.unindex(dropped)
	delete(l.crashes, id)
}

func (l *Ledger) boundCrashes() {
	excess := len(l.crashes) - l.cfg.MaxCrashes
	if excess <= 0 {
		return
	}
	all := make([]Crash, 0, len(l.crashes))
	for _, e := range l.crashes {
		all = append(all, e.crash)
	}
	slices.SortFunc(all, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.AtUnixMS, b.AtUnixMS), compareIDs(a.ID, b.ID))
	})
	for _, c := range all[:excess] {
		l.drop(c.ID)
	}
}

func (l *Ledger) boundCleared() {
	excess := len(l.cleared) - l.cfg.MaxCleared
	if excess <= 0 {
		return
	}
	all := make([]Cleared, 0, len(l.cleared))
	for f, m := range l.cleared {
		all = append(all, Cleared{Fingerprint: f, AtUnixMS: m.at})
	}
	slices.SortFunc(all, func(a, b Cleared) int {
		return cmp.Or(cmp.Compare(a.AtUnixMS, b.AtUnixMS), compareFingerprints(a.Fingerprint, b.Fingerprint))
	})
	for _, c := range all[:excess] {
		delete(l.cleared, c.Fingerprint)
	}
}
