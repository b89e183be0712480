package freshness

import "time"

// Proof states that at a given time no configuration newer than Version was accepted.
type Proof struct {
	// Version of the configuration.
	Version uint64 `cbor:"1,keyasint"`
	// At is that time, by the store's clock.
	At time.Duration `cbor:"2,keyasint"`
}

// Tracker tracks how fresh the configuration of one daemon is. It is not safe for
// concurrent use.
type Tracker struct {
	clock   Clock
	version uint64
	// newest is the newest proof that holds for the configuration in force; since
	// is its time by the daemon's clock.
	newest    Proof
	since     time.Duration
	confirmed bool
	// newer is the newest proof of a configuration that is not in force here yet.
	newer      Proof
	newerSince time.Duration
	// newerFrom is the earliest time, by the daemon's clock, at which a newer configuration
	// is known to have been accepted.
	newerFrom time.Duration
}

// Sample records the time of the store's clock that the reply to a call contained.
func (t *Tracker) Sample(sent, received, shown time.Duration) { t.clock.Sample(sent, received, shown) }

// InForce records the configuration that is in force from now on.
func (t *Tracker) InForce(version uint64) {
	if version <= t.version {
		return
	}
	t.version = version
	if t.newer.Version > 0 && t.newer.Version <= version {
		t.accept(t.newer, t.newerSince)
		t.newer = Proof{}
	}
}

// Confirm records that the store itself had nothing newer than the configuration
// in force at a time of the daemon's clock: when the call to the store began.
func (t *Tracker) Confirm(since time.Duration) {
	if t.version == 0 {
		return
	}
	// Without a sample of the store's clock the proof is valid on this daemon only.
	proof := Proof{}
	if at, ok := t.clock.MinStoreTime(since); ok {
		proof = Proof{Version: t.version, At: at}
	}
	t.accept(proof, since)
}

// Learn records another daemon's proof.
func (t *Tracker) Learn(now time.Duration, p Proof) {
	since, ok := t.clock.MinLocalTime(now, p.At)
	if !ok || p.Version == 0 {
		return
	}
	// No proof is from the future, whatever clock dated it.
	since = min(since, now)
	if p.Version <= t.version {
		t.accept(p, since)
		return
	}
	if !t.Outdated() || since < t.newerFrom {
		t.newerFrom = since
	}
	if p.Version > t.newer.Version || p.Version == t.newer.Version && since > t.newerSince {
		t.newer, t.newerSince = p, since
	}
}

// accept records a proof that holds for the configuration in force. One that is later than a
// newer configuration comes from a store that has lost the newer one.
func (t *Tracker) accept(p Proof, since time.Duration) {
	if t.confirmed && since <= t.since || t.Outdated() && since >= t.newerFrom {
		return
	}
	t.confirmed, t.since = true, since
	if p.Version > 0 {
		t.newest = p
	}
}

// Since returns the last time, by the daemon's clock, at which the configuration in
// force is known to have been the newest; ok is false if there is none.
func (t *Tracker) Since() (since time.Duration, ok bool) { return t.since, t.confirmed }

// Newest returns the proof to send to other daemons; ok is false if there is none.
func (t *Tracker) Newest() (p Proof, ok bool) { return t.newest, t.newest.Version > 0 }

// Outdated reports whether a configuration newer than the one in force was accepted.
func (t *Tracker) Outdated() bool { return t.newer.Version > t.version }
