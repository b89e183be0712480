package poison

import (
	"slices"
	"time"
)

// Check returns how a request with the fingerprint is to be treated.
//
// One crash makes the request suspected. It is quarantined after AloneCrashes
// crashes at which nothing else ran, after SharedCrashes crashes of which it was
// alone at one, or after SharedCrashes crashes if all other requests at them have
// since been cleared. A crash with a single request counts as alone once Settle has
// passed: until then another daemon may still report a second request.
func (l *Ledger) Check(wall time.Time, f Fingerprint) Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(wall, f)
}

func (l *Ledger) check(wall time.Time, f Fingerprint) Finding {
	crashes := l.countedCrashes(wall, f)
	out := Finding{Crashes: len(crashes), Alone: crashesAlone(crashes)}
	switch {
	case len(crashes) == 0:
		out.Standing = Clear
	case l.quarantined(wall, f, crashes):
		out.Standing, out.Until = Quarantined, latestCrash(crashes).Add(l.cfg.Quarantine)
	case l.quarantined(wall.Add(l.cfg.Settle), f, crashes):
		out.Standing, out.Until = Held, latestCrash(crashes).Add(l.cfg.Settle)
	case len(crashes) == 1:
		out.Standing = Suspected
	default:
		out.Standing = Isolated
	}
	return out
}

// crashesAlone returns the number of crashes at which one request ran.
func crashesAlone(crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		if len(c.Running) == 1 {
			n++
		}
	}
	return n
}

// countedCrashes returns the crashes that count against a fingerprint.
func (l *Ledger) countedCrashes(wall time.Time, f Fingerprint) []Crash {
	since := max(l.clearedAt(f), wall.Add(-l.cfg.Quarantine).UnixMilli())
	var out []Crash
	for _, id := range l.byFingerprint[f] {
		if c := l.crashes[id].crash; c.AtUnixMS > since {
			out = append(out, c)
		}
	}
	return out
}

func (l *Ledger) clearedAt(f Fingerprint) int64 {
	at := l.allCleared.at
	if m, ok := l.cleared[f]; ok {
		at = max(at, m.at)
	}
	return at
}

func (l *Ledger) quarantined(wall time.Time, f Fingerprint, crashes []Crash) bool {
	alone := 0
	for _, c := range crashes {
		if len(c.Running) == 1 && l.settled(wall, c) {
			alone++
		}
	}
	if alone >= l.cfg.AloneCrashes {
		return true
	}
	return len(crashes) >= l.cfg.SharedCrashes && (alone > 0 || l.othersCleared(f, crashes))
}

func (l *Ledger) settled(wall time.Time, c Crash) bool {
	return !wall.Before(time.UnixMilli(c.AtUnixMS).Add(l.cfg.Settle))
}

// othersCleared reports whether all other requests at those crashes were cleared
// later.
func (l *Ledger) othersCleared(f Fingerprint, crashes []Crash) bool {
	for _, c := range crashes {
		for _, s := range c.Running {
			if s.Fingerprint != f && l.clearedAt(s.Fingerprint) <= c.AtUnixMS {
				return false
			}
		}
	}
	return true
}

// latestCrash returns the time of the latest crash.
func latestCrash(crashes []Crash) time.Time {
	var at int64
	for _, c := range crashes {
		at = max(at, c.AtUnixMS)
	}
	return time.UnixMilli(at)
}

// List returns the quarantined requests, ordered by fingerprint.
func (l *Ledger) List(wall time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Entry
	for f, ids := range l.byFingerprint {
		finding := l.check(wall, f)
		if finding.Standing == Quarantined {
			out = append(out, Entry{Fingerprint: f, Team: l.suspect(f, ids[0]).Team, Crashes: finding.Crashes, Until: finding.Until})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return out
}

func (l *Ledger) suspect(f Fingerprint, crash CrashID) Suspect {
	running := l.crashes[crash].crash.Running
	at := slices.IndexFunc(running, func(s Suspect) bool { return s.Fingerprint == f })
	return running[at]
}
