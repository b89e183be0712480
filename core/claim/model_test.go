package claim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// memTable models the platform's table, including stale reads.
type memTable struct {
	rows    map[string]table.Row
	history map[string][]table.Row
	version uint64
}

func (t *memTable) transact(tx table.Transaction) table.Reply {
	var r table.Reply
	for _, c := range tx.Conditions {
		if t.rows[c.Key].Version != c.Version {
			r.Failed = append(r.Failed, c.Key)
		}
	}
	if len(r.Failed) > 0 {
		return r
	}
	r.Applied = true
	for _, p := range tx.Puts {
		t.version++
		row := table.Row{Key: p.Key, Value: p.Value, Version: t.version}
		t.rows[p.Key] = row
		t.history[p.Key] = append(t.history[p.Key], row)
		r.Versions = append(r.Versions, t.version)
	}
	return r
}

// read returns a row, or a stale version of it.
func (t *memTable) read(key string, stale bool, rng *rand.Rand) table.Row {
	if old := t.history[key]; stale && len(old) > 0 {
		if at := rng.IntN(len(old) + 1); at < len(old) {
			return old[at]
		}
		return table.Row{Key: key}
	}
	return t.rows[key]
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type faults struct {
	lostStoreReply, staleRead, slowStore, storeDown, noReply, lostReply, restart float64
}

// daemon is one process: it serves callers and writes claims.
type daemon struct {
	process id.Process
	claims  *Claims
}

// attempt is one call from the point of view of its caller.
type attempt struct {
	key           string
	owner         *daemon
	callerWaiting bool
	replies       []string
	dispatches    int
	refusedWith   verdict.Verdict
}

type simulation struct {
	rng            *rand.Rand
	faults         faults
	now            time.Duration
	queue          events
	seq            int
	table          *memTable
	daemons        []*daemon
	attempts       map[Token]*attempt
	tokens         []Token
	runs           map[string]int
	answers        map[string]string
	failedWith     map[string]verdict.Verdict
	restarts       int
	lostReplies    int
	storeDownUntil time.Duration
	minInterval    time.Duration
	violations     []string
}

func newSimulation(seed uint64, f faults) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), faults: f,
		table:    &memTable{rows: map[string]table.Row{}, history: map[string][]table.Row{}},
		attempts: map[Token]*attempt{}, runs: map[string]int{},
		answers: map[string]string{}, failedWith: map[string]verdict.Verdict{},
		minInterval: []time.Duration{time.Nanosecond, DefaultMinInterval, 4 * DefaultMinInterval}[seed%3],
	}
	for i := range 3 {
		s.daemons = append(s.daemons, s.start(id.Process{Daemon: id.Daemon(fmt.Sprint("d", i)), Incarnation: 1}))
	}
	return s
}

func (s *simulation) start(p id.Process) *daemon {
	return &daemon{process: p, claims: New(Config{OwnerAlive: s.alive, MaxBatch: 4, MinInterval: s.minInterval, CallTimeout: 100 * time.Millisecond})}
}

func (s *simulation) alive(p id.Process) bool {
	for _, d := range s.daemons {
		if d.process == p {
			return true
		}
	}
	return false
}

func (s *simulation) wall() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

func (s *simulation) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.seq, run: run})
}

// runAt runs an event at a daemon unless its process has ended, and performs the
// resulting actions.
func (s *simulation) runAt(d *daemon, run func(c *Claims) []Action) {
	if !s.alive(d.process) {
		return
	}
	for _, a := range run(d.claims) {
		s.act(d, a)
	}
	if at := d.claims.Next(); at != Never {
		s.schedule(max(at-s.now, 0)+time.Microsecond, func() {
			if d.claims.Next() <= s.now {
				s.runAt(d, func(c *Claims) []Action { return c.Tick(s.now, s.wall()) })
			}
		})
	}
}

func (s *simulation) latency() time.Duration {
	if s.chance(s.faults.slowStore) {
		return time.Duration(s.rng.IntN(1500)) * time.Millisecond
	}
	return time.Duration(s.rng.IntN(5000)) * time.Microsecond
}

func (s *simulation) act(d *daemon, a Action) {
	switch {
	case a.Transact != nil:
		s.transact(d, a.Transact)
	case a.Read != nil:
		s.read(d, a.Read)
	case a.StoreObject != nil:
		s.schedule(s.latency(), func() {
			s.runAt(d, func(c *Claims) []Action {
				return c.ObjectReply(s.now, a.StoreObject.Row, !s.chance(s.faults.lostStoreReply))
			})
		})
	case a.Proceed != nil:
		s.reply(a.Proceed.Claim.Token, "proceed", func(at *attempt) { s.dispatch(at, a.Proceed.Claim) })
	case a.Refuse != nil:
		s.reply(a.Refuse.Token, "refuse", func(at *attempt) { at.refusedWith = a.Refuse.Err.Verdict })
	case a.Replay != nil:
		s.reply(a.Replay.Token, "replay", func(at *attempt) { s.checkReplay(at, a.Replay.Answer) })
	}
}

func (s *simulation) transact(d *daemon, t *Transact) {
	fail := func(after time.Duration, f StoreFailure) {
		s.schedule(after, func() { s.runAt(d, func(c *Claims) []Action { return c.StoreFailed(s.now, t.ID, f) }) })
	}
	if s.now < s.storeDownUntil {
		if !s.chance(s.faults.noReply) {
			fail(time.Millisecond, CertainlyNotRun)
		}
		return
	}
	lost := s.chance(s.faults.lostStoreReply)
	if lost {
		fail(s.latency(), OutcomeUnknown) // possibly before the write takes effect
	}
	s.schedule(s.latency(), func() {
		r := s.table.transact(t.Transaction)
		if !lost {
			s.runAt(d, func(c *Claims) []Action { return c.StoreReply(s.now, t.ID, r) })
		}
	})
}

func (s *simulation) read(d *daemon, r *Read) {
	if s.now < s.storeDownUntil {
		s.schedule(time.Millisecond, func() {
			s.runAt(d, func(c *Claims) []Action { return c.StoreFailed(s.now, r.ID, OutcomeUnknown) })
		})
		return
	}
	s.schedule(s.latency(), func() {
		var rows []table.Row
		for _, key := range r.Keys {
			rows = append(rows, s.table.read(key, s.chance(s.faults.staleRead), s.rng))
		}
		s.runAt(d, func(c *Claims) []Action { return c.ReadReply(s.now, r.ID, rows) })
	})
}

// reply sends a decision from the writer to the owner, or loses it.
func (s *simulation) reply(t Token, what string, then func(*attempt)) {
	at := s.attempts[t]
	at.replies = append(at.replies, what)
	if s.chance(s.faults.lostReply) {
		s.lostReplies++
		return
	}
	s.schedule(time.Millisecond, func() {
		if s.alive(at.owner.process) && at.callerWaiting {
			at.callerWaiting = false
			then(at)
		} else if what == "proceed" {
			s.release(at, t)
		}
	})
}

func (s *simulation) release(at *attempt, t Token) {
	if !s.alive(at.owner.process) {
		return
	}
	writer := s.daemons[s.rng.IntN(len(s.daemons))]
	s.runAt(writer, func(c *Claims) []Action {
		return c.Release(s.now, Claim{Row: RowKey("team", "seats", at.key), Token: t, Owner: at.owner.process})
	})
}

// call starts one call through an owner and a writer, which may be the same.
func (s *simulation) call(key string) Token {
	owner := s.daemons[s.rng.IntN(len(s.daemons))]
	writer := s.daemons[s.rng.IntN(len(s.daemons))]
	t := Token(fmt.Sprint("t", len(s.tokens)))
	at := &attempt{key: key, owner: owner, callerWaiting: true}
	s.attempts[t] = at
	s.tokens = append(s.tokens, t)
	s.runAt(writer, func(c *Claims) []Action {
		return c.Begin(s.now, s.wall(), Begin{
			Team: "team", Service: "seats", Key: key, Token: t, Owner: owner.process,
			RequestHash: HashRequest("POST", "/hold", []byte(key)),
		})
	})
	s.schedule(400*time.Millisecond, func() {
		if at.callerWaiting {
			at.callerWaiting = false
			at.refusedWith = verdict.NotRun
			s.release(at, t)
		}
	})
	return t
}

func (s *simulation) dispatch(at *attempt, claim Claim) {
	at.dispatches++
	refused := s.chance(0.3)
	if !refused {
		s.runs[at.key]++
	}
	s.schedule(time.Duration(s.rng.IntN(50))*time.Millisecond, func() {
		out := Outcome{Answer: &Answer{Status: 200, Body: []byte(fmt.Sprint(at.key, " by ", claim.Token))}}
		switch {
		case refused:
			out = Outcome{Failure: &Failure{Verdict: verdict.NotRun}}
		case s.chance(0.1):
			out = Outcome{Failure: &Failure{Verdict: verdict.MayHaveRun, Code: verdict.CodeEndpointFailed}}
			s.failedWith[at.key] = verdict.MayHaveRun
		case s.alive(at.owner.process):
			s.answers[at.key] = string(out.Answer.Body)
		}
		s.runAt(at.owner, func(c *Claims) []Action { return c.Finish(s.now, claim, out) })
	})
}

func (s *simulation) checkReplay(at *attempt, a Answer) {
	if string(a.Body) != s.answers[at.key] {
		s.violations = append(s.violations, fmt.Sprintf("replay of %s: got %q, want %q", at.key, a.Body, s.answers[at.key]))
	}
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// restart ends the process of a daemon and starts another one.
func (s *simulation) restart(i int) {
	s.restarts++
	p := s.daemons[i].process
	p.Incarnation++
	s.daemons[i] = s.start(p)
}
