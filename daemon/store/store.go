// Package store runs the core's calls to the platform's table: each as a piece
// of short work in the pool, its reply handed back as an event. Nothing is
// ever sent twice; what a missing reply means is the core's decision.
package store

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/workpool"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// callTimeout bounds one call to the table.
const callTimeout = 2 * time.Second

// Store is the way to the platform's table.
type Store struct {
	table  *client.Table
	work   *workpool.Pool
	reads  *metrics.Counter
	writes *metrics.Counter
	failed *metrics.Counter
}

// New returns a Store.
func New(t *client.Table, work *workpool.Pool, r *metrics.Registry) *Store {
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
		return s.transact(ctx, q)
	}
	return s.read(ctx, q)
}

func (s *Store) read(ctx context.Context, q table.Request) table.Reply {
	s.reads.Inc()
	resp, err := s.table.Read(ctx, wire.ReadRequest{Keys: q.Keys})
	if err != nil {
		s.failed.Inc()
		return table.Reply{Seq: q.Seq, Status: statusOf(err)}
	}
	reply := table.Reply{Seq: q.Seq, Status: table.Done}
	for _, row := range resp.Rows {
		reply.Rows = append(reply.Rows, table.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return reply
}

func (s *Store) transact(ctx context.Context, q table.Request) table.Reply {
	s.writes.Inc()
	result, err := s.table.Transact(ctx, transaction(q.Transaction))
	if err != nil {
		s.failed.Inc()
		return table.Reply{Seq: q.Seq, Status: statusOf(err)}
	}
	return table.Reply{
		Seq:      q.Seq,
		Status:   table.Done,
		Applied:  result.Applied,
		Failed:   result.Failed,
		Versions: result.Versions,
	}
}

func transaction(t *table.Transaction) wire.Transaction {
	out := wire.Transaction{Puts: make([]wire.Put, 0, len(t.Puts))}
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, wire.Condition{Key: c.Key, Version: c.Version})
	}
	for _, p := range t.Puts {
		out.Puts = append(out.Puts, wire.Put{Key: p.Key, Value: p.Value, Delete: p.Delete})
	}
	return out
}

// statusOf says what is known of a call that failed.
func statusOf(err error) table.Status {
	if verdict.Of(err) == verdict.NotRun {
		return table.NotRun
	}
	return table.Unknown
}
