package origins

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// Tables that the origins keep in the store. A key is TABLE/ROW.
const (
	// TableVersions has a row for each service: the software versions that it has had.
	TableVersions = "versions"
	// tableStreams has a row for each daemon: what began the streams that it serves, while
	// their services have several versions.
	tableStreams = "origins"
)

// Store keeps what must outlast all daemons.
type Store interface {
	// Rows returns all rows of a table.
	Rows(ctx context.Context, name string) ([]table.Row, error)
	// Row returns one row, with version 0 if there is none.
	Row(ctx context.Context, key string) (table.Row, error)
	// Replace writes rows at once if all still have the version given with them. It returns
	// their new versions, and false if one has another version.
	Replace(ctx context.Context, rows []table.Row) (versions []uint64, written bool, err error)
	// Wall is the store's clock.
	Wall() time.Time
}

// Duty says which part this daemon has in recording the versions.
type Duty struct {
	// Records is set if it records changes, Rank is its place among those that do.
	Records bool
	Rank    int
}

// offset returns the store's clock minus the daemon's.
func (o *Origins) offset() time.Duration {
	return time.Duration(o.cfg.Store.Wall().UnixNano()) - o.cfg.Now()
}

// several reports whether a service has had several versions of late; the lock must be held.
func (o *Origins) several(service id.Service) bool {
	return len(o.history.Versions(o.cfg.Now(), service)) > 1
}

// severalEach returns several as a function that asks once for each service; the lock must be
// held while it is used.
func (o *Origins) severalEach() func(id.Service) bool {
	asked := map[id.Service]bool{}
	return func(service id.Service) bool {
		several, ok := asked[service]
		if !ok {
			several = o.several(service)
			asked[service] = several
		}
		return several
	}
}
