package gateway

import (
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// parsedEntry is the result of parsing one row of the table of endpoints.
type parsedEntry struct {
	row      table.Row
	endpoint registry.Endpoint
	// err is set if the row does not describe a usable endpoint.
	err error
}

// entryCache keeps the parsed rows by key, so that only new and changed rows are
// parsed. A row has changed if its version has.
type entryCache struct {
	parsed map[string]parsedEntry
}

// update parses the rows that are new or have changed, and drops the entries of rows
// that are gone. It returns the entries in the order of the rows.
func (c *entryCache) update(rows []table.Row, parse func(table.Row) (registry.Endpoint, error)) []parsedEntry {
	out := make([]parsedEntry, 0, len(rows))
	kept := make(map[string]parsedEntry, len(rows))
	for _, row := range rows {
		entry, known := c.parsed[row.Key]
		if !known || entry.row.Version != row.Version {
			entry = parsedEntry{row: row}
			entry.endpoint, entry.err = parse(row)
		}
		kept[row.Key] = entry
		out = append(out, entry)
	}
	c.parsed = kept
	return out
}
