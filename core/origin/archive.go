package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	// maxKept bounds the records that a daemon keeps for its row in the store, and with them
	// the row to some 48 KB. Beyond it the oldest are dropped.
	maxKept = 2400
	// endedMemory is how long the record of a stream is kept after its whole answer was
	// written: its last bytes may not have reached the caller.
	endedMemory = time.Second
)

// Key stands for a Stream in the store: a hash, which no caller can make equal to that of
// another team's stream.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(s Stream) Key {
	sum := sha256.Sum256([]byte(strings.Join([]string{string(s.Service), string(s.Team), string(s.Request)}, "\x00")))
	return Key(binary.BigEndian.Uint64(sum[:8]))
}

// Kept is the record of a stream in the store.
type Kept struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Version is the index of the software version in the row's list.
	Version int
	// UntilMS is how long the record counts, in milliseconds by the store's clock.
	UntilMS int64
}

// Row is what one daemon keeps in the store of the streams that it serves.
type Row struct {
	Versions []id.Software `cbor:"1,keyasint"`
	Records  []Kept        `cbor:"2,keyasint"`
}

// Add adds a record to the row.
func (r *Row) Add(key Key, software id.Software, untilMS int64) {
	index := slices.Index(r.Versions, software)
	if index < 0 {
		index = len(r.Versions)
		r.Versions = append(r.Versions, software)
	}
	r.Records = append(r.Records, Kept{Key: key, Version: index, UntilMS: untilMS})
}

// Each calls do for each record that counts at nowMS and names a version of the row.
func (r *Row) Each(nowMS int64, do func(key Key, software id.Software, untilMS int64)) {
	for _, k := range r.Records {
		if nowMS < k.UntilMS && k.Version >= 0 && k.Version < len(r.Versions) {
			do(k.Key, r.Versions[k.Version], k.UntilMS)
		}
	}
}

// own is a record that this daemon keeps for its row.
type own struct {
	key      Key
	service  id.Service
	software id.Software
	expires  time.Duration
	// ended is when the stream's whole answer was written; 0 before.
	ended time.Duration
	// stored is set once the store has the record.
	stored bool
}

// Archive holds the records that a daemon keeps in the store. It is not safe for concurrent
// use.
type Archive struct {
	// records are in the order in which their streams began.
	records []*own
	byKey   map[Key]*own
}

// NewArchive returns an empty Archive.
func NewArchive() *Archive { return &Archive{byKey: map[Key]*own{}} }

// Add adds the record of a stream that this daemon serves. The version that is known of a
// stream stays.
func (a *Archive) Add(now time.Duration, r Record) {
	a.add(now, &own{key: KeyOf(r.Stream), service: r.Stream.Service, software: r.Software, expires: now + r.Left})
}

// Inherit adds a record of the daemon's former process, which is in the store.
func (a *Archive) Inherit(now time.Duration, key Key, software id.Software, left time.Duration) {
	a.add(now, &own{key: key, software: software, expires: now + left, stored: true})
}

func (a *Archive) add(now time.Duration, o *own) {
	if known, ok := a.byKey[o.key]; ok {
		known.expires, known.ended = max(known.expires, o.expires), 0
		return
	}
	if len(a.records) >= maxKept {
		a.drop(now)
	}
	if len(a.records) >= maxKept {
		delete(a.byKey, a.records[0].key)
		a.records = a.records[1:]
	}
	a.records = append(a.records, o)
	a.byKey[o.key] = o
}

// End tells that a stream's whole answer was written.
func (a *Archive) End(now time.Duration, s Stream) {
	if o, ok := a.byKey[KeyOf(s)]; ok {
		o.ended = now
	}
}

// drop drops the records that no longer count.
func (a *Archive) drop(now time.Duration) {
	a.records = slices.DeleteFunc(a.records, func(o *own) bool {
		over := now >= o.expires || o.ended > 0 && now-o.ended > endedMemory
		if over {
			delete(a.byKey, o.key)
		}
		return over
	})
}

// Unstored reports whether there is a record that the store lacks, of a service that counts.
func (a *Archive) Unstored(counts func(id.Service) bool) bool {
	return slices.ContainsFunc(a.records, func(o *own) bool { return !o.stored && counts(o.service) })
}

// Row returns the row with the records of the services that count, and those that were in
// the row before. stored marks them as stored once the store has the row, and returns how
// many were not before. offset is the store's clock minus the daemon's.
func (a *Archive) Row(now, offset time.Duration, counts func(id.Service) bool) (r *Row, stored func() int) {
	a.drop(now)
	r = &Row{}
	var added []*own
	for _, o := range a.records {
		if !o.stored && !counts(o.service) {
			continue
		}
		r.Add(o.key, o.software, storeMS(o.expires, offset))
		if !o.stored {
			added = append(added, o)
		}
	}
	return r, func() int {
		for _, o := range added {
			o.stored = true
		}
		return len(added)
	}
}

// Forget marks all records as not stored: the store may have lost them.
func (a *Archive) Forget() {
	for _, o := range a.records {
		o.stored = o.service == ""
	}
}
