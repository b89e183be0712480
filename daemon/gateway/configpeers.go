package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/freshness"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/uptime"
	"github.com/samphirequay/samphirequay/daemon/feed"
)

const (
	// configAskPause is the pause before the peers are asked which configuration they have
	// in force. It doubles up to maxConfigAskPause, since a whole fleet may start at once.
	configAskPause    = 50 * time.Millisecond
	maxConfigAskPause = 400 * time.Millisecond
	// configCatchUpDelay is how long a peer must have a newer configuration in force before
	// this daemon asks for it: by then the store's tables would have brought it.
	configCatchUpDelay = 3 * catchUpDelay
)

// newConfigStart returns the wait of a starting daemon whose store came back from an older
// copy: within the grace the operator writes the newest configuration again.
func newConfigStart() freshness.Start {
	return freshness.NewStart(freshness.StartConfig{Wait: uptime.ReturnGrace, HeardFor: memberDead})
}

// configQuery asks a daemon for the configuration that it has in force.
type configQuery struct {
	// Known is the version that the asker has, 0 for none.
	Known uint64 `cbor:"1,keyasint,omitempty"`
}

// configReply is the answer to a configQuery.
type configReply struct {
	// Version is that of the configuration in force; 0 if there is none.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// Rows hold the configuration if it is newer than the asker's. The store may have lost
	// them.
	Rows []table.Row `cbor:"2,keyasint,omitempty"`
	// Proof is the newest proof of its freshness.
	Proof *freshness.Proof `cbor:"3,keyasint,omitempty"`
	// Endings are the endpoints that leave or have ended, for a daemon that has just started.
	Endings registry.Endings `cbor:"4,keyasint"`
}

// answerConfig returns the configuration in force.
func (d *Daemon) answerConfig(q configQuery) *configReply {
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	r := &configReply{Version: d.tables.configVersion(), Proof: d.proofToSend()}
	if r.Version > q.Known {
		r.Rows = d.tables.inForce
	}
	if q.Known == 0 {
		r.Endings = d.tables.list.Endings()
	}
	return r
}

// configVersion returns the version of the configuration in force, 0 if there is none; the
// lock must be held.
func (k *tableCache) configVersion() uint64 {
	if k.routes == nil {
		return 0
	}
	return k.routes.Config().Version
}

// configVersion returns the version of the configuration in force; 0 if there is none.
func (d *Daemon) configVersion() uint64 {
	routes := d.tables.current().Routes
	if routes == nil {
		return 0
	}
	return routes.Config().Version
}

// hold keeps a configuration out of force until the peers have told what they have; the lock
// must be held. It reports whether it is the first one.
func (k *tableCache) hold(s feed.State, version uint64) (first bool) {
	first = k.heldVersion == 0
	if version > k.heldVersion {
		k.held, k.heldVersion = s, version
	}
	return first
}

// awaitPeers asks the peers which configuration they have in force until one is in force
// here.
func (d *Daemon) awaitPeers() {
	for pause := configAskPause; d.sleep(pause) && d.configVersion() == 0; pause = min(2*pause, maxConfigAskPause) {
		if f := d.fleet.Load(); f != nil {
			d.askPeers(f)
		}
		d.useHeldConfig()
	}
}

// useHeldConfig puts the held configuration in force if it need not be held any longer.
func (d *Daemon) useHeldConfig() {
	k := d.tables
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.routes == nil && k.start.MayUse(d.now(), k.heldVersion) {
		d.considerConfig(k.held)
	}
}

// askPeers asks the peers once. If one has a configuration in force, and none that is alive is
// silent, the newest one need not be held any longer.
func (d *Daemon) askPeers(f *fleet) {
	var wg sync.WaitGroup
	var known, silent atomic.Bool
	for _, peer := range f.peersToAsk() {
		wg.Go(func() {
			reply, err := d.askForConfig(f, peer)
			switch {
			case err == nil && reply.Version > 0:
				known.Store(true)
			case err != nil && f.isAlive(peer):
				silent.Store(true)
			}
		})
	}
	wg.Wait()
	if known.Load() && !silent.Load() {
		d.tables.mu.Lock()
		d.tables.start.Answered()
		d.tables.mu.Unlock()
	}
}

// isAlive reports whether this daemon hears another one.
func (f *fleet) isAlive(peer id.Daemon) bool {
	return slices.ContainsFunc(f.members.Entries(), func(e member.Entry) bool {
		return e.Process.Daemon == peer && e.State == member.Alive
	})
}

// askForConfig asks a peer for the configuration that it has in force, and adopts it if it is
// newer. A daemon that has just started also adopts which endpoints have ended.
func (d *Daemon) askForConfig(f *fleet, peer id.Daemon) (*configReply, error) {
	ctx, cancel := context.WithTimeout(d.ctx, tablesTimeout)
	defer cancel()
	reply := &configReply{}
	if err := f.transport.Call(ctx, peer, kindConfig, &configQuery{Known: d.configVersion()}, reply); err != nil {
		d.logger.Routine("config_not_learnt", "peer", peer, "why", err)
		return nil, err
	}
	if reply.Proof != nil {
		d.learnProof(*reply.Proof)
	}
	d.tables.mu.Lock()
	defer d.tables.mu.Unlock()
	d.tables.start.Heard(d.now(), reply.Version)
	if d.tables.routes == nil {
		d.tables.list.AdoptEndings(d.now(), reply.Endings)
	}
	if known := max(d.tables.configVersion(), d.tables.heldVersion); len(reply.Rows) > 0 && reply.Version > known {
		d.logger.Event("config_learnt", "peer", peer, "version", reply.Version, "known", known)
		name := d.configs.Name()
		d.considerConfig(feed.State{Name: name, Rows: reply.Rows, Version: d.tables.versions[name]})
	}
	return reply, nil
}

// learnConfigVersion handles a heartbeat's version of the configuration in force at a peer. The
// store may have lost it.
func (d *Daemon) learnConfigVersion(peer id.Daemon, version uint64) {
	own := d.configVersion()
	if version <= own {
		return
	}
	d.tables.mu.Lock()
	d.tables.start.Heard(d.now(), version)
	d.tables.mu.Unlock()
	f := d.fleet.Load()
	if own == 0 || f == nil || !d.catchingUpConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.catchingUpConfig.Store(false)
		if !d.sleep(configCatchUpDelay) || d.configVersion() >= version {
			return
		}
		// An error is logged, and the peer's next heartbeat begins anew.
		_, _ = d.askForConfig(f, peer)
	}()
}
