package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/rendezvous"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/origins"
)

const (
	// versionsWait is how long one call to the store waits for changes of the recorded
	// versions.
	versionsWait = 15 * time.Second
	// versionsBatchDelay is the pause after changes of the recorded versions.
	versionsBatchDelay = 50 * time.Millisecond
)

// newOrigins returns this daemon's knowledge of what began streams.
func (d *Daemon) newOrigins() *origins.Origins {
	return origins.New(origins.Config{
		Self:       d.set.Daemon,
		Store:      originStore{d},
		FirstStart: d.set.FirstStart,
		WritesPerS: d.set.StoreWritesPerS,
		Daemons:    d.daemons,
		Serves: func(s id.Service) bool {
			routes := d.tables.current().Routes
			return routes != nil && routes.Service(s) != nil
		},
		Refresh: func() {
			if f := d.fleet.Load(); f != nil {
				f.versions.Refresh()
			}
		},
		Verify: func() {
			if f := d.fleet.Load(); f != nil {
				f.versions.Verify()
			}
		},
		StoreLost: func() bool {
			f := d.fleet.Load()
			return f == nil || f.versions.Lost()
		},
		Holders: d.originHolders,
		Current: d.registryIsCurrent,
		Send: func(to id.Daemon, b *origins.Batch) {
			if f := d.fleet.Load(); f != nil {
				_ = f.transport.Send(to, kindOrigins, b)
			}
		},
		Place:   d.placeOrigin,
		Ask:     d.askOrigin,
		Log:     d.logger.Event,
		Routine: d.logger.Routine,
		Metrics: d.metrics,
		Now:     d.now,
	})
}

// originStore lets the origins use the platform's store.
type originStore struct{ d *Daemon }

// Rows implements origins.Store.
func (s originStore) Rows(ctx context.Context, name string) ([]table.Row, error) {
	snapshot, err := s.d.platform.Source.Read(ctx, name)
	return snapshot.Rows, err
}

// Row implements origins.Store.
func (s originStore) Row(ctx context.Context, key string) (table.Row, error) {
	return s.d.readRowWithin(ctx, key)
}

// Replace implements origins.Store.
func (s originStore) Replace(ctx context.Context, rows []table.Row) ([]uint64, bool, error) {
	return s.d.replaceRows(ctx, rows)
}

// Wall implements origins.Store.
func (s originStore) Wall() time.Time { return s.d.wall() }

// followVersions follows the software versions that the store has recorded. Changes are few,
// and streams of a new version wait until its record is known.
func (d *Daemon) followVersions() *feed.Follower {
	cfg := d.followerConfig(origins.TableVersions, func(s feed.State) { d.origins.SetRecorded(s.Rows) })
	cfg.Wait = versionsWait
	cfg.BatchDelay = versionsBatchDelay
	cfg.Confirmed = d.origins.Confirmed
	return feed.Start(cfg)
}

// keepOrigins keeps in the store what must outlast all daemons to know what began streams.
func (d *Daemon) keepOrigins(f *fleet) {
	go d.origins.Run(d.ctx)
	d.every(origins.CheckInterval, func() { d.origins.Check(f.versionsDuty()) })
}

// versionsDuty returns this daemon's part in recording software versions: those that read
// the store for all also record them.
func (f *fleet) versionsDuty() origins.Duty {
	chosen := f.readers.Load()
	if chosen == nil {
		return origins.Duty{}
	}
	rank := slices.Index(*chosen, f.self.Daemon)
	return origins.Duty{Records: rank >= 0, Rank: rank}
}

// originHolders returns the daemons that keep the record of a stream, the best first. In a
// large fleet these are the ones that broadcast, to which all are connected: a connection to
// another daemon for each stream would cost more than the stream's record.
func (d *Daemon) originHolders(s origin.Stream) []id.Daemon {
	f := d.fleet.Load()
	switch {
	case f == nil:
		return nil
	case f.members.Large():
		return f.otherReaders()
	}
	key := strings.Join([]string{string(s.Service), string(s.Team), string(s.Request)}, "\x00")
	return rendezvous.Ranked(key, f.members.Others())
}

// registryIsCurrent reports whether a new endpoint would be listed here as soon as at the
// other daemons, as far as this one has noticed: a cut shows only after a while.
func (d *Daemon) registryIsCurrent() bool {
	f := d.fleet.Load()
	return f != nil && !d.storeLost() && !f.members.Isolated()
}

// placeOrigin sends records to a daemon and waits until it has them. In a large fleet it
// doesn't wait: the few daemons that broadcast would have to answer a call for each stream.
func (d *Daemon) placeOrigin(ctx context.Context, to id.Daemon, b *origins.Batch) error {
	f := d.fleet.Load()
	if f.members.Large() {
		return f.transport.Send(to, kindOrigins, b)
	}
	return f.transport.Call(ctx, to, kindOriginPlace, b, nil)
}

func (d *Daemon) askOrigin(ctx context.Context, to id.Daemon, q *origins.Query) (*origins.Reply, error) {
	var r origins.Reply
	if err := d.fleet.Load().transport.Call(ctx, to, kindOriginQuery, q, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// listedVersions returns the software versions of each service's endpoints, with
// origin.UnknownVersion for an engine that has started again and whose entry is older.
func listedVersions(entries []registry.Endpoint) map[id.Service]map[id.Software]bool {
	out := map[id.Service]map[id.Software]bool{}
	for _, e := range entries {
		if out[e.Service] == nil {
			out[e.Service] = map[id.Software]bool{}
		}
		out[e.Service][e.Software] = true
	}
	return out
}
