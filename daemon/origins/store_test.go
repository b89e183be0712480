package origins

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
)

// storeAhead is how far the store's clock is ahead of the daemons'.
const storeAhead = 1000 * time.Second

// fakeStore is the store as one daemon of a fleet reaches it: not while the daemon is cut
// off.
type fakeStore struct {
	fleet  *fleet
	daemon id.Daemon
}

func (s *fakeStore) check() error {
	if s.fleet.stale[s.daemon] || s.fleet.hung[s.daemon] || s.fleet.dead[s.daemon] {
		return errors.New("the store does not answer")
	}
	return nil
}

// Rows implements Store.
func (s *fakeStore) Rows(_ context.Context, name string) (rows []table.Row, err error) {
	s.fleet.set(func() {
		err = s.check()
		for key, row := range s.fleet.rows {
			if of, short, _ := strings.Cut(key, "/"); of == name {
				row.Key = short
				rows = append(rows, row)
			}
		}
	})
	slices.SortFunc(rows, func(a, b table.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, err
}

// Row implements Store.
func (s *fakeStore) Row(_ context.Context, key string) (row table.Row, err error) {
	s.fleet.set(func() { row, err = s.fleet.rows[key], s.check() })
	return row, err
}

// Replace implements Store.
func (s *fakeStore) Replace(_ context.Context, rows []table.Row) (versions []uint64, written bool, err error) {
	s.fleet.set(func() {
		if err = s.check(); err != nil {
			return
		}
		for _, row := range rows {
			if s.fleet.rows[row.Key].Version != row.Version {
				return
			}
		}
		s.fleet.version++
		for _, row := range rows {
			row.Version = s.fleet.version
			s.fleet.rows[row.Key] = row
			versions = append(versions, row.Version)
		}
		written = true
	})
	return versions, written, err
}

// Wall implements Store.
func (s *fakeStore) Wall() (wall time.Time) {
	s.fleet.set(func() { wall = time.Unix(0, 0).Add(s.fleet.now + storeAhead) })
	return wall
}

// readRecorded passes the table of versions to a daemon, if the store answers that.
func (f *fleet) readRecorded(name id.Daemon) {
	rows, err := (&fakeStore{fleet: f, daemon: name}).Rows(context.Background(), TableVersions)
	if err != nil {
		return
	}
	f.daemons[name].SetRecorded(rows)
	f.daemons[name].Confirmed(f.now)
}

// check lets a daemon do what it does every CheckInterval, as the first that records
// versions, and waits until it has.
func (f *fleet) check(name id.Daemon) {
	o := f.daemons[name]
	if o.interrupted() {
		f.readRecorded(name)
	}
	if rows := o.dueRows(Duty{Records: true}); len(rows) > 0 {
		o.record(rows)
	}
	for _, other := range slices.Sorted(maps.Keys(f.daemons)) {
		f.readRecorded(other)
	}
}

// write lets a daemon write its row, as often as it takes.
func (f *fleet) write(name id.Daemon) {
	var row ownRow
	for f.daemons[name].writeRow(context.Background(), &row) != nil {
	}
}
