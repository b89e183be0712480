package store

import (
	"context"

	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// TableService implements Table for a server of the product's own table interface.
type TableService struct{ Client *client.Table }

// Run implements Table.
func (t TableService) Run(ctx context.Context, q table.Request) table.Reply {
	if q.Transaction != nil {
		return t.transact(ctx, q)
	}
	return t.read(ctx, q)
}

func (t TableService) read(ctx context.Context, q table.Request) table.Reply {
	resp, err := t.Client.Read(ctx, wire.ReadRequest{Keys: q.Keys})
	if err != nil {
		return table.Reply{Seq: q.Seq, Status: statusOf(err)}
	}
	reply := table.Reply{Seq: q.Seq, Status: table.Done}
	for _, row := range resp.Rows {
		reply.Rows = append(reply.Rows, table.Row{Key: row.Key, Value: row.Value, Version: row.Version})
	}
	return reply
}

func (t TableService) transact(ctx context.Context, q table.Request) table.Reply {
	result, err := t.Client.Transact(ctx, transaction(q.Transaction))
	if err != nil {
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

// statusOf returns the status of a call that failed.
func statusOf(err error) table.Status {
	if verdict.Of(err) == verdict.NotRun {
		return table.NotRun
	}
	return table.Unknown
}
