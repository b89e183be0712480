// Package poison finds the requests that crash every endpoint that runs them.
// Crash reports and acquittals are merged over all daemons, so that a poison
// is counted over the whole fleet. See docs/design/poison.md.
package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
)

// Fingerprint identifies a request by team and content, whatever its id is.
type Fingerprint [16]byte

// Print fingerprints a request. The parts of its content are told apart: "ab"
// and "c" are another content than "a" and "bc".
func Print(team id.Team, service id.Service, content ...[]byte) Fingerprint {
	h := sha256.New()
	write := func(part []byte) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	write([]byte(team))
	write([]byte(service))
	for _, part := range content {
		write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String gives the fingerprint in hex, as operators see it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String gives.
func ParseFingerprint(s string) (Fingerprint, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, fmt.Errorf("fingerprint %q is not %d hex digits", s, 2*len(Fingerprint{}))
	}
	return Fingerprint(raw), nil
}

// CrashID names a crash: the incarnation of an endpoint that it ended.
type CrashID struct {
	Endpoint    id.Endpoint    `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
}

func compareIDs(a, b CrashID) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Suspect is a request that ran on an endpoint when it crashed.
type Suspect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Team        id.Team     `cbor:"2,keyasint"`
}

func compareSuspects(a, b Suspect) int {
	return cmp.Or(compareFingerprints(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Team, b.Team))
}

func compareFingerprints(a, b Fingerprint) int {
	return cmp.Compare(string(a[:]), string(b[:]))
}

// Crash is what is known of one crash. Each daemon reports the requests it had
// there; the union is what counts.
type Crash struct {
	ID CrashID `cbor:"1,keyasint"`
	// AtUnixMS is the earliest wall time that a daemon saw the crash, in
	// milliseconds since 1970.
	AtUnixMS int64 `cbor:"2,keyasint"`
	// Running is sorted and holds each fingerprint once.
	Running []Suspect `cbor:"3,keyasint"`
}

// Cleared frees a fingerprint of the crashes up to a time: it finished, or an
// operator lifted it.
type Cleared struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	AtUnixMS    int64       `cbor:"2,keyasint"`
}

// State is mergeable evidence. Merging is commutative, associative and
// idempotent as long as the bounds of Config are kept; above them old evidence
// is lost, never changed.
type State struct {
	Crashes []Crash   `cbor:"1,keyasint,omitempty"`
	Cleared []Cleared `cbor:"2,keyasint,omitempty"`
	// AllClearedUnixMS frees every fingerprint of the crashes up to that time.
	AllClearedUnixMS int64 `cbor:"3,keyasint,omitempty"`
}

// Standing is how a request shall be treated.
type Standing uint8

// The standings, from the best to the worst.
const (
	// Clear: nothing is held against it.
	Clear Standing = iota + 1
	// Suspected: run it alone where that can be helped.
	Suspected
	// Isolated: run it alone or refuse it.
	Isolated
	// Held: refuse it for a moment, the reports on its last crash are coming in.
	Held
	// Quarantined: refuse it until the quarantine ends.
	Quarantined
)

// String names the standing for logs.
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

// Finding is the standing of a fingerprint and its grounds.
type Finding struct {
	Standing Standing
	// Crashes that count against it.
	Crashes int
	// Until is the end of Held or Quarantined.
	Until time.Time
}

// Entry is one line of the quarantine list.
type Entry struct {
	Fingerprint Fingerprint
	Team        id.Team
	Crashes     int
	Until       time.Time
}

// Config sets the bounds; zero fields take the defaults.
type Config struct {
	// Quarantine is how long evidence counts, from the crash on. Default 1 h.
	Quarantine time.Duration
	// Settle is how long reports on a crash may take to arrive from all
	// daemons. Default 2 s.
	Settle time.Duration
	// AloneCrashes convict by themselves. Default 2: one may be chance.
	AloneCrashes int
	// CompanyCrashes convict if one of them was alone, or if all others that
	// ran at them were cleared. Default 3.
	SharedCrashes int
	// MaxCrashes bounds the crashes kept; the newest stay. Default 1024.
	MaxCrashes int
	// MaxRunning bounds the fingerprints kept of one crash. Default 64.
	MaxRunning int
	// MaxCleared bounds the cleared fingerprints kept; the newest stay. Default 4096.
	MaxCleared int
}

// Defaults of Config.
const (
	DefaultQuarantine    = time.Hour
	DefaultSettle        = 2 * time.Second
	DefaultAloneCrashes  = 2
	DefaultSharedCrashes = 3
	DefaultMaxCrashes    = 1024
	DefaultMaxRunning    = 64
	DefaultMaxCleared    = 4096
)

// maxFuture is how far ahead of this host's clock a report may be.
const maxClockSkew = 10 * time.Minute

func (c Config) withDefaults() Config {
	defaults.Set(&c.Quarantine, DefaultQuarantine)
	defaults.Set(&c.Settle, DefaultSettle)
	defaults.Set(&c.AloneCrashes, DefaultAloneCrashes)
	defaults.Set(&c.SharedCrashes, DefaultSharedCrashes)
	defaults.Set(&c.MaxCrashes, DefaultMaxCrashes)
	defaults.Set(&c.MaxRunning, DefaultMaxRunning)
	defaults.Set(&c.MaxCleared, DefaultMaxCleared)
	return c
}
