package poison

import (
	"slices"
	"sync"
	"time"
)

// Ledger holds the crash reports of all daemons. It is safe for concurrent use.
type Ledger struct {
	mu            sync.Mutex
	cfg           Config
	crashes       map[CrashID]*crashRecord
	byFingerprint map[Fingerprint][]CrashID
	cleared       map[Fingerprint]*clearance
	allCleared    clearance
	succeeded     successes
	// byPart has the crashes that count against each part, which are those it isn't
	// cleared of, the oldest first.
	byPart         map[Part][]*crashRecord
	clearedParts   map[Part]*clearance
	succeededParts recent[Part]
	verdicts       verdicts
	strengths      strengths
	// refuseUntil is the time of the latest dropped crash, plus Settle, in
	// milliseconds since 1970. Reports of crashes up to then are refused: a late
	// report of a dropped crash would lack the other requests that ran there, and
	// its request would wrongly count as having run alone.
	refuseUntil int64
	// lastChange is the number of the last change, for Delta.
	lastChange uint64
	// digest is the result of the last call of Digest.
	digest digest
}

// crashRecord is a crash with the number of its last change.
type crashRecord struct {
	crash   Crash
	changed uint64
}

// clearance is the time up to which crashes don't count, with the number of its
// last change.
type clearance struct {
	at      int64
	changed uint64
}

// New returns an empty Ledger.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:           cfg.withDefaults(),
		crashes:       map[CrashID]*crashRecord{},
		byFingerprint: map[Fingerprint][]CrashID{},
		cleared:       map[Fingerprint]*clearance{},
		byPart:        map[Part][]*crashRecord{},
		clearedParts:  map[Part]*clearance{},

		succeededParts: recent[Part]{bound: maxPartSuccesses},
	}
}

// Crash records a crash with the requests that this daemon ran on the endpoint. The
// record is complete once each daemon with requests there has reported the crash.
func (l *Ledger) Crash(wall time.Time, crash CrashID, running []Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := wall.UnixMilli()
	l.mergeCrash(Crash{ID: crash, AtUnixMS: at, Running: l.withoutKnown(at, running)})
	l.prune(wall)
}

// Finished clears a request that finished. It returns whether any crash was
// recorded against it.
func (l *Ledger) Finished(wall time.Time, f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byFingerprint[f]) == 0 {
		return false
	}
	l.mergeCleared(Cleared{Fingerprint: f, AtUnixMS: wall.UnixMilli()})
	return true
}

// Lift clears a fingerprint of all crashes up to now.
func (l *Ledger) Lift(wall time.Time, f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeCleared(Cleared{Fingerprint: f, AtUnixMS: wall.UnixMilli()})
	l.prune(wall)
}

// LiftAll clears every fingerprint of all crashes up to now.
func (l *Ledger) LiftAll(wall time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeAllCleared(wall.UnixMilli())
}

// Len returns the number of recorded crashes.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes)
}

// Merge adds the state of another daemon. It returns whether any of it was new.
func (l *Ledger) Merge(wall time.Time, s State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.lastChange
	oldest := wall.Add(-l.cfg.Quarantine).UnixMilli()
	latest := wall.Add(maxClockSkew).UnixMilli()
	for _, c := range s.Crashes {
		if oldest <= c.AtUnixMS && c.AtUnixMS <= latest {
			l.mergeCrash(c)
		}
	}
	for _, c := range s.Cleared {
		if oldest <= c.AtUnixMS && c.AtUnixMS <= latest {
			l.mergeCleared(c)
		}
	}
	for _, c := range s.ClearedParts {
		if oldest <= c.AtUnixMS && c.AtUnixMS <= latest {
			l.mergeClearedPart(c)
		}
	}
	if s.AllClearedUnixMS <= latest {
		l.mergeAllCleared(s.AllClearedUnixMS)
	}
	l.prune(wall)
	return l.lastChange != before
}

// Delta returns what changed after the change of the given number, in a fixed
// order, and the number to pass next time. Delta(0) returns the whole state.
func (l *Ledger) Delta(after uint64) (State, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var s State
	for _, e := range l.crashes {
		if e.changed > after {
			s.Crashes = append(s.Crashes, e.crash)
		}
	}
	for f, m := range l.cleared {
		if m.changed > after {
			s.Cleared = append(s.Cleared, Cleared{Fingerprint: f, AtUnixMS: m.at})
		}
	}
	s.ClearedParts = l.deltaParts(after)
	if l.allCleared.changed > after {
		s.AllClearedUnixMS = l.allCleared.at
	}
	slices.SortFunc(s.Crashes, func(a, b Crash) int { return compareIDs(a.ID, b.ID) })
	slices.SortFunc(s.Cleared, func(a, b Cleared) int { return compareFingerprints(a.Fingerprint, b.Fingerprint) })
	return s, l.lastChange
}

func (l *Ledger) mergeCrash(c Crash) {
	defer l.clearSucceeded(c)
	e, ok := l.crashes[c.ID]
	if !ok && c.AtUnixMS <= l.refuseUntil {
		return
	}
	if !ok {
		e = &crashRecord{crash: Crash{ID: c.ID, AtUnixMS: c.AtUnixMS}}
		l.crashes[c.ID] = e
		e.changed = l.nextChange()
	}
	union := l.union(e.crash.Running, c.Running)
	if c.AtUnixMS >= e.crash.AtUnixMS && slices.EqualFunc(union, e.crash.Running, equalSuspects) {
		return
	}
	l.unindex(e)
	e.crash.AtUnixMS = min(e.crash.AtUnixMS, c.AtUnixMS)
	e.crash.Running = union
	e.changed = l.nextChange()
	l.index(e)
	l.clearSucceededParts(e)
}

func (l *Ledger) index(e *crashRecord) {
	for _, s := range e.crash.Running {
		l.byFingerprint[s.Fingerprint] = append(l.byFingerprint[s.Fingerprint], e.crash.ID)
	}
	l.indexParts(e)
}

func (l *Ledger) unindex(e *crashRecord) {
	l.unindexParts(e)
	c := e.crash
	for _, s := range c.Running {
		rest := slices.DeleteFunc(l.byFingerprint[s.Fingerprint], func(id CrashID) bool { return id == c.ID })
		if len(rest) == 0 {
			delete(l.byFingerprint, s.Fingerprint)
		} else {
			l.byFingerprint[s.Fingerprint] = rest
		}
	}
}

func (l *Ledger) mergeCleared(c Cleared) {
	m, ok := l.cleared[c.Fingerprint]
	if !ok {
		m = &clearance{}
		l.cleared[c.Fingerprint] = m
	}
	if c.AtUnixMS > m.at {
		m.at = c.AtUnixMS
		m.changed = l.nextChange()
	}
}

func (l *Ledger) mergeAllCleared(at int64) {
	if at > l.allCleared.at {
		l.allCleared = clearance{at: at, changed: l.nextChange()}
		l.unindexCleared()
	}
}

func (l *Ledger) nextChange() uint64 {
	l.lastChange++
	return l.lastChange
}
