// Package origin remembers which software version of a service's endpoints began a stream.
// What two versions write does not fit together, so that a stream whose caller takes it up
// may only go on at the version that began it. The package is deterministic.
package origin

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/id"
)

// Stream identifies a stream whose caller may take it up.
type Stream struct {
	// Request is the caller's attempt that brought the first event.
	Request id.Request `cbor:"1,keyasint"`
	Service id.Service `cbor:"2,keyasint"`
	// Team is empty if the request has none.
	Team id.Team `cbor:"3,keyasint,omitempty"`
}

// Record says which software version began a stream.
type Record struct {
	Stream   Stream      `cbor:"1,keyasint"`
	Software id.Software `cbor:"2,keyasint"`
	// Left is how long the record must be kept, as of sending.
	Left time.Duration `cbor:"3,keyasint"`
}

// maxRecords bounds the records of a daemon, and with them its memory to some 9 MB. Beyond
// it the oldest are dropped, and the streams that they are of count as unknown.
const maxRecords = 1 << 15

// kept is what is known of one stream.
type kept struct {
	software id.Software
	expires  time.Duration
}

// Ledger holds records. It is not safe for concurrent use.
type Ledger struct {
	records *simplelru.LRU[Stream, kept]
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	records, err := simplelru.NewLRU[Stream, kept](maxRecords, nil)
	if err != nil {
		panic("origin: cache of records: " + err.Error())
	}
	return &Ledger{records: records}
}

// Add adds a record. The version that is known of a stream stays; a record that arrives
// again may extend how long it is kept.
func (l *Ledger) Add(now time.Duration, r Record) {
	k := kept{software: r.Software, expires: now + r.Left}
	if known, ok := l.records.Peek(r.Stream); ok && now < known.expires {
		k.software = known.software
		k.expires = max(k.expires, known.expires)
	}
	l.records.Add(r.Stream, k)
	l.dropExpired(now)
}

// dropExpired drops the oldest records up to one that has not expired.
func (l *Ledger) dropExpired(now time.Duration) {
	for {
		_, oldest, ok := l.records.GetOldest()
		if !ok || now < oldest.expires {
			return
		}
		l.records.RemoveOldest()
	}
}

// Find returns the record of a stream; ok is false if there is none.
func (l *Ledger) Find(now time.Duration, s Stream) (r Record, ok bool) {
	k, ok := l.records.Peek(s)
	if !ok || now >= k.expires {
		return Record{}, false
	}
	return Record{Stream: s, Software: k.software, Left: k.expires - now}, true
}

// All returns the records that have not expired, the oldest first, and drops the others.
func (l *Ledger) All(now time.Duration) []Record {
	var out []Record
	for _, s := range l.records.Keys() {
		if r, ok := l.Find(now, s); ok {
			out = append(out, r)
			continue
		}
		l.records.Remove(s)
	}
	return out
}
