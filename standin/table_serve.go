package standin

import (
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// maxQueueDelay is the longest delay of a call to keep the rate limit.
const maxQueueDelay = 200 * time.Millisecond

// Start starts the table's server at addr, host:port.
func (t *Table) Start(addr string) (*Server, error) {
	in := &standIn{
		faults:         t.faults,
		serve:          t.serve,
		inject:         t.Inject,
		counters:       func() any { return t.Counters() },
		replyCanBeLost: func(ctx *fasthttp.RequestCtx) bool { return string(ctx.Path()) == wire.PathTransact },
	}
	return startStandIn(addr, in)
}

// serve handles a call.
func (t *Table) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case wire.PathTransact:
		t.serveTransact(ctx)
	case wire.PathRead:
		t.serveRead(ctx)
	case wire.PathHealth:
	default:
		notFound(ctx)
	}
}

// serveTransact handles a transaction.
func (t *Table) serveTransact(ctx *fasthttp.RequestCtx) {
	var tx wire.Transaction
	if f := decodeBody(ctx, &tx); f != nil {
		f.write(ctx)
		return
	}
	if len(tx.Puts) > MaxTransactionPuts || len(tx.Conditions) > MaxTransactionPuts {
		refused(fasthttp.StatusRequestEntityTooLarge, wire.ErrorTooLarge, "transaction has too many puts or conditions").write(ctx)
		return
	}
	if f := t.admit(t.writes); f != nil {
		f.write(ctx)
		return
	}
	setJSON(ctx, t.Transact(tx))
}

// serveRead handles a read.
func (t *Table) serveRead(ctx *fasthttp.RequestCtx) {
	var r wire.ReadRequest
	if f := decodeBody(ctx, &r); f != nil {
		f.write(ctx)
		return
	}
	if f := t.admit(t.reads); f != nil {
		f.write(ctx)
		return
	}
	stale := t.faults.draw(t.faults.state().staleReads)
	setJSON(ctx, t.read(r, stale))
}

// admit delays a call to keep the rate limit, or returns the refusal if the delay
// would exceed maxQueueDelay.
func (t *Table) admit(limiter *rate.Limiter) *failure {
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay <= maxQueueDelay {
		sleep(t.faults.closed, delay)
		return nil
	}
	reservation.Cancel()
	t.mu.Lock()
	t.counters.OverRate++
	t.mu.Unlock()
	f := refused(fasthttp.StatusServiceUnavailable, wire.ErrorUnavailable, "table is over its rate")
	f.retryAfter = delay
	return f
}
