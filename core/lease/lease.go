// Package lease elects the holder of a duty, a task that one process performs for
// the whole fleet, by a lease in the platform's table. A lease row has a fencing
// number that increases with every acquisition. The holder stops acting by its own
// monotonic clock well before the lease can lapse for others. A contender waits by
// its own monotonic clock until the row has been unchanged for the TTL and a margin.
// Clocks of different processes are never compared. A lease ends with the era of the
// table: after the table came back from an older copy, the row may name a former holder,
// and each contender waits as for a lease that was just renewed.
package lease

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// prefix is the prefix of the keys of lease rows.
const prefix = "lease/"

// Key returns the key of the lease row of a duty.
func Key(duty string) string { return prefix + duty }

// Row is the value of a lease row.
type Row struct {
	// Holder is the process that holds the duty; empty after a release.
	Holder id.Process `json:"holder"`
	// Fence is the fencing number; it increases with every acquisition.
	Fence uint64 `json:"fence"`
	// TTL is how long the row must be unchanged before another process may
	// acquire the lease.
	TTL time.Duration `json:"ttl"`
	// Beat counts the writes, so that each renewal changes the row.
	Beat uint64 `json:"beat"`
	// Quiet, in a released row, is set if no order of the former holder can
	// still be in flight.
	Quiet bool `json:"quiet,omitempty"`
	// Era is the table's era in which the row was written. A row of a former era is from
	// a copy of the table: another process may have held the lease since.
	Era uint64 `json:"era,omitempty"`
}

// eraFenceBits is how far the fencing numbers of two eras are apart, in bits: more than
// an era has acquisitions. The numbers stay exact as JSON numbers.
const eraFenceBits = 32

// firstFence returns a number that no fencing number of an earlier era reaches.
func firstFence(era uint64) uint64 { return era << eraFenceBits }

// Config configures the timing of a lease.
type Config struct {
	// TTL is the time after which an unrenewed lease lapses.
	TTL time.Duration
	// Margin is the time that a contender waits in addition to TTL, since clocks
	// run at slightly different rates.
	Margin time.Duration
	// Safety is the fraction of TTL for which the holder trusts the lease,
	// measured from the time at which the acquisition or renewal was sent.
	Safety float64
	// RenewEvery is the interval between renewals. Each interval is shortened by
	// a random part of up to RenewJitter, a fraction of RenewEvery.
	RenewEvery  time.Duration
	RenewJitter float64
	// WatchEvery is the interval between a contender's reads, with the same jitter.
	WatchEvery time.Duration
	// MaxBackoff bounds the exponential backoff while the store fails.
	MaxBackoff time.Duration
	// FormerEnded is set if earlier processes of the same daemon have certainly
	// ended, so that this process need not wait for their lease to lapse: they
	// held the same port.
	FormerEnded bool
}

// DefaultConfig returns the defaults: another process acquires the lease within
// about 8 seconds after its holder's death, and at its next read after a release.
func DefaultConfig() Config {
	return Config{
		TTL:         5 * time.Second,
		Margin:      500 * time.Millisecond,
		Safety:      0.7,
		RenewEvery:  1500 * time.Millisecond,
		RenewJitter: 0.2,
		WatchEvery:  time.Second,
		MaxBackoff:  4 * time.Second,
	}
}

// Acquired reports that this process holds the duty from now on.
type Acquired struct {
	Fence uint64
	// Previous is the last holder; empty for none.
	Previous id.Process
	// Own is set if an earlier process of this daemon, which has ended, was the
	// last holder. A caller sets it too if it knows that this process was the last
	// holder. Only this daemon's own orders can then still be in flight.
	Own bool
	// Quiet is set if the last holder released the lease when none of its orders
	// could still be in flight.
	Quiet bool
	// Lapsed is set if the last holder did not renew the lease, so that the whole
	// TTL has passed since its last write.
	Lapsed bool
}

// Lost reports that this process no longer holds the duty.
type Lost struct {
	Fence  uint64
	Reason string
}

// Action is a request that the caller sends, or a change of the lease's state.
type Action struct {
	Request  *table.Request
	Acquired *Acquired
	Lost     *Lost
}

// phase is the state of a Lease: the reply or time that it waits for.
type phase uint8

const (
	phaseWait phase = iota
	phaseRead
	phaseAcquire
	phaseRenew
	phaseRelease
	phaseStopped
)

// Lease contends for one duty and holds it. It does no I/O and is not safe for
// concurrent use.
type Lease struct {
	cfg  Config
	duty string
	self id.Process
	rng  *rand.Rand

	phase phase
	seq   uint64
	due   time.Duration
	pause time.Duration
	// stopping is set once Release was called; the process no longer contends.
	stopping bool
	// quiet is the value of Row.Quiet in the release.
	quiet bool

	// seen is the row as last read or written, with its version; unchangedSince
	// is when that version was first seen.
	seen           Row
	version        uint64
	unchangedSince time.Duration
	// observed is set once the row was read or written in the present era, so that
	// unchangedSince is valid.
	observed bool
	// era is the latest era of the table that a reply named.
	era uint64

	// heldFence is the fencing number of the lease held; 0 for none. trustedUntil
	// is when the holder stops acting unless the lease is renewed.
	heldFence    uint64
	trustedUntil time.Duration
	// pendingRow is the row of the last write; wroteAt is when that write was
	// sent, and uncertain is set while its effect is unknown.
	pendingRow Row
	wroteAt    time.Duration
	uncertain  bool
	// acquiringFence is the fencing number of the last acquisition; 0 once the
	// lease was lost, released or halted. previousRow is the row that the
	// acquisition replaced.
	acquiringFence uint64
	previousRow    Row
}

// New returns a contender for the duty. Its first read is due at now plus a random
// part of WatchEvery, which spreads the reads of processes that start together.
func New(cfg Config, duty string, self id.Process, now time.Duration, rng *rand.Rand) *Lease {
	l := &Lease{cfg: cfg, duty: duty, self: self, rng: rng, pause: cfg.WatchEvery}
	l.due = now + time.Duration(rng.Float64()*float64(cfg.WatchEvery))
	return l
}

// Valid reports whether this process may act as the holder at this moment. The
// caller must call it immediately before each order, with the current time.
func (l *Lease) Valid(now time.Duration) bool { return l.heldFence != 0 && now < l.trustedUntil }

// Fence returns the fencing number of the lease held; 0 for none.
func (l *Lease) Fence() uint64 { return l.heldFence }

// LastRow returns the lease row as last seen, for status pages.
func (l *Lease) LastRow() Row { return l.seen }

// Stopped reports whether a Release is complete.
func (l *Lease) Stopped() bool { return l.phase == phaseStopped }

// Next returns the time of the next Tick.
func (l *Lease) Next() time.Duration {
	next := time.Duration(1<<63 - 1)
	if l.phase == phaseWait {
		next = l.due
	}
	if l.heldFence != 0 {
		next = min(next, l.trustedUntil)
	}
	return next
}

// Tick performs the actions that are due: a read, a renewal, or the loss of a lease
// that was not renewed in time.
func (l *Lease) Tick(now time.Duration) []Action {
	var out []Action
	if l.heldFence != 0 && now >= l.trustedUntil {
		out = append(out, l.lose("it was not renewed in time"))
	}
	if l.phase != phaseWait || now < l.due {
		return out
	}
	if l.heldFence != 0 {
		return append(out, l.renew(now))
	}
	return append(out, l.read())
}

// Release releases the lease, so that another process need not wait for it to
// lapse. The caller must have stopped acting as the holder. quiet is true if none
// of its orders can still be in flight.
func (l *Lease) Release(now time.Duration, quiet bool) []Action {
	if l.stopping {
		return nil
	}
	l.stopping = true
	l.quiet = quiet
	if l.heldFence == 0 {
		if l.phase == phaseWait && !l.uncertain {
			l.phase = phaseStopped
		}
		return nil
	}
	lost := l.lose("released")
	if l.phase != phaseWait {
		// The request in flight determines the row's version: release after its reply.
		return []Action{lost}
	}
	return []Action{lost, l.release(now)}
}

// Poke schedules a contender's next read earlier, as when the holder is known to
// be leaving.
func (l *Lease) Poke(now time.Duration) {
	if l.heldFence == 0 && l.phase == phaseWait && !l.stopping {
		l.due = min(l.due, now+time.Duration(l.rng.Float64()*float64(l.cfg.WatchEvery)/8))
	}
}

// Halt stops trusting the lease immediately, as when this process was declared
// dead. The process then contends again like any other.
func (l *Lease) Halt(now time.Duration) []Action {
	if l.heldFence == 0 {
		return nil
	}
	return []Action{l.lose("halted")}
}

func (l *Lease) lose(reason string) Action {
	lost := &Lost{Fence: l.heldFence, Reason: reason}
	l.heldFence, l.acquiringFence = 0, 0
	return Action{Lost: lost}
}

func (l *Lease) request(ph phase, q table.Request) Action {
	l.phase = ph
	l.seq++
	q.Seq = l.seq
	return Action{Request: &q}
}

func (l *Lease) read() Action {
	return l.request(phaseRead, table.Request{Keys: []string{Key(l.duty)}})
}

// write requests that the row as last seen be replaced with row.
func (l *Lease) write(now time.Duration, ph phase, row Row) Action {
	l.pendingRow, l.wroteAt, l.uncertain = row, now, false
	value, err := json.Marshal(row)
	if err != nil {
		panic("lease: can't encode a row: " + err.Error())
	}
	return l.request(ph, table.Request{Transaction: &table.Transaction{
		Conditions: []table.Condition{{Key: Key(l.duty), Version: l.version}},
		Puts:       []table.Put{{Key: Key(l.duty), Value: value}},
	}})
}

func (l *Lease) acquire(now time.Duration) Action {
	l.acquiringFence = max(l.seen.Fence, firstFence(l.era)) + 1
	l.previousRow = l.seen
	return l.write(now, phaseAcquire, Row{Holder: l.self, Fence: l.acquiringFence, TTL: l.cfg.TTL, Beat: l.seen.Beat + 1, Era: l.era})
}

func (l *Lease) renew(now time.Duration) Action {
	row := l.seen
	row.TTL = l.cfg.TTL
	row.Beat++
	return l.write(now, phaseRenew, row)
}

func (l *Lease) release(now time.Duration) Action {
	return l.write(now, phaseRelease, Row{Fence: l.seen.Fence, Beat: l.seen.Beat + 1, Quiet: l.quiet, Era: l.era})
}

// wait schedules the next read or renewal after a success.
func (l *Lease) wait(now, every time.Duration) {
	l.phase = phaseWait
	l.pause = l.cfg.WatchEvery
	l.due = now + every - time.Duration(l.rng.Float64()*l.cfg.RenewJitter*float64(every))
}

// backOff schedules the next read or renewal after a failure: a random part, at
// least a quarter, of an exponentially growing pause. retryLater shortens it for a
// holder.
func (l *Lease) backOff(now time.Duration) {
	l.phase = phaseWait
	quarter := l.pause / 4
	l.due = now + quarter + time.Duration(l.rng.Float64()*float64(l.pause-quarter))
	l.pause = min(2*l.pause, l.cfg.MaxBackoff)
}
