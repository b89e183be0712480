package gateway

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// TestOnlyChangedEntriesAreParsed guards against parsing all rows after each change,
// which is too slow on a small host when thousands of endpoints register within
// seconds.
func TestOnlyChangedEntriesAreParsed(t *testing.T) {
	is := is.New(t)
	var parsed []string
	unreadable := errors.New("unreadable")
	parse := func(r table.Row) (registry.Endpoint, error) {
		parsed = append(parsed, r.Key)
		if string(r.Value) == "bad" {
			return registry.Endpoint{}, unreadable
		}
		return registry.Endpoint{Name: id.Endpoint(r.Key), Address: string(r.Value)}, nil
	}
	row := func(key, value string, version uint64) table.Row {
		return table.Row{Key: key, Value: []byte(value), Version: version}
	}
	var c entryCache
	first := c.update([]table.Row{row("a", "1", 1), row("b", "bad", 2)}, parse)
	is.Equal(parsed, []string{"a", "b"})
	is.Equal(first[0].endpoint.Address, "1")
	is.Equal(first[1].err, unreadable)

	parsed = nil
	second := c.update([]table.Row{row("b", "bad", 2), row("a", "3", 3), row("c", "4", 4)}, parse)
	is.Equal(parsed, []string{"a", "c"}) // changed, and new
	is.Equal(second[0].err, unreadable)
	is.Equal(second[1].endpoint.Address, "3")

	parsed = nil
	c.update([]table.Row{row("b", "bad", 2)}, parse) // a is removed
	c.update([]table.Row{row("a", "1", 5)}, parse)   // a is added again
	is.Equal(parsed, []string{"a"})
	is.Equal(len(c.parsed), 1)
}
