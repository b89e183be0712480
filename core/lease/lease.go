// Package lease holds duties by leases in the platform's table. A lease row
// carries a fencing number that grows with every acquisition. The holder stops
// by its own monotonic clock well before the lease can lapse for others; a
// contender waits by its own clock until the row has stood unchanged for the
// whole lease. No two clocks are ever compared.
package lease

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// prefix of the keys of lease rows.
const prefix = "lease/"

// Key is the key of the row of a duty.
func Key(duty string) string { return prefix + duty }

// Row is the value of a lease row.
type Row struct {
	// Holder is the process that holds the duty; empty after a release.
	Holder id.Process `json:"holder"`
	// Fence is the fencing number; it grows with every acquisition.
	Fence uint64 `json:"fence"`
	// TTL is how long the row must stand unchanged before another takes over.
	TTL time.Duration `json:"ttl"`
	// Beat counts renewals, so that each changes the row.
	Beat uint64 `json:"beat"`
	// Quiet, in a released row, says that no order of the former holder can
	// still be on its way.
	Quiet bool `json:"quiet,omitempty"`
}

// Config sets the times of a lease.
type Config struct {
	// TTL is the time after which a lease that is not renewed lapses.
	TTL time.Duration
	// Margin is what a contender waits on top, for clocks that run at
	// slightly different rates.
	Margin time.Duration
	// Safety is the share of TTL for which the holder trusts a lease, from
	// before the request that got it was sent.
	Safety float64
	// RenewEvery is the pause between renewals; each is cut by a random part
	// of up to RenewJitter (a share of RenewEvery).
	RenewEvery  time.Duration
	RenewJitter float64
	// WatchEvery is the pause between a contender's reads, with the same jitter.
	WatchEvery time.Duration
	// MaxBackoff bounds the doubling pause while the store fails.
	MaxBackoff time.Duration
	// FormerEnded says that an earlier process of the same daemon has ended for
	// certain, so that its lease need not lapse: it held the same port.
	FormerEnded bool
}

// DefaultConfig returns the defaults: a duty is taken over within about 8
// seconds of its holder's death, and at once after a release.
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

// Acquired says that this process holds the duty from now on.
type Acquired struct {
	Fence uint64
	// Previous is the process that held it last; empty for none.
	Previous id.Process
	// Own is set by whoever knows that this process was the last holder: only
	// orders of its own can still be on the way.
	Own bool
	// Quiet tells that the previous holder gave it up itself when no order of
	// its could still be on the way.
	Quiet bool
	// Lapsed tells that the previous holder did not renew it: the whole TTL has
	// passed since.
	Lapsed bool
}

// Lost says that this process holds the duty no more.
type Lost struct {
	Fence  uint64
	Reason string
}

// Action is one thing to do or to know.
type Action struct {
	Request  *table.Request
	Acquired *Acquired
	Lost     *Lost
}

// phase is what a Lease waits for.
type phase uint8

const (
	phaseWait phase = iota
	phaseRead
	phaseAcquire
	phaseRenew
	phaseRelease
	phaseStopped
)

// Lease contends for one duty and holds it: the one automaton is Contender
// and Holder in turn. It has no I/O and is not safe for concurrent use.
type Lease struct {
	cfg  Config
	duty string
	self id.Process
	rng  *rand.Rand

	phase phase
	seq   uint64
	due   time.Duration
	pause time.Duration
	// stopping is set once the lease is to be released for good.
	stopping bool
	// quiet is what the release says of orders on their way.
	quiet bool

	// seen is the row as last read, with its version; since is when that
	// version was first seen.
	seen           Row
	version        uint64
	unchangedSince time.Duration
	// watched is set once since counts.
	observed bool

	// held is the fencing number held; 0 for none. until is when trust ends.
	heldFence    uint64
	trustedUntil time.Duration
	// wanted is the row that the last write writes; wroteAt is when it was
	// sent, and doubt is set while its effect is unknown.
	pendingRow Row
	wroteAt    time.Duration
	uncertain  bool
	// taking is the fencing number of the last take; 0 once it was lost or
	// given up. previous is who held the row before.
	acquiringFence uint64
	previousRow    Row
}

// New returns a contender for the duty. Its first read is due at now plus a
// random part of WatchEvery, so that a fleet that starts at once is spread.
func New(cfg Config, duty string, self id.Process, now time.Duration, rng *rand.Rand) *Lease {
	l := &Lease{cfg: cfg, duty: duty, self: self, rng: rng, pause: cfg.WatchEvery}
	l.due = now + time.Duration(rng.Float64()*float64(cfg.WatchEvery))
	return l
}

// Valid tells whether this process may act on the duty right now. It must be
// asked right before each order, with the time read right then.
func (l *Lease) Valid(now time.Duration) bool { return l.heldFence != 0 && now < l.trustedUntil }

// Fence returns the fencing number held; 0 for none.
func (l *Lease) Fence() uint64 { return l.heldFence }

// Holder returns the duty's row as last seen, for status pages.
func (l *Lease) Holder() Row { return l.seen }

// Stopped tells whether a Release has ended.
func (l *Lease) Stopped() bool { return l.phase == phaseStopped }

// Next is when Tick is due.
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

// Tick does what is due: read, renew, or stop for want of a renewal.
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

// Release gives the duty up at once, so that another need not wait for it to
// lapse. The caller must have stopped acting on it; quiet says that no order of
// its can still be on the way.
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
		// The request in flight decides the row's version: release behind it.
		return []Action{lost}
	}
	return []Action{lost, l.release(now)}
}

// Poke brings a contender's next read forward, as when the holder is known to
// be leaving.
func (l *Lease) Poke(now time.Duration) {
	if l.heldFence == 0 && l.phase == phaseWait && !l.stopping {
		l.due = min(l.due, now+time.Duration(l.rng.Float64()*float64(l.cfg.WatchEvery)/8))
	}
}

// Halt stops trusting the lease at once, as when this process was declared
// dead; it contends again as any other.
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

// write replaces the row as last seen by wanted.
func (l *Lease) write(now time.Duration, ph phase, wanted Row) Action {
	l.pendingRow, l.wroteAt, l.uncertain = wanted, now, false
	value, err := json.Marshal(wanted)
	if err != nil {
		panic("lease: a row can't be encoded: " + err.Error())
	}
	return l.request(ph, table.Request{Transaction: &table.Transaction{
		Conditions: []table.Condition{{Key: Key(l.duty), Version: l.version}},
		Puts:       []table.Put{{Key: Key(l.duty), Value: value}},
	}})
}

func (l *Lease) acquire(now time.Duration) Action {
	l.acquiringFence = l.seen.Fence + 1
	l.previousRow = l.seen
	return l.write(now, phaseAcquire, Row{Holder: l.self, Fence: l.acquiringFence, TTL: l.cfg.TTL, Beat: l.seen.Beat + 1})
}

func (l *Lease) renew(now time.Duration) Action {
	wanted := l.seen
	wanted.TTL = l.cfg.TTL
	wanted.Beat++
	return l.write(now, phaseRenew, wanted)
}

func (l *Lease) release(now time.Duration) Action {
	return l.write(now, phaseRelease, Row{Fence: l.seen.Fence, Beat: l.seen.Beat + 1, Quiet: l.quiet})
}

// wait plans the next step after a success.
func (l *Lease) wait(now, every time.Duration) {
	l.phase = phaseWait
	l.pause = l.cfg.WatchEvery
	l.due = now + every - time.Duration(l.rng.Float64()*l.cfg.RenewJitter*float64(every))
}

// backOff plans the next step after a failure: a random part of a doubling
// pause, at least a quarter. A holder tries again sooner.
func (l *Lease) backOff(now time.Duration) {
	l.phase = phaseWait
	quarter := l.pause / 4
	l.due = now + quarter + time.Duration(l.rng.Float64()*float64(l.pause-quarter))
	l.pause = min(2*l.pause, l.cfg.MaxBackoff)
}
