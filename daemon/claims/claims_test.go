package claims

import (
	"context"
	"fmt"
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
	"github.com/samphirequay/samphirequay/standin"
)

// patience bounds every wait of a test; no test passes by it.
const testTimeout = 20 * time.Second

// rig is a few daemons' claims on one stand-in table.
type harness struct {
	t       *testing.T
	table   *standin.Table
	daemons []*Claims
	writers []*lossyWriters
	names   []id.Daemon
	tokens  int
}

// lossy passes calls on to other daemons as the test says.
type lossyWriters struct {
	InProcess
	// begin and finish may replace a call; nil passes it on.
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

// newRig starts daemons; the last two are the writers of all.
func newHarness(t *testing.T, count int) *harness {
	t.Helper()
	r := &harness{t: t, table: standin.NewTable(standin.TableConfig{Seed: 1, WritesPerSecond: 1e6, ReadsPerSecond: 1e6})}
	tableServer, err := r.table.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tableServer.Close)
	objects, err := standin.NewObjects(1).Start("127.0.0.1:0")
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
		r.daemons, r.writers, r.names = append(r.daemons, c), append(r.writers, w), append(r.names, name)
		t.Cleanup(func() {
			c.Close()
			work.Close()
		})
	}
	writers := r.names[count-2:]
	for _, c := range r.daemons {
		c.writers.Store(&writers)
	}
	return r
}

// begin makes an attempt of a daemon under a key.
func (r *harness) begin(daemon int, key string) (*claim.Claim, *claim.Answer, *verdict.Error) {
	r.tokens++
	return r.attempt(daemon, key, claim.Token(fmt.Sprint("t", r.tokens)))
}

func (r *harness) attempt(daemon int, key string, token claim.Token) (*claim.Claim, *claim.Answer, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return r.daemons[daemon].Begin(ctx, claim.Begin{
		Team: "t", Service: "stems", Key: key, Token: token, Owner: r.daemons[daemon].cfg.Self,
		RequestHash: claim.HashRequest("POST", "/hold", []byte(key)),
	})
}

// until repeats an attempt as long as it hears not run or that a call runs, and
// returns its claim or answer. There are at most as many tries as fit the
// patience.
func (r *harness) retryBegin(daemon int, key string) (*claim.Claim, *claim.Answer) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		held, answer, err := r.begin(daemon, key)
		if err == nil {
			return held, answer
		}
	}
	r.t.Fatalf("key %s is never free nor answered", key)
	return nil, nil
}

func answerOutcome(text string) claim.Outcome {
	return claim.Outcome{Answer: &claim.Answer{Status: 200, Body: []byte(text)}}
}

// writerOf is the index of the row's writer among the daemons.
func (r *harness) writerOf(key string) int {
	first := r.daemons[0].writersOf(claim.RowKey("t", "stems", key))[0]
	for i, name := range r.names {
		if name == first {
			return i
		}
	}
	r.t.Fatalf("no writer %s", first)
	return -1
}

func TestClaimThroughRemoteWriter(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 4)
	held, _, err := r.begin(0, "k")
	is.True(err == nil)
	is.Equal(held.Owner, r.daemons[0].cfg.Self)
	is.Equal(r.writers[0].beginTargets, []id.Daemon{r.names[r.writerOf("k")]})
	for daemon := range r.daemons {
		_, _, err = r.begin(daemon, "k")
		is.Equal(err.Verdict, verdict.MayHaveRun) // the first one may be running
		is.Equal(err.Code, verdict.CodeClaimed)
	}
	r.daemons[0].Finish(*held, answerOutcome("held"))
	for daemon := range r.daemons {
		_, answer := r.retryBegin(daemon, "k")
		is.Equal(string(answer.Body), "held")
	}
}

// TestReplyLostBehindTheCommit: the writer dies between commit and reply. The
// owner refuses, and the key gets free again.
func TestReplyLostAfterCommit(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 4)
	committed := false
	r.writers[0].begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
		reply, err := r.writers[0].InProcess.Begin(ctx, to, call)
		committed = err == nil && reply.Claim != nil
		return BeginReply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection lost")
	}
	held, answer, err := r.begin(0, "k")
	is.True(committed)
	is.True(held == nil && answer == nil) // never a dispatch
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.Code, verdict.CodeClaimUnavailable)
	is.True(err.RetryAfter > 0)
	held, _ = r.retryBegin(1, "k")
	is.True(held != nil)
}

// TestWriterThatStopsIsReleased: the writer refuses since it stops, with its
// write behind it.
func TestClaimOfStoppingWriterIsReleased(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 4)
	r.writers[0].begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
		_, err := r.writers[0].InProcess.Begin(ctx, to, call)
		return BeginReply{Refusal: refusalOf(stoppingError())}, err
	}
	_, _, err := r.begin(0, "k")
	is.Equal(err.Verdict, verdict.NotRun)
	held, _ := r.retryBegin(1, "k")
	is.True(held != nil)
}

// TestBeginThatArrivesBehindItsRelease: the call was under way when its owner
// gave it up; what it then writes must not block the key.
func TestBeginThatArrivesBehindItsRelease(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 4)
	var late *BeginCall
	r.writers[0].begin = func(_ context.Context, _ id.Daemon, call *BeginCall) (BeginReply, error) {
		if late == nil {
			late = call
		}
		return BeginReply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "no answer in time")
	}
	_, _, err := r.begin(0, "k")
	is.Equal(err.Verdict, verdict.NotRun)
	released := r.table.Counters().Applied
	for end := time.Now().Add(testTimeout); released == 0 && time.Now().Before(end); {
		_, _, err = r.begin(0, "another") // the owner's next writes go behind its release
		is.Equal(err.Verdict, verdict.NotRun)
		released = r.table.Counters().Applied
	}
	reply := r.daemons[r.writerOf("k")].HandleBegin(context.Background(), "d0", late)
	is.True(reply.Claim == nil)
	is.Equal(reply.Refusal.Verdict, verdict.NotRun)
	held, _ := r.retryBegin(1, "k")
	is.True(held != nil)
}

func TestUnreachableWriterIsSkipped(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 4)
	first := r.names[r.writerOf("k")]
	r.writers[0].begin = func(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
		if to == first {
			return BeginReply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no connection")
		}
		return r.writers[0].InProcess.Begin(ctx, to, call)
	}
	held, _, err := r.begin(0, "k")
	is.True(err == nil && held != nil)
	is.Equal(len(r.writers[0].beginTargets), 2)
	r.writers[0].begin = func(context.Context, id.Daemon, *BeginCall) (BeginReply, error) {
		return BeginReply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no connection")
	}
	_, _, err = r.begin(0, "k2")
	is.Equal(err.Verdict, verdict.NotRun)
	is.Equal(err.Code, verdict.CodeClaimUnavailable)
}

func TestOutcomeIsStoredWhenWriterFails(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 4)
	held, _, err := r.begin(0, "k")
	is.True(err == nil)
	r.writers[0].finish = func(context.Context, id.Daemon, *FinishCall) (FinishReply, error) {
		return FinishReply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection lost")
	}
	r.daemons[0].Finish(*held, answerOutcome("held"))
	_, answer := r.retryBegin(1, "k")
	is.Equal(string(answer.Body), "held")
}

func TestLargeAnswerGoesToTheObjectStore(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 4)
	held, _, err := r.begin(0, "k")
	is.True(err == nil)
	body := make([]byte, maxForwardedBody+1)
	body[7] = 'x'
	r.daemons[0].Finish(*held, answerOutcome(string(body)))
	_, answer := r.retryBegin(1, "k")
	is.Equal(answer.Body, body)
}

func TestForeignClaimsAreRefused(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 3)
	call := &BeginCall{Begin: claim.Begin{Team: "t", Service: "s", Key: "k", Token: "t", Owner: r.daemons[0].cfg.Self}}
	reply := r.daemons[2].HandleBegin(context.Background(), "d1", call)
	is.Equal(reply.Refusal.Verdict, verdict.NotRun)
	is.Equal(reply.Refusal.Code, verdict.CodeBadRequest)
	held, _, err := r.begin(0, "k")
	is.True(err == nil)
	is.True(!r.daemons[2].HandleFinish(context.Background(), "d1", &FinishCall{Claim: *held, Outcome: answerOutcome("forged")}).Stored)
	r.daemons[0].Finish(*held, answerOutcome("true"))
	_, answer := r.retryBegin(1, "k")
	is.Equal(string(answer.Body), "true")
}

func TestReplyForAnotherClaimIsRejected(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 3)
	other, _, err := r.begin(0, "other")
	is.True(err == nil)
	for _, reply := range []BeginReply{{}, {Claim: other}} {
		r.writers[0].begin = func(context.Context, id.Daemon, *BeginCall) (BeginReply, error) { return reply, nil }
		held, answer, err := r.begin(0, "k")
		is.True(held == nil && answer == nil)
		is.Equal(err.Verdict, verdict.NotRun) // it is not dispatched
	}
	is.Equal((&Refusal{}).asError().Verdict, verdict.MayHaveRun) // an unknown verdict promises nothing
}
