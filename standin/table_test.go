package standin_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
	"pgregory.net/rapid"
)

// TestTableAgainstMap compares random transactions and reads on a table with the
// same ones on a plain map.
func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		table := standin.NewTable(standin.TableConfig{Seed: 1})
		model := map[string]wire.Row{}
		for range 30 {
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key"))
			version := model[key].Version
			holds := rapid.Bool().Draw(t, "holds")
			if !holds {
				version += 1000
			}
			put := wire.Put{Key: key, Value: []byte{byte(rapid.IntRange(0, 9).Draw(t, "value"))}, Delete: rapid.Bool().Draw(t, "delete")}
			result := table.Transact(wire.Transaction{Conditions: []wire.Condition{{Key: key, Version: version}}, Puts: []wire.Put{put}})
			is.Equal(result.Applied, holds)
			switch {
			case holds && put.Delete:
				delete(model, key)
			case holds:
				is.True(result.Versions[0] > version) // versions only increase
				model[key] = wire.Row{Key: key, Value: put.Value, Version: result.Versions[0]}
			}
			rows := table.Read(wire.ReadRequest{Prefix: "k"}).Rows
			is.Equal(len(rows), len(model))
			for _, row := range rows {
				is.Equal(row, model[row.Key])
			}
		}
	})
}

func TestTableTransactionIsAllOrNothing(t *testing.T) {
	is := is.New(t)
	table := standin.NewTable(standin.TableConfig{})
	result := table.Transact(wire.Transaction{
		Conditions: []wire.Condition{{Key: "a"}, {Key: "b", Version: 7}},
		Puts:       []wire.Put{{Key: "a", Value: []byte("x")}},
	})
	is.Equal(result.Failed, []string{"b"})
	is.Equal(table.Read(wire.ReadRequest{Keys: []string{"a"}}).Rows[0].Version, uint64(0))
}

func TestTablePrefixReadPages(t *testing.T) {
	is := is.New(t)
	table := standin.NewTable(standin.TableConfig{})
	for _, key := range []string{"a/1", "b/1", "b/2", "b/3", "c/1"} {
		table.Transact(wire.Transaction{Puts: []wire.Put{{Key: key}}})
	}
	first := table.Read(wire.ReadRequest{Prefix: "b/", Limit: 2}).Rows
	is.Equal([]string{first[0].Key, first[1].Key}, []string{"b/1", "b/2"})
	rest := table.Read(wire.ReadRequest{Prefix: "b/", Limit: 2, After: "b/2"}).Rows
	is.Equal(len(rest), 1)
	is.Equal(rest[0].Key, "b/3")
}

func TestTransactionWithLostReplyIsApplied(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := standin.NewTable(standin.TableConfig{})
	c := client.NewTable(serve(t, table), client.Options{})
	table.Inject(wire.Fault{LoseReplies: ptr(1.0)})
	_, err := c.Transact(ctx, wire.Transaction{Puts: []wire.Put{{Key: "a", Value: []byte("x")}}})
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(table.Counters().Transactions, int64(1)) // the client does not retry
	read, err := c.Read(ctx, wire.ReadRequest{Keys: []string{"a"}})
	is.NoErr(err)
	is.Equal(string(read.Rows[0].Value), "x")
}

func TestStaleReadReturnsEarlierState(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := standin.NewTable(standin.TableConfig{Seed: 3})
	c := client.NewTable(serve(t, table), client.Options{})
	table.Transact(wire.Transaction{Puts: []wire.Put{{Key: "a", Value: []byte("new")}}})
	table.Inject(wire.Fault{StaleReads: ptr(1.0)})
	read, err := c.Read(ctx, wire.ReadRequest{Keys: []string{"a"}})
	is.NoErr(err)
	is.Equal(read.Rows[0].Version, uint64(0)) // the only earlier state is empty
	table.Inject(wire.Fault{StaleReads: ptr(0.0)})
	read, err = c.Read(ctx, wire.ReadRequest{Keys: []string{"a"}})
	is.NoErr(err)
	is.Equal(string(read.Rows[0].Value), "new")
}

func TestTableOutageAndRateLimitReportNotRun(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := standin.NewTable(standin.TableConfig{WritesPerSecond: 0.001})
	c := client.NewTable(serve(t, table), client.Options{})
	put := wire.Transaction{Puts: []wire.Put{{Key: "a"}}}
	_, err := c.Transact(ctx, put) // within the burst of 1
	is.NoErr(err)
	_, err = c.Transact(ctx, put)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.True(verdict.As(err).RetryAfter > 0)
	table.Inject(wire.Fault{Down: ptr(true)})
	_, err = c.Read(ctx, wire.ReadRequest{Keys: []string{"a"}})
	is.Equal(verdict.Of(err), verdict.NotRun)
	counters := table.Counters()
	is.Equal(counters.Transactions, int64(1))
	is.Equal(counters.OverRate, int64(1))
}

func TestObjectsHostsAndWeights(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	objects := client.NewObjects(serve(t, standin.NewObjectStore(1)), client.Options{})
	is.NoErr(objects.Put(ctx, "config 1", []byte("body")))
	body, err := objects.Get(ctx, "config 1")
	is.NoErr(err)
	is.Equal(string(body), "body")
	_, err = objects.Get(ctx, "none")
	is.Equal(verdict.As(err).Code, client.CodeNotFound)

	list := standin.NewHostList(1<<40, []wire.Host{{Name: "one"}}, 1)
	hosts := client.NewHosts(serve(t, list), client.Options{})
	list.Inject(wire.Fault{Hosts: []wire.Host{{Name: "two"}}})
	seen, err := hosts.List(ctx)
	is.NoErr(err)
	is.Equal(seen.Hosts[0].Name, "one") // the change is not visible before the lag ends

	weights := client.NewWeights(serve(t, standin.NewWeightStore(0.01, 1)), client.Options{})
	grant, err := weights.Reserve(ctx, "model")
	is.NoErr(err)
	is.True(grant.Granted)
	grant, err = weights.Reserve(ctx, "model")
	is.NoErr(err)
	is.True(!grant.Granted)
	is.True(grant.RetryAfterMS > 0)
}
