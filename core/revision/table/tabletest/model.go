// Package tabletest is a model of the platform's table for randomised tests of
// state machines: a simulated clock that advances from event to event, and a table
// that loses requests and replies, applies calls late, returns stale rows, and has
// outages.
package tabletest

import (
	"container/heap"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
)

// seedsEnv is the environment variable that multiplies the number of seeds of
// randomised tests.
const seedsEnv = "SAMPHIREQUAY_SEEDS"

// Seeds returns n times the value of SAMPHIREQUAY_SEEDS (default 1).
func Seeds(n int) uint64 {
	times, err := strconv.Atoi(os.Getenv(seedsEnv))
	if err != nil || times < 1 {
		times = 1
	}
	return uint64(n * times)
}

// event is a scheduled function.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// events is a heap ordered by time, then by the order of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Clock runs events in the order of their times.
type Clock struct {
	now    time.Duration
	seq    uint64
	queue  events
	Random *rand.Rand
}

// NewClock returns a clock at zero with its own random source.
func NewClock(seed uint64) *Clock {
	return &Clock{Random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the time of the running event.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules a function; a time in the past counts as now.
func (c *Clock) At(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at: max(at, c.now), seq: c.seq, run: run})
}

// After schedules a function d from now.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.now+d, run) }

// RandomDuration returns a random duration below d, or 0 if d is not positive.
func (c *Clock) RandomDuration(d time.Duration) time.Duration {
	return time.Duration(c.Random.Int64N(int64(max(d, 1))))
}

// Run runs all events up to a time.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// Faults sets the probability, 0 to 1, of each fault for a call.
type Faults struct {
	// LoseRequest: the call has no effect, and the caller gets no reply.
	LoseRequest float64
	// LoseReply: the call takes effect, but the caller gets no reply.
	LoseReply float64
	// Late: the call takes effect up to a second after the caller's timeout.
	Late float64
	// Stale: a read returns rows that are up to a second old.
	Stale float64
	// Down: every call fails without effect.
	Down bool
}

// callTimeout is the caller's timeout of a call.
const callTimeout = 200 * time.Millisecond

// maxLag bounds the age of a stale read and the delay of a late effect.
const maxLag = time.Second

// versionedRow is one version of a row.
type versionedRow struct {
	at  time.Duration
	row table.Row
}

// Model is a model of the table. It keeps the rows with the numbers that it gives out,
// and replies with versions of its era.
type Model struct {
	Faults     Faults
	clock      *Clock
	rows       map[string][]versionedRow
	lastNumber uint64
	// era counts the calls of Restore.
	era uint64
}

// New returns an empty table.
func New(c *Clock) *Model { return &Model{clock: c, rows: map[string][]versionedRow{}} }

// Row returns the current version of a row.
func (m *Model) Row(key string) table.Row { return m.rowAt(key, m.clock.now) }

func (m *Model) rowAt(key string, at time.Duration) table.Row {
	versions := m.rows[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if versions[i].at <= at {
			row := versions[i].row
			if row.Version != 0 {
				row.Version = table.VersionIn(m.era, row.Version)
			}
			return row
		}
	}
	return table.Row{Key: key}
}

// Restore brings the table back from a copy of a given age: later changes are lost, and
// their numbers are given out again.
func (m *Model) Restore(age time.Duration) {
	at := max(0, m.clock.now-age)
	m.era++
	m.lastNumber = 0
	for key, versions := range m.rows {
		kept := slices.DeleteFunc(versions, func(v versionedRow) bool { return v.at > at })
		m.rows[key] = kept
		for _, v := range kept {
			m.lastNumber = max(m.lastNumber, v.row.Version)
		}
	}
}

// Do runs a request with the current faults and calls done with the reply.
func (m *Model) Do(q table.Request, done func(table.Reply)) {
	f, r := m.Faults, m.clock.Random
	if f.Down {
		status := table.NotRun
		if r.IntN(2) == 0 {
			status = table.Unknown
		}
		m.clock.After(m.clock.RandomDuration(callTimeout), func() { done(table.Reply{Seq: q.Seq, Status: status}) })
		return
	}
	lost := func() { done(table.Reply{Seq: q.Seq, Status: table.Unknown}) }
	requestDelay, replyDelay := m.clock.RandomDuration(callTimeout/8), m.clock.RandomDuration(callTimeout/8)
	switch x := r.Float64(); {
	case x < f.LoseRequest:
		m.clock.After(callTimeout, lost)
	case x < f.LoseRequest+f.LoseReply:
		m.clock.After(requestDelay, func() { m.run(q) })
		m.clock.After(callTimeout, lost)
	case x < f.LoseRequest+f.LoseReply+f.Late:
		m.clock.After(callTimeout, lost)
		m.clock.After(callTimeout+m.clock.RandomDuration(maxLag), func() { m.run(q) })
	default:
		m.clock.After(requestDelay, func() {
			reply := m.run(q)
			m.clock.After(replyDelay, func() { done(reply) })
		})
	}
}

func (m *Model) run(q table.Request) table.Reply {
	if q.Transaction != nil {
		return m.transact(q)
	}
	at := m.clock.now
	if m.clock.Random.Float64() < m.Faults.Stale {
		at -= m.clock.RandomDuration(maxLag)
	}
	r := table.Reply{Seq: q.Seq, Status: table.Done, Era: m.era}
	for _, k := range q.Keys {
		r.Rows = append(r.Rows, m.rowAt(k, at))
	}
	return r
}

func (m *Model) transact(q table.Request) table.Reply {
	r := table.Reply{Seq: q.Seq, Status: table.Done, Era: m.era}
	for _, c := range q.Transaction.Conditions {
		// The table compares numbers only.
		if table.Number(m.Row(c.Key).Version) != table.Number(c.Version) {
			r.Failed = append(r.Failed, c.Key)
		}
		if c.Version != 0 && table.Era(c.Version) < m.era {
			r.Status = table.Unknown
		}
	}
	if len(r.Failed) > 0 {
		r.Status = table.Done
		return r
	}
	r.Applied = r.Status == table.Done
	for _, p := range q.Transaction.Puts {
		m.lastNumber++
		row := table.Row{Key: p.Key, Value: p.Value, Version: m.lastNumber}
		if p.Delete {
			row = table.Row{Key: p.Key}
		}
		m.rows[p.Key] = append(m.rows[p.Key], versionedRow{at: m.clock.now, row: row})
		r.Versions = append(r.Versions, table.VersionIn(m.era, row.Version))
	}
	return r
}
