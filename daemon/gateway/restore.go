package gateway

import (
	"bytes"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

// restoreSpread is the part of the time before the check of the fleet's rows that each
// daemon of the fleet adds: all daemons notice at once that the store has come back from
// an older copy.
const restoreSpread = 5 * time.Millisecond

// hostList is all daemons that have ever enrolled, as far as this one knows. Their rows
// are never removed: one that is missing was lost when the store came back from an older
// copy, and its daemon writes it again. It is safe for concurrent use.
type hostList struct {
	mu      sync.Mutex
	version uint64
	hosts   map[id.Daemon]member.Host
}

// update adds the hosts of a state of the table, and returns all.
func (l *hostList) update(version uint64, hosts []member.Host) []member.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = map[id.Daemon]member.Host{}
	}
	for _, h := range hosts {
		if _, known := l.hosts[h.Name]; !known || version >= l.version {
			l.hosts[h.Name] = h
		}
	}
	l.version = max(l.version, version)
	return slices.Collect(maps.Values(l.hosts))
}

// hostsChanged applies a new state of the daemons' table.
func (d *Daemon) hostsChanged(f *fleet, s feed.State) {
	hosts := f.hostList.update(s.Version, d.hosts(s))
	f.alone.Store(len(hosts) == 0)
	f.listed.Store(int64(len(hosts)) + 1)
	f.members.SetHosts(hosts)
	d.checkRows(f, table.Era(s.Position))
}

// checkRows checks in the background, once in each era of the store, that the rows on
// which the fleet relies are still there.
func (d *Daemon) checkRows(f *fleet, era uint64) {
	for {
		checked := f.rowsChecked.Load()
		if era <= checked {
			return
		}
		if f.rowsChecked.CompareAndSwap(checked, era) {
			break
		}
	}
	d.logger.Event("store_restored", "era", era)
	d.origins.Restored()
	go d.restoreRows(f, era)
}

// restoreRows puts back the rows that the store has lost, until it has them or has come
// back from another copy.
func (d *Daemon) restoreRows(f *fleet, era uint64) {
	random := rand.New(rand.NewPCG(uint64(f.self.Incarnation), era))
	spread := time.Duration(d.daemons()) * restoreSpread
	pause := time.Duration(random.Int64N(int64(spread) + 1))
	for d.sleep(pause) && f.rowsChecked.Load() == era && d.stopping.Load() == nil {
		err := d.restoreAuthority(f)
		if err == nil {
			err = d.restoreOwnRow(f)
		}
		if err == nil {
			return
		}
		d.logger.Warn("rows_not_restored", "era", era, "why", err)
		pause = enrollRetryMax/2 + time.Duration(random.Int64N(int64(enrollRetryMax)))
	}
}

// restoreRow writes a row again if the store has lost it. If the store has another value,
// differs decides whether that is replaced.
func (d *Daemon) restoreRow(key string, value []byte, differs func(row table.Row) (replace bool)) error {
	row, err := d.readRow(key)
	if err != nil {
		return err
	}
	if bytes.Equal(row.Value, value) || row.Version != 0 && !differs(row) {
		return nil
	}
	_, written, err := d.writeRow(key, row.Version, value)
	if err != nil {
		return err
	}
	if !written {
		return eris.Errorf("row %s was changed concurrently", key)
	}
	d.logger.Event("row_restored", "row", key, "missing", row.Version == 0)
	return nil
}

// restoreOwnRow writes this daemon's row again. In an older copy it may be missing, or be
// that of the former process with its account of retries.
func (d *Daemon) restoreOwnRow(f *fleet) error {
	own := d.row()
	value, err := json.Marshal(own)
	if err != nil {
		return eris.Wrap(err, "encode the daemon's row")
	}
	return d.restoreRow(d.rowKey(), value, func(row table.Row) bool {
		var found daemonRow
		if err := json.Unmarshal(row.Value, &found); err != nil {
			d.logger.Warn("former_row_unreadable", "why", err)
			return true
		}
		// A later process of this daemon may have another address.
		found.Retries = nil
		return found == own
	})
}

// hasLivePeers reports whether this daemon hears other daemons.
func (f *fleet) hasLivePeers() bool {
	return slices.ContainsFunc(f.members.Entries(), func(e member.Entry) bool {
		return e.State == member.Alive && e.Process.Daemon != f.self.Daemon
	})
}

// authorityDiffers handles a CA that another daemon has created since the store lost the
// fleet's. Daemons that trust one another by the former one replace it; one that hears
// nobody adopts it.
func (d *Daemon) authorityDiffers(f *fleet) func(row table.Row) bool {
	return func(row table.Row) bool {
		replace := f.hasLivePeers()
		d.logger.Error("authority_differs", "version", table.FormatVersion(row.Version), "replaced", replace)
		if !replace {
			d.adoptAuthority(f, row.Value)
		}
		return replace
	}
}

// adoptAuthority makes this daemon trust others by another CA.
func (d *Daemon) adoptAuthority(f *fleet, encoded []byte) {
	authority, err := d.loadAuthority(encoded)
	if err != nil {
		d.logger.Error("authority_not_adopted", "why", err)
		return
	}
	material, err := authority.Peer(d.set.Daemon)
	if err != nil {
		d.logger.Error("authority_not_adopted", "why", err)
		return
	}
	f.authority = encoded
	f.keys.Replace(material)
}

// confirmAuthority checks, after a start in a later era, that the CA is still the one that
// the store has: this daemon may have created it while the store had lost the fleet's.
func (d *Daemon) confirmAuthority(f *fleet) {
	if !d.sleep(authorityRestoreWait) || d.stopping.Load() != nil {
		return
	}
	if err := d.restoreAuthority(f); err != nil {
		d.logger.Warn("rows_not_restored", "why", err)
	}
}

// restoreAuthority writes the fleet's CA again if the store has lost it.
func (d *Daemon) restoreAuthority(f *fleet) error {
	f.authorityMu.Lock()
	defer f.authorityMu.Unlock()
	return d.restoreRow(keyAuthority, f.authority, d.authorityDiffers(f))
}
