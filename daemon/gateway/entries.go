package gateway

import (
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// readEntry is what a row of the table of endpoints came to.
type parsedEntry struct {
	row      table.Row
	endpoint registry.Endpoint
	// err says why the row names no endpoint to use.
	err error
}

// entryCache remembers the rows that were read, so that the change of one row
// does not cost the reading of all. A row's version stands for its value.
type entryCache struct {
	parsed map[string]parsedEntry
}

// update reads those of the rows that are new or have changed, and forgets those
// that are gone. It returns the entries in the order of the rows.
func (c *entryCache) update(rows []table.Row, read func(table.Row) (registry.Endpoint, error)) []parsedEntry {
	out := make([]parsedEntry, 0, len(rows))
	kept := make(map[string]parsedEntry, len(rows))
	for _, row := range rows {
		entry, known := c.parsed[row.Key]
		if !known || entry.row.Version != row.Version {
			entry = parsedEntry{row: row}
			entry.endpoint, entry.err = read(row)
		}
		kept[row.Key] = entry
		out = append(out, entry)
	}
	c.parsed = kept
	return out
}
