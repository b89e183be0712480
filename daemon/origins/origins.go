// Package origins keeps known, beyond the life of the daemon that serves a stream, which
// software version began it. While a service has several versions, each daemon sends what
// it begins to a few others, and a daemon whose caller takes a stream up asks these. Beyond
// the life of all daemons it is in the platform's store: which versions each service has had
// of late, and in a row of each daemon what began the streams that it serves.
package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

const (
	// replicas is how many other daemons get the record of a stream. A failure domain or
	// half of a fleet may be lost in one moment.
	replicas = 4
	// maxAsked is how many daemons are asked for a record: more than got it, since daemons
	// that have joined meanwhile rank among them.
	maxAsked = 2 * replicas
	// askTimeout bounds the search for a record: a few round trips to daemons that are well.
	askTimeout = 200 * time.Millisecond
	// placeTimeout bounds the wait for a daemon to confirm a record, which delays the first
	// event of a stream.
	placeTimeout = 100 * time.Millisecond
	// maxBatch bounds the records of a message.
	maxBatch = 512
)

// Batch holds records that a daemon sends to another one.
type Batch struct {
	Records []origin.Record `cbor:"1,keyasint"`
}

// Query asks a daemon what began a stream.
type Query struct {
	Stream origin.Stream `cbor:"1,keyasint"`
	// Prove asks for a Reply that is proven by the store, if it can be had at once.
	Prove bool `cbor:"2,keyasint,omitempty"`
}

// Reply answers a Query.
type Reply struct {
	// Record is nil if the daemon has none.
	Record *origin.Record `cbor:"1,keyasint,omitempty"`
	// Versions are those of the service that the daemon has seen of late.
	Versions []id.Software `cbor:"2,keyasint,omitempty"`
	// Complete is set if the daemon knows all versions that the service has had of late, as
	// far as its list of endpoints goes; one that has just started may not. Current is set if
	// it has not noticed that this list lags; daemons of earlier releases rely on it.
	Complete bool `cbor:"3,keyasint,omitempty"`
	Current  bool `cbor:"4,keyasint,omitempty"`
	// Proven is set if Versions are all that can have begun a stream before the Query came,
	// by an answer of the store since then.
	Proven bool `cbor:"5,keyasint,omitempty"`
}

// Config sets up an Origins.
type Config struct {
	// Self is this daemon.
	Self id.Daemon
	// Store keeps what must outlast all daemons.
	Store Store
	// FirstStart is set while the whole fleet starts for the first time.
	FirstStart bool
	// WritesPerS is how many writes a second of the fleet's own rows the store takes from
	// all daemons; 0 if that is not known.
	WritesPerS float64
	// Daemons is the number of daemons in the fleet.
	Daemons func() int
	// Serves reports whether the configuration has a service.
	Serves func(s id.Service) bool
	// Refresh reads the table of versions again, without blocking. SetRecorded and Confirmed
	// follow.
	Refresh func()
	// Verify asks the store for changes of the table of versions, without blocking. Confirmed
	// follows an answer.
	Verify func()
	// StoreLost reports whether the store did not answer the last call for that table.
	StoreLost func() bool
	// Holders returns the other daemons that keep the record of a stream, the best first.
	Holders func(s origin.Stream) []id.Daemon
	// Current reports whether this daemon's list of endpoints is up to date as far as it has
	// noticed. Otherwise a version may have begun streams that it has never seen.
	Current func() bool
	// Send sends records to a daemon, without blocking. Lost ones are not sent again.
	Send func(to id.Daemon, b *Batch)
	// Place sends records to a daemon and returns nil once it has them.
	Place func(ctx context.Context, to id.Daemon, b *Batch) error
	// Ask sends a query to a daemon.
	Ask func(ctx context.Context, to id.Daemon, q *Query) (*Reply, error)
	// Log writes a line, Routine one that tells of success.
	Log     func(event string, kv ...any)
	Routine func(event string, kv ...any)
	Metrics *metrics.Registry
	Now     func() time.Duration
}

// Origins knows what began the streams of this daemon and of others. It is safe for
// concurrent use.
type Origins struct {
	cfg Config

	mu      sync.Mutex
	ledger  *origin.Ledger
	history *origin.History
	archive *origin.Archive
	// recorder records the versions, rows holds what was read of the daemons' rows.
	recorder recorder
	rows     storedRows
	proofs   proofs
	// due wakes the writer of this daemon's row.
	due chan struct{}

	sent, received, asked, unknown, stored, proofCalls *metrics.Counter
	found                                              *metrics.CounterMap
}

// New returns an Origins without records.
func New(cfg Config) *Origins {
	o := &Origins{
		cfg:        cfg,
		ledger:     origin.NewLedger(),
		history:    origin.NewHistory(cfg.Now()),
		archive:    origin.NewArchive(),
		recorder:   recorder{news: make(chan struct{}), noticed: map[id.Service]map[id.Software]time.Duration{}},
		due:        make(chan struct{}, 1),
		proofs:     proofs{confirmed: make(chan struct{})},
		stored:     cfg.Metrics.Counter("origins_stored", metrics.UnitCount, "Records of what began this daemon's streams that the store has taken."),
		sent:       cfg.Metrics.Counter("origins_sent", metrics.UnitCount, "Records of what began a stream that were sent to other daemons."),
		received:   cfg.Metrics.Counter("origins_received", metrics.UnitCount, "Records of what began a stream that other daemons have sent."),
		asked:      cfg.Metrics.Counter("origins_asked", metrics.UnitCount, "Streams taken up by callers for which other daemons were asked."),
		unknown:    cfg.Metrics.Counter("origins_unknown", metrics.UnitCount, "Streams taken up by callers of which nobody knew what began them."),
		proofCalls: cfg.Metrics.Counter("origins_proof_calls", metrics.UnitCount, "Calls to the store that prove which versions a service has had."),
		found:      cfg.Metrics.CounterMap("origins_found", metrics.UnitCount, "Streams taken up by callers of which it was known what began them, by source."),
	}
	if cfg.FirstStart {
		o.history.SetUnused()
	}
	return o
}

// Observe tells which software versions of each service are listed. When a second one
// appears, the streams that the first one has begun become worth knowing elsewhere.
func (o *Origins) Observe(listed map[id.Service]map[id.Software]bool) {
	now := o.cfg.Now()
	o.mu.Lock()
	added := o.history.Observe(now, listed)
	var records []origin.Record
	if added {
		records = o.shared(now)
	}
	o.mu.Unlock()
	o.send(records)
	if added {
		o.wakeWriter()
	}
}

// shared returns the records of services with several versions; the lock must be held.
func (o *Origins) shared(now time.Duration) []origin.Record {
	return slices.DeleteFunc(o.ledger.All(now), func(r origin.Record) bool {
		return len(o.history.Versions(now, r.Stream.Service)) < 2
	})
}

// Began records what began a stream. It is called before the caller gets the first event
// and returns once another daemon has the record and the store knows the version, so that
// no caller can take up a stream that others do not know, or that a version began of which
// no trace would be left if all daemons died. If that takes too long the stream goes on all
// the same.
func (o *Origins) Began(r origin.Record) {
	now := o.cfg.Now()
	o.mu.Lock()
	o.ledger.Add(now, r)
	o.archive.Add(now, r)
	several := o.several(r.Stream.Service)
	o.mu.Unlock()
	if several {
		o.wakeWriter()
		o.place(r)
	}
	o.awaitRecorded(r.Stream.Service, r.Software)
}

// Ended tells that the whole answer of a stream was written: its caller has no reason to
// take it up.
func (o *Origins) Ended(s origin.Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.archive.End(o.cfg.Now(), s)
}

// Receive adds records of another daemon.
func (o *Origins) Receive(b *Batch) {
	o.received.Add(int64(len(b.Records)))
	o.keep(b.Records)
}

func (o *Origins) keep(records []origin.Record) {
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		o.ledger.Add(now, r)
	}
}

// Answer answers another daemon's query.
func (o *Origins) Answer(ctx context.Context, q *Query) *Reply {
	asked, service := o.cfg.Now(), q.Stream.Service
	k := o.knowledgeOf(service, asked)
	if q.Prove && isOne(k.versions) {
		o.prove(ctx, asked)
		k = o.knowledgeOf(service, asked)
	}
	r := &Reply{Versions: k.versions, Complete: k.complete, Current: o.cfg.Current(), Proven: k.proven}
	if record, ok := o.ownRecord(q.Stream); ok {
		r.Record = &record
	}
	return r
}

// ownRecord returns the record of a stream, if this daemon has one.
func (o *Origins) ownRecord(s origin.Stream) (origin.Record, bool) {
	now := o.cfg.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Find(now, s)
}
