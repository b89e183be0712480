package poison

import (
	"slices"
	"time"
)

// Check returns how a request with the fingerprint is to be treated.
//
// One crash that the request may have caused makes it suspected. It is quarantined
// after AloneCrashes crashes that are put down to it alone, after SharedCrashes crashes
// of which one is, after SharedCrashes crashes if all other requests at them have since
// been cleared, or after TopCrashes crashes if nothing else that ran there has crashed
// more endpoints. Only the third rule needs other requests to finish, which those that
// break with their endpoint mostly never do. A crash counts as put down to one request
// once Settle has passed: until then another daemon may report a second one.
func (l *Ledger) Check(wall time.Time, f Fingerprint) Finding {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.check(wall, f)
}

func (l *Ledger) check(wall time.Time, f Fingerprint) Finding {
	crashes := l.suspectedCrashes(wall, f)
	out := Finding{Crashes: len(crashes), Alone: l.crashesAlone(wall, f, crashes)}
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

// suspectedCrashes returns the crashes that count against a fingerprint: it may have
// caused them, and has not been cleared since.
func (l *Ledger) suspectedCrashes(wall time.Time, f Fingerprint) []Crash {
	since := max(l.clearedAt(f), wall.Add(-l.cfg.Quarantine).UnixMilli())
	var out []Crash
	for _, id := range l.byFingerprint[f] {
		if c := l.crashes[id].crash; c.AtUnixMS > since && l.mayHaveCaused(wall, f, c) {
			out = append(out, c)
		}
	}
	return out
}

// mayHaveCaused reports whether a request that ran at a crash may have caused it. One
// that was being answered is suspected only if nothing else there was still to be, or
// had just begun, which is known once all reports have arrived.
func (l *Ledger) mayHaveCaused(wall time.Time, f Fingerprint, c Crash) bool {
	if progressAt(f, c) < Answering {
		return true
	}
	return l.settled(wall, c) && !slices.ContainsFunc(c.Running, func(s Suspect) bool {
		return s.Fingerprint != f && s.Progress < Answering && !l.clearedSince(s.Fingerprint, c)
	})
}

// progressAt returns the progress of a request that ran at a crash.
func progressAt(f Fingerprint, c Crash) Progress {
	i := slices.IndexFunc(c.Running, func(s Suspect) bool { return s.Fingerprint == f })
	return c.Running[i].Progress
}

// clearedSince reports whether a request was cleared after a crash.
func (l *Ledger) clearedSince(f Fingerprint, c Crash) bool { return l.clearedAt(f) > c.AtUnixMS }

func (l *Ledger) clearedAt(f Fingerprint) int64 {
	at := l.allCleared.at
	if m, ok := l.cleared[f]; ok {
		at = max(at, m.at)
	}
	return at
}

func (l *Ledger) quarantined(wall time.Time, f Fingerprint, crashes []Crash) bool {
	settled := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return !l.settled(wall, c) })
	alone := l.crashesAlone(wall, f, settled)
	switch {
	case alone >= l.cfg.AloneCrashes:
		return true
	case len(crashes) >= l.cfg.SharedCrashes && (alone > 0 || l.othersCleared(f, crashes)):
		return true
	default:
		return len(crashes) >= l.cfg.TopCrashes && l.crashesAsTop(wall, f, crashes) >= l.cfg.TopCrashes
	}
}

func (l *Ledger) settled(wall time.Time, c Crash) bool {
	return !wall.Before(time.UnixMilli(c.AtUnixMS).Add(l.cfg.Settle))
}

// crashesAlone returns the number of the given crashes that are put down to a request
// alone: nothing else that ran there is a rival cause.
func (l *Ledger) crashesAlone(wall time.Time, f Fingerprint, crashes []Crash) int {
	own := len(l.suspectedCrashes(wall, f))
	n := 0
	for _, c := range crashes {
		if !slices.ContainsFunc(c.Running, func(s Suspect) bool { return s.Fingerprint != f && l.rivals(wall, s, progressAt(f, c), own) }) {
			n++
		}
	}
	return n
}

// rivals reports whether another request is as likely a cause of a crash as one that had
// the given progress there and is suspected of the given number of crashes: the endpoint
// was no further with it, or had just begun it and it is suspected of as many. The second
// protects streams that are resumed beside a request that gives an event before its
// endpoint crashes.
func (l *Ledger) rivals(wall time.Time, other Suspect, progress Progress, crashes int) bool {
	if other.Progress <= progress {
		return true
	}
	return other.Progress < Answering && len(l.suspectedCrashes(wall, other.Fingerprint)) >= crashes
}

// othersCleared reports whether all other requests at those crashes were cleared
// later.
func (l *Ledger) othersCleared(f Fingerprint, crashes []Crash) bool {
	for _, c := range crashes {
		for _, s := range c.Running {
			if s.Fingerprint != f && !l.clearedSince(s.Fingerprint, c) {
				return false
			}
		}
	}
	return true
}

// crashesAsTop returns the number of crashes at which no other suspect has crashed
// more endpoints than the request itself, which has crashes.
func (l *Ledger) crashesAsTop(wall time.Time, f Fingerprint, crashes []Crash) int {
	n := 0
	for _, c := range crashes {
		if !slices.ContainsFunc(c.Running, func(s Suspect) bool {
			return s.Fingerprint != f && !l.clearedSince(s.Fingerprint, c) && len(l.suspectedCrashes(wall, s.Fingerprint)) > len(crashes)
		}) {
			n++
		}
	}
	return n
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
