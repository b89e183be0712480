package claims

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/store"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// testTimeout bounds every wait of a test; no test passes by reaching it.
const testTimeout = 20 * time.Second

// harness runs the claims of several daemons on one stand-in table.
type harness struct {
	t       *testing.T
	table   *standin.Table
	daemons []*Claims
	writers []*lossyWriters
	names   []id.Daemon
	tokens  int
}

// lossyWriters forwards calls to other daemons; a test may replace the calls.
type lossyWriters struct {
	InProcess
	// begin and finish replace a call if they are not nil.
	begin        func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error)
	finish       func(ctx context.Context, to id.Daemon, call *FinishCall) (FinishReply, error)
	mu           sync.Mutex
	beginTargets []id.Daemon
}

// Begin implements Writers.
func (l *lossyWriters) Begin(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
	l.mu.Lock()
	l.beginTargets = append(l.beginTargets, to)
	l.mu.Unlock()
	if l.begin != nil {
		return l.begin(ctx, to, call)
	}
	return l.InProcess.Begin(ctx, to, call)
}

// Finish implements Writers.
func (l *lossyWriters) Finish(ctx context.Context, to id.Daemon, call *FinishCall) (FinishReply, error) {
	if l.finish != nil {
		return l.finish(ctx, to, call)
	}
	return l.InProcess.Finish(ctx, to, call)
}

// newHarness starts daemons; the last two write the claims of all.
func newHarness(t *testing.T, count int) *harness {
	t.Helper()
	h := &harness{t: t, table: standin.NewTable(standin.TableConfig{Seed: 1, WritesPerSecond: 1e6, ReadsPerSecond: 1e6})}
	tableServer, err := h.table.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tableServer.Close)
	objects, err := standin.NewObjectStore(1).Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(objects.Close)
	peers := map[id.Daemon]*Claims{}
	begin := time.Now()
	for i := range count {
		name := id.Daemon(fmt.Sprint("d", i))
		registry := metrics.New(string(name))
		work, err := workpool.New("short", 64, registry)
		if err != nil {
			t.Fatal(err)
		}
		w := &lossyWriters{InProcess: InProcess{From: name, Peers: peers}}
		c := Start(Config{
			Self:       id.Process{Daemon: name, Incarnation: 1},
			Writers:    w,
			Store:      store.New(store.TableService{Client: client.NewTable(tableServer.Addr(), client.Options{})}, work, registry),
			Objects:    client.NewObjects(objects.Addr(), client.Options{}),
			Work:       work,
			Metrics:    registry,
			OwnerAlive: func(id.Process) bool { return true },
			Now:        func() time.Duration { return time.Since(begin) },
			Wall:       time.Now,
		})
		peers[name] = c
		h.daemons, h.writers, h.names = append(h.daemons, c), append(h.writers, w), append(h.names, name)
		t.Cleanup(func() {
			c.Close()
			work.Close()
		})
	}
	writers := h.names[count-2:]
	for _, c := range h.daemons {
		c.writers.Store(&writers)
	}
	return h
}

// begin claims a key for a daemon with a new token.
func (h *harness) begin(daemon int, key string) (*claim.Claim, *claim.Answer, *verdict.Error) {
	h.tokens++
	return h.attempt(daemon, key, claim.Token(fmt.Sprint("t", h.tokens)))
}

func (h *harness) attempt(daemon int, key string, token claim.Token) (*claim.Claim, *claim.Answer, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return h.daemons[daemon].Begin(ctx, claim.Begin{
		Team: "t", Service: "stems", Key: key, Token: token, Owner: h.daemons[daemon].cfg.Self,
		RequestHash: claim.HashRequest("POST", "/hold", []byte(key)),
	})
}

// retryBegin repeats an attempt until it succeeds, and returns its claim or answer.
// It fails the test after testTimeout.
func (h *harness) retryBegin(daemon int, key string) (*claim.Claim, *claim.Answer) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		held, answer, err := h.begin(daemon, key)
		if err == nil {
			return held, answer
		}
	}
	h.t.Fatalf("key %s was neither claimed nor answered in time", key)
	return nil, nil
}

func answerOutcome(text string) claim.Outcome {
	return claim.Outcome{Answer: &claim.Answer{Status: 200, Body: []byte(text)}}
}

// writerOf returns the index of the daemon that writes the key's row.
func (h *harness) writerOf(key string) int {
	first := h.daemons[0].writersOf(claim.RowKey("t", "stems", key))[0]
	for i, name := range h.names {
		if name == first {
			return i
		}
	}
	h.t.Fatalf("no writer %s", first)
	return -1
}

func TestClaimThroughRemoteWriter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	held, _, err := h.begin(0, "k")
	is.True(err == nil)
	is.Equal(held.Owner, h.daemons[0].cfg.Self)
	is.Equal(h.writers[0].beginTargets, []id.Daemon{h.names[h.writerOf("k")]})
	for daemon := range h.daemons {
		_, _, err = h.begin(daemon, "k")
		is.Equal(err.Verdict, verdict.MayHaveRun) // the first call may be running
		is.Equal(err.Code, verdict.CodeClaimed)
	}
	h.daemons[0].Finish(*held, answerOutcome("held"))
	for daemon := range h.daemons {
		_, answer := h.retryBegin(daemon, "k")
		is.Equal(string(answer.Body), "held")
	}
}

// TestReplyLostAfterCommit: the writer stops between its commit and its reply. The
// owner must refuse the call, and the key must become free again.
func TestReplyLostAfterCommit(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	committed := false
	h.writers[0].begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
		reply, err := h.writers[0].InProcess.Begin(ctx, to, call)
		committed = err == nil && reply.Claim != nil
		return BeginReply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection lost")
	}
	held, answer, err := h.begin(0, "k")
	is.True(committed)
	is.True(held == nil && answer == nil) // must not be dispatched
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.Code, verdict.CodeClaimUnavailable)
	is.True(err.RetryAfter > 0)
	held, _ = h.retryBegin(1, "k")
	is.True(held != nil)
}

// TestClaimOfStoppingWriterIsReleased: the writer has written the claim, but refuses
// it since it is stopping. The key must become free again.
func TestClaimOfStoppingWriterIsReleased(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	h.writers[0].begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
		_, err := h.writers[0].InProcess.Begin(ctx, to, call)
		return BeginReply{Refusal: refusalOf(stoppingError())}, err
	}
	_, _, err := h.begin(0, "k")
	is.Equal(err.Verdict, verdict.NotRun)
	held, _ := h.retryBegin(1, "k")
	is.True(held != nil)
}

// state returns the state of a key's row in the table; 0 if there is no row.
func (h *harness) state(key string) claim.State {
	h.t.Helper()
	rows := h.table.Read(wire.ReadRequest{Keys: []string{claim.RowKey("t", "stems", key)}}).Rows
	if len(rows) == 0 || rows[0].Version == 0 {
		return 0
	}
	row, err := claim.DecodeRow(rows[0].Value)
	if err != nil {
		h.t.Fatal(err)
	}
	return row.State
}

// TestBeginThatOvertakesItsRelease: a Begin whose owner has given up reaches the writer
// before the owner's release is written. It gets the claim, under which nothing is
// dispatched, and the release frees the key.
func TestBeginThatOvertakesItsRelease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	h.writers[0].begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
		reply := h.daemons[h.writerOf("k")].HandleBegin(ctx, "d0", call)
		is.True(reply.Claim != nil)
		is.Equal(h.state("k"), claim.StateClaimed)
		return BeginReply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer in time")
	}
	_, _, err := h.begin(0, "k")
	is.Equal(err.Verdict, verdict.NotRun)
	for end := time.Now().Add(testTimeout); h.state("k") == claim.StateClaimed && time.Now().Before(end); {
		runtime.Gosched()
	}
	is.Equal(h.state("k"), claim.StateReleased)
	held, _ := h.retryBegin(1, "k")
	is.True(held != nil)
}

// TestBeginThatArrivesBehindItsRelease: the owner abandons and releases a call that
// is still in flight to the writer. A Begin that arrives after the release must not
// claim the key.
func TestBeginThatArrivesBehindItsRelease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	var late *BeginCall
	h.writers[0].begin = func(_ context.Context, _ id.Daemon, call *BeginCall) (BeginReply, error) {
		if late == nil {
			late = call
		}
		return BeginReply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer in time")
	}
	_, _, err := h.begin(0, "k")
	is.Equal(err.Verdict, verdict.NotRun)
	for end := time.Now().Add(testTimeout); h.state("k") == 0 && time.Now().Before(end); {
		_, _, err = h.begin(0, "another")
		is.Equal(err.Verdict, verdict.NotRun)
	}
	is.Equal(h.state("k"), claim.StateReleased)
	reply := h.daemons[h.writerOf("k")].HandleBegin(context.Background(), "d0", late)
	is.True(reply.Claim == nil)
	is.Equal(reply.Refusal.Verdict, verdict.NotRun)
	held, _ := h.retryBegin(1, "k")
	is.True(held != nil)
}

func TestUnreachableWriterIsSkipped(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	first := h.names[h.writerOf("k")]
	h.writers[0].begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
		if to == first {
			return BeginReply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no connection")
		}
		return h.writers[0].InProcess.Begin(ctx, to, call)
	}
	held, _, err := h.begin(0, "k")
	is.True(err == nil && held != nil)
	is.Equal(len(h.writers[0].beginTargets), 2)
	h.writers[0].begin = func(context.Context, id.Daemon, *BeginCall) (BeginReply, error) {
		return BeginReply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no connection")
	}
	_, _, err = h.begin(0, "k2")
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.Code, verdict.CodeClaimUnavailable)
}

func TestOutcomeIsStoredWhenWriterFails(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	held, _, err := h.begin(0, "k")
	is.True(err == nil)
	h.writers[0].finish = func(context.Context, id.Daemon, *FinishCall) (FinishReply, error) {
		return FinishReply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection lost")
	}
	h.daemons[0].Finish(*held, answerOutcome("held"))
	_, answer := h.retryBegin(1, "k")
	is.Equal(string(answer.Body), "held")
}

func TestLargeAnswerGoesToTheObjectStore(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 4)
	held, _, err := h.begin(0, "k")
	is.True(err == nil)
	body := make([]byte, maxForwardedBody+1)
	body[7] = 'x'
	h.daemons[0].Finish(*held, answerOutcome(string(body)))
	_, answer := h.retryBegin(1, "k")
	is.Equal(answer.Body, body)
}

func TestForeignClaimsAreRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3)
	call := &BeginCall{Begin: claim.Begin{Team: "t", Service: "s", Key: "k", Token: "t", Owner: h.daemons[0].cfg.Self}}
	reply := h.daemons[2].HandleBegin(context.Background(), "d1", call)
	is.Equal(reply.Refusal.Verdict, verdict.NotRun)
	is.Equal(reply.Refusal.Code, verdict.CodeBadRequest)
	held, _, err := h.begin(0, "k")
	is.True(err == nil)
	is.True(!h.daemons[2].HandleFinish(context.Background(), "d1", &FinishCall{Claim: *held, Outcome: answerOutcome("forged")}).Stored)
	h.daemons[0].Finish(*held, answerOutcome("true"))
	_, answer := h.retryBegin(1, "k")
	is.Equal(string(answer.Body), "true")
}

func TestReplyForAnotherClaimIsRejected(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3)
	other, _, err := h.begin(0, "other")
	is.True(err == nil)
	for _, reply := range []BeginReply{{}, {Claim: other}} {
		h.writers[0].begin = func(context.Context, id.Daemon, *BeginCall) (BeginReply, error) { return reply, nil }
		held, answer, err := h.begin(0, "k")
		is.True(held == nil && answer == nil)
		is.Equal(err.Verdict, verdict.NotRun) // must not be dispatched
	}
	is.Equal((&Refusal{}).asError().Verdict, verdict.MayHaveRun) // an invalid verdict must not exclude that the call has run
}
