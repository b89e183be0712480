// Package store runs the core's calls to the platform's table. Each call is a short
// work item in the pool, and its reply is passed to a callback. No call is sent twice;
// the core decides how to handle a missing reply.
package store

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/workpool"
)

// callTimeout bounds one call to the table.
const callTimeout = 2 * time.Second

// Table runs calls to a table. It sends each call at most once. If no response
// arrives, the reply's status is NotRun for a call that was certainly not executed, and
// Unknown otherwise.
type Table interface {
	Run(ctx context.Context, q table.Request) table.Reply
}

// Store runs calls to the platform's table and counts them.
type Store struct {
	table  Table
	work   *workpool.Pool
	reads  *metrics.Counter
	writes *metrics.Counter
	failed *metrics.Counter
}

// New returns a Store.
func New(t Table, work *workpool.Pool, r *metrics.Registry) *Store {
	return &Store{
		table:  t,
		work:   work,
		reads:  r.Counter("store_reads", metrics.UnitCount, "read calls to the table"),
		writes: r.Counter("store_writes", metrics.UnitCount, "transactions sent to the table"),
		failed: r.Counter("store_failures", metrics.UnitCount, "calls to the table without a reply"),
	}
}

// Do runs a request and passes its reply to done, which is called from another
// goroutine. If the work pool refuses the request, the reply has the status NotRun.
func (s *Store) Do(ctx context.Context, q table.Request, done func(table.Reply)) {
	ok := s.work.Submit(func() { done(s.run(ctx, q)) })
	if !ok {
		go done(table.Reply{Seq: q.Seq, Status: table.NotRun})
	}
}

func (s *Store) run(ctx context.Context, q table.Request) table.Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if q.Transaction != nil {
		s.writes.Inc()
	} else {
		s.reads.Inc()
	}
	reply := s.table.Run(ctx, q)
	if reply.Status != table.Done {
		s.failed.Inc()
	}
	return reply
}
