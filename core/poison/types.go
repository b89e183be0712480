// Package poison detects requests that crash every endpoint that runs them. Crash
// reports and clearances are merged over all daemons, so that the crashes of a
// request count over the whole fleet. See docs/design/poison.md.
package poison

import (
	"cmp"
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
)

// CrashID identifies a crash by the incarnation of the endpoint that crashed.
type CrashID struct {
	Endpoint    id.Endpoint    `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
}

func compareIDs(a, b CrashID) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Suspect is a request that ran on an endpoint when it crashed. An older build knows its
// first three fields only.
type Suspect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Team        id.Team     `cbor:"2,keyasint"`
	// Progress is how far the endpoint was with the answer.
	Progress Progress `cbor:"3,keyasint,omitempty"`
	// Parts are the parts of its prompt that other requests may share, so not the last
	// one. They are recorded sorted and each once, up to MaxPartsPerSuspect, and only
	// while the endpoint was not yet answering.
	Parts []Part `cbor:"4,keyasint,omitempty"`
	// SentUnixMS is when it was sent to the endpoint, by the clock that dates crashes, in
	// milliseconds since 1970; 0 if that is not known. It tells crashes that follow from
	// each other from those of one event, for example a power failure.
	SentUnixMS int64 `cbor:"5,keyasint,omitempty"`
}

// compareSuspects orders suspects so that of two reports about one request the one in
// which it had progressed least comes first.
func compareSuspects(a, b Suspect) int {
	return cmp.Or(compareFingerprints(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Progress, b.Progress))
}

// Crash is what is known about one crash. Each daemon reports the requests that it
// ran there; the reports are merged.
type Crash struct {
	ID CrashID `cbor:"1,keyasint"`
	// AtUnixMS is the earliest wall time at which a daemon noticed the crash, in
	// milliseconds since 1970.
	AtUnixMS int64 `cbor:"2,keyasint"`
	// Running is sorted and has each fingerprint once.
	Running []Suspect `cbor:"3,keyasint"`
}

// Cleared discounts the crashes of a fingerprint up to a time: the request finished,
// or an operator lifted its quarantine.
type Cleared struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	AtUnixMS    int64       `cbor:"2,keyasint"`
}

// State is mergeable: merging is commutative, associative and idempotent as long as
// the bounds of Config are kept. Above them old entries are dropped, never changed.
type State struct {
	Crashes []Crash   `cbor:"1,keyasint,omitempty"`
	Cleared []Cleared `cbor:"2,keyasint,omitempty"`
	// AllClearedUnixMS discounts the crashes of every fingerprint up to that time.
	AllClearedUnixMS int64 `cbor:"3,keyasint,omitempty"`
	// ClearedParts is unknown to older builds, which ignore it.
	ClearedParts []ClearedPart `cbor:"4,keyasint,omitempty"`
}

// Standing is how a request is to be treated.
type Standing uint8

// The standings, from the best to the worst.
const (
	// Clear: no crash counts against the request.
	Clear Standing = iota + 1
	// Suspected: run it alone if possible.
	Suspected
	// Isolated: run it alone or refuse it.
	Isolated
	// Held: refuse it for a moment, until all reports of its last crash have arrived.
	Held
	// Quarantined: refuse it until the quarantine ends.
	Quarantined
)

// String returns the name of the standing for logs.
func (s Standing) String() string {
	switch s {
	case Clear:
		return "clear"
	case Suspected:
		return "suspected"
	case Isolated:
		return "isolated"
	case Held:
		return "held"
	case Quarantined:
		return "quarantined"
	default:
		return "unknown"
	}
}

// Finding is the standing of a fingerprint and the reason for it.
type Finding struct {
	Standing Standing
	// Crashes is the number of crashes that count against the request.
	Crashes int
	// Alone is the number of those crashes at which no other request is known that may
	// have caused them, whether or not more reports of them may arrive.
	Alone int
	// Until is the end of Held or Quarantined.
	Until time.Time
}

// Entry is one entry of the quarantine list.
type Entry struct {
	Fingerprint Fingerprint
	Team        id.Team
	Crashes     int
	Until       time.Time
}

// Config sets the limits of a Ledger; zero fields take the defaults.
type Config struct {
	// Quarantine is how long a crash counts, from its time on. Default 1 h.
	Quarantine time.Duration
	// Settle is how long the reports of a crash may take to arrive from all daemons.
	// Default 2 s.
	Settle time.Duration
	// AloneCrashes is after how many crashes at which nothing else ran a request is
	// quarantined. Default 2: a single crash may be a coincidence.
	AloneCrashes int
	// SharedCrashes is after how many crashes a request is quarantined if it was
	// alone at one of them, or if all other requests at them were cleared. Default 3.
	SharedCrashes int
	// TopCrashes is after how many crashes a request is quarantined if nothing else
	// that ran there has crashed more endpoints. Default 5.
	TopCrashes int
	// MaxCrashes bounds the recorded crashes; the newest are kept. Default 1024.
	MaxCrashes int
	// MaxRunning bounds the requests recorded for one crash. Default 64.
	MaxRunning int
	// MaxCleared bounds the cleared fingerprints, and the cleared parts; the newest are
	// kept. Default 4096.
	MaxCleared int
}

// Defaults of Config.
const (
	DefaultQuarantine    = time.Hour
	DefaultSettle        = 2 * time.Second
	DefaultAloneCrashes  = 2
	DefaultSharedCrashes = 3
	DefaultTopCrashes    = 5
	DefaultMaxCrashes    = 1024
	DefaultMaxRunning    = 64
	DefaultMaxCleared    = 4096
)

// maxClockSkew is how far ahead of this host's clock a report may be dated.
const maxClockSkew = 10 * time.Minute

func (c Config) withDefaults() Config {
	defaults.Set(&c.Quarantine, DefaultQuarantine)
	defaults.Set(&c.Settle, DefaultSettle)
	defaults.Set(&c.AloneCrashes, DefaultAloneCrashes)
	defaults.Set(&c.SharedCrashes, DefaultSharedCrashes)
	defaults.Set(&c.TopCrashes, DefaultTopCrashes)
	defaults.Set(&c.MaxCrashes, DefaultMaxCrashes)
	defaults.Set(&c.MaxRunning, DefaultMaxRunning)
	defaults.Set(&c.MaxCleared, DefaultMaxCleared)
	return c
}
