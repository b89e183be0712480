package gateway

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// TestOnlyChangedEntriesAreRead: thousands of endpoints register within seconds,
// and each change would cost the reading of all of them on a small host.
func TestOnlyChangedEntriesAreRead(t *testing.T) {
	is := is.New(t)
	var read []string
	unreadable := errors.New("unreadable")
	reader := func(r table.Row) (registry.Endpoint, error) {
		read = append(read, r.Key)
		if string(r.Value) == "bad" {
			return registry.Endpoint{}, unreadable
		}
		return registry.Endpoint{Name: id.Endpoint(r.Key), Address: string(r.Value)}, nil
	}
	row := func(key, value string, version uint64) table.Row {
		return table.Row{Key: key, Value: []byte(value), Version: version}
	}
	var c entryCache
	first := c.update([]table.Row{row("a", "1", 1), row("b", "bad", 2)}, reader)
	is.Equal(read, []string{"a", "b"})
	is.Equal(first[0].endpoint.Address, "1")
	is.Equal(first[1].err, unreadable)

	read = nil
	second := c.update([]table.Row{row("b", "bad", 2), row("a", "3", 3), row("c", "4", 4)}, reader)
	is.Equal(read, []string{"a", "c"}) // changed, and new
	is.Equal(second[0].err, unreadable)
	is.Equal(second[1].endpoint.Address, "3")

	read = nil
	c.update([]table.Row{row("b", "bad", 2)}, reader) // a is gone
	c.update([]table.Row{row("a", "1", 5)}, reader)   // and back
	is.Equal(read, []string{"a"})
	is.Equal(len(c.parsed), 1)
}
