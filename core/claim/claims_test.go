package claim

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/verdict"
)

var (
	start    = time.Unix(1_000_000, 0)
	live     = id.Process{Daemon: "live", Incarnation: 2}
	dead     = id.Process{Daemon: "live", Incarnation: 1}
	newBegin = func(key string, token Token) Begin {
		return Begin{Team: "t", Service: "s", Key: key, Token: token, Owner: live, RequestHash: HashRequest("POST", "/", nil)}
	}
)

// harness runs one Claims on a table without faults.
type harness struct {
	*Claims
	table    *memTable
	now      time.Duration
	wallJump time.Duration
}

func newHarness(t *memTable) *harness {
	if t == nil {
		t = &memTable{rows: map[string]table.Row{}, history: map[string][]table.Row{}}
	}
	return &harness{Claims: New(Config{OwnerAlive: func(p id.Process) bool { return p == live }}), table: t}
}

// settle performs the store's actions until nothing is due within 100 ms, and
// returns the other actions.
func (b *harness) settle(actions []Action) []Action {
	var out []Action
	for end := b.now + 100*time.Millisecond; ; {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch {
			case a.Transact != nil:
				actions = append(actions, b.StoreReply(b.now, a.Transact.ID, b.table.transact(a.Transact.Transaction))...)
			case a.Read != nil:
				var rows []table.Row
				for _, k := range a.Read.Keys {
					rows = append(rows, b.table.rows[k])
				}
				actions = append(actions, b.ReadReply(b.now, a.Read.ID, rows)...)
			default:
				out = append(out, a)
			}
		}
		if b.Next() > end {
			return out
		}
		b.now = b.Next()
		actions = b.tick()
	}
}

func (b *harness) wall() time.Time { return start.Add(b.now + b.wallJump) }

func (b *harness) tick() []Action { return b.Tick(b.now, b.wall()) }

func (b *harness) begin(c Begin) Action { return b.settle(b.Begin(b.now, b.wall(), c))[0] }

func (b *harness) put(r Row) {
	value, _ := EncodeRow(r)
	b.table.transact(table.Transaction{Puts: []table.Put{{Key: RowKey("t", "s", "k"), Value: value}}})
}

func TestRefusals(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	is.True(b.begin(newBegin("k", "a")).Proceed != nil)

	running := b.begin(newBegin("k", "b")).Refuse.Err
	is.Equal(running.Verdict, verdict.MayHaveRun)
	is.Equal(running.Code, verdict.CodeClaimed)
	is.True(running.RetryAfter > 0)

	other := newBegin("k", "c")
	other.RequestHash = HashRequest("POST", "/", []byte("other"))
	conflict := b.begin(other).Refuse.Err
	is.Equal(conflict.Verdict, verdict.NotRun)
	is.Equal(conflict.Code, verdict.CodeConflict)

	foreign := newBegin("k", "d")
	foreign.Team = "u"
	is.True(b.begin(foreign).Proceed != nil) // the same key of another team

	b.put(Row{State: StateClaimed, Token: "x", Owner: dead, RequestHash: other.RequestHash, ExpiresUnixMS: start.Add(time.Hour).UnixMilli()})
	lost := b.begin(Begin{Team: "t", Service: "s", Key: "k", Token: "e", Owner: live, RequestHash: other.RequestHash}).Refuse.Err
	is.Equal(lost.Verdict, verdict.MayHaveRun)
	is.Equal(lost.Code, verdict.CodeClaimed)
	is.Equal(lost.RetryAfter, time.Duration(0))
}

func TestLargeAnswerGoesToTheObjectStore(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	claim := b.begin(newBegin("k", "a")).Proceed.Claim
	body := bytes.Repeat([]byte("x"), DefaultMaxInline+1)
	out := b.settle(b.Finish(b.now, claim, Outcome{Answer: &Answer{Status: 201, Body: body}}))
	is.Equal(out[0].StoreObject.Body, body)
	is.Equal(b.begin(newBegin("k", "early")).Refuse.Err.Verdict, verdict.MayHaveRun) // not stored yet
	out = b.settle(b.ObjectReply(b.now, out[0].StoreObject.Row, true))
	is.True(out[0].Settled.Stored)
	replay := b.begin(newBegin("k", "b")).Replay.Answer
	is.Equal(replay.Status, 201)
	is.Equal(replay.ObjectBytes, len(body))
	is.Equal(replay.Object, objectName("a"))

	rows := []table.Row{b.table.rows[claim.Row]}
	alive := func(id.Process) bool { return true }
	tx, _ := Sweep(start.Add(24*time.Hour), rows, alive)
	is.Equal(len(tx.Puts), 0)
	tx, objects := Sweep(start.Add(26*time.Hour), rows, alive)
	is.Equal(tx.Conditions, []table.Condition{{Key: claim.Row, Version: rows[0].Version}})
	is.Equal(objects, []string{objectName("a")})
}

func TestObjectStoreDown(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	claim := b.begin(newBegin("k", "a")).Proceed.Claim
	b.settle(b.Finish(b.now, claim, Outcome{Answer: &Answer{Body: make([]byte, DefaultMaxInline+1)}}))
	for range maxObjectAttempts {
		b.settle(b.ObjectReply(b.now, claim.Row, false))
		b.now += objectRetryDelay
		b.settle(b.tick())
	}
	is.Equal(b.begin(newBegin("k", "b")).Refuse.Err.Verdict, verdict.Ran)
}

func TestExpiryAndClockJump(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	claim := b.begin(newBegin("k", "a")).Proceed.Claim
	b.settle(b.Finish(b.now, claim, Outcome{Answer: &Answer{Status: 200}}))
	b.wallJump = 25 * time.Hour
	is.True(b.begin(newBegin("k", "b")).Replay != nil) // wall time jumped, monotonic time did not
	b.wallJump = 0
	b.now += 25 * time.Hour
	is.True(b.begin(newBegin("k", "c")).Proceed != nil)
	b.now += 25 * time.Hour
	is.Equal(b.begin(newBegin("k", "d")).Refuse.Err.Code, verdict.CodeClaimed) // the owner is alive
}

func TestStoreDownRefusesNotRun(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	is.Equal(len(b.Begin(0, b.wall(), newBegin("k", "a"))), 0)
	b.now = DefaultWindow
	sent := b.tick()[0].Transact
	b.StoreFailed(b.now, sent.ID, CertainlyNotRun)
	b.now = DefaultMaxWait
	out := b.tick()
	refused := out[len(out)-1].Refuse.Err
	is.Equal(refused.Verdict, verdict.NotRun)
	is.Equal(refused.Code, verdict.CodeClaimUnavailable)
	is.True(b.Next() > DefaultMaxWait)
}

func TestGroupCommit(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	b.SetMinInterval(0)
	var out []Action
	for i := range 3 * DefaultMaxBatch {
		out = append(out, b.Begin(0, b.wall(), newBegin(fmt.Sprint(i), Token(fmt.Sprint(i))))...)
	}
	is.Equal(len(out), DefaultMaxInFlight)
	is.Equal(len(out[0].Transact.Transaction.Puts), DefaultMaxBatch)
	is.Equal(len(b.settle(out)), 3*DefaultMaxBatch)
	is.Equal(b.Stats().Transactions, uint64(3))
}

// TestReleaseFencesLateWrite: a writer dies while its claim write, which expects a
// released row, is in flight. A release through another writer must make that
// write fail.
func TestReleaseFencesLateWrite(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	b.put(Row{State: StateReleased, Token: "old"})
	row := RowKey("t", "s", "k")
	late := table.Transaction{Conditions: []table.Condition{{Key: row, Version: b.table.rows[row].Version}}, Puts: []table.Put{{Key: row, Value: []byte("late")}}}
	out := b.settle(b.Release(0, Claim{Row: row, Token: "a", Owner: live}))
	is.True(out[0].Settled.Stored)
	is.True(!b.table.transact(late).Applied)
	is.True(b.begin(newBegin("k", "b")).Proceed != nil)
}

func TestBeginAfterOwnRelease(t *testing.T) {
	is := is.New(t)
	b := newHarness(nil)
	b.settle(b.Release(0, Claim{Row: RowKey("t", "s", "k"), Token: "a", Owner: live}))
	is.Equal(b.begin(newBegin("k", "a")).Refuse.Err.Code, verdict.CodeSuperseded)
}

// TestRateAtTargetSize: one of four writers gets a quarter of 6,600 claims a
// second and their outcomes, and the table replies after 8 ms. The writer's share
// of 240 transactions a second must suffice.
func TestRateAtTargetSize(t *testing.T) {
	is := is.New(t)
	const perSecond, share, seconds = 1650, 60, 5
	interval := MinIntervalFor(4*share, 4)
	b := newHarness(nil)
	b.Claims = New(Config{OwnerAlive: func(id.Process) bool { return true }, MinInterval: interval})
	type pendingReply struct {
		at time.Duration
		tx *Transact
	}
	var inFlight []pendingReply
	begun := map[Token]time.Duration{}
	var waits []time.Duration
	var perform func(actions []Action)
	perform = func(actions []Action) {
		for _, a := range actions {
			switch {
			case a.Transact != nil:
				inFlight = append(inFlight, pendingReply{b.now + 8*time.Millisecond, a.Transact})
			case a.Proceed != nil:
				waits = append(waits, b.now-begun[a.Proceed.Claim.Token])
				perform(b.Finish(b.now, a.Proceed.Claim, Outcome{Answer: &Answer{Status: 200}}))
			}
		}
	}
	for b.now = 0; b.now < seconds*time.Second; b.now += 100 * time.Microsecond {
		if n := len(begun); time.Duration(n)*time.Second/perSecond <= b.now {
			token := Token(fmt.Sprint(n))
			begun[token] = b.now
			perform(b.Begin(b.now, b.wall(), newBegin(string(token), token)))
		}
		for len(inFlight) > 0 && inFlight[0].at <= b.now {
			tx := inFlight[0].tx
			inFlight = inFlight[1:]
			perform(b.StoreReply(b.now, tx.ID, b.table.transact(tx.Transaction)))
		}
		perform(b.tick())
	}
	slices.Sort(waits)
	p50, p99 := waits[len(waits)/2], waits[len(waits)*99/100]
	rows := float64(b.Stats().Rows) / float64(b.Stats().Transactions)
	t.Logf("%d claims: wait p50 %s, p99 %s; %d transactions of %.1f rows", len(waits), p50, p99, b.Stats().Transactions, rows)
	is.True(b.Stats().Transactions <= share*seconds+1)
	is.True(len(waits) > perSecond*seconds*99/100)
	is.True(p99 < 40*time.Millisecond) // simulated time
}

func TestWritersMoveOneAtATime(t *testing.T) {
	is := is.New(t)
	members := []id.Daemon{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	writers := Writers(members, 2)
	is.Equal(len(writers), 2)
	is.Equal(len(Writers(members[:1], 2)), 1)
	is.Equal(MinIntervalFor(240, len(members)), DefaultMinInterval)
	is.Equal(WriterFor("row", nil), id.Daemon(""))
	without := slices.DeleteFunc(slices.Clone(members), func(d id.Daemon) bool { return d == writers[0] })
	is.True(slices.Contains(Writers(without, 2), writers[1]))
	is.True(slices.Contains(writers, WriterFor("row", writers)))
}

func TestRowCodec(t *testing.T) {
	is := is.New(t)
	r := Row{State: StateFinished, Token: "a", Owner: live, Outcome: Outcome{Answer: &Answer{Status: 200, Body: []byte("x")}}}
	value, err := EncodeRow(r)
	is.NoErr(err)
	got, err := DecodeRow(value)
	is.NoErr(err)
	is.Equal(got, r)
	_, err = DecodeRow([]byte("junk"))
	is.True(err != nil)
	is.True(RowKey("a", "b/c", "k") != RowKey("a/b", "c", "k"))
}
