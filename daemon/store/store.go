// Package store runs the core's calls to the platform's table: each as a piece
// of short work in the pool, its reply handed back as an event. Nothing is
// ever sent twice; what a missing reply means is the core's decision.
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

// Table carries one call to a table. It sends it at most once; the reply's
// status says what is known when no answer came.
type Table interface {
	Run(ctx context.Context, q table.Request) table.Reply
}

// Store is the way to the platform's table.
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

// Do runs a request and hands its reply to done, which is called from another
// goroutine. A refusal of the work pool is a reply with status not run.
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
