package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// SetPeer adds a peer or changes its address. The connection is made on first use.
func (t *Transport) SetPeer(name id.Daemon, address string) error {
	if name == t.cfg.Self.Daemon {
		return eris.Errorf("peer: %s is this daemon itself", name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, err := t.remoteLocked(name)
	if err != nil {
		return err
	}
	r.setAddress(address)
	return nil
}

// RemovePeer removes a peer, closes its connections and drops its queued messages.
func (t *Transport) RemovePeer(name id.Daemon) {
	t.mu.Lock()
	r := t.remotes[name]
	delete(t.remotes, name)
	t.mu.Unlock()
	if r != nil {
		r.stop("removed")
	}
}

// PeerState is the transport's view of one peer.
type PeerState struct {
	Process   id.Process
	Address   string
	Connected bool
}

// Peers returns the peers in unspecified order.
func (t *Transport) Peers() []PeerState {
	t.mu.Lock()
	remotes := make([]*remote, 0, len(t.remotes))
	for _, r := range t.remotes {
		remotes = append(remotes, r)
	}
	t.mu.Unlock()
	states := make([]PeerState, 0, len(remotes))
	for _, r := range remotes {
		states = append(states, r.state())
	}
	return states
}

// remoteFor returns the peer of that name and adds it without an address if it is
// new.
func (t *Transport) remoteFor(name id.Daemon) (*remote, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.remoteLocked(name)
}

func (t *Transport) remoteLocked(name id.Daemon) (*remote, error) {
	if r, ok := t.remotes[name]; ok {
		return r, nil
	}
	if t.closed {
		return nil, ErrClosed
	}
	if len(t.remotes) >= t.cfg.MaxPeers {
		return nil, eris.Wrapf(ErrTooManyPeers, "peer %s", name)
	}
	r := newRemote(t, name)
	t.remotes[name] = r
	t.wg.Go(r.run)
	return r, nil
}

// removeIfUnset removes a peer that was never set and has no connection left.
func (t *Transport) removeIfUnset(r *remote) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.remotes[r.name] == r && r.removable() {
		delete(t.remotes, r.name)
		r.cancel()
	}
}

func (t *Transport) find(name id.Daemon) (*remote, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	r, ok := t.remotes[name]
	if !ok {
		return t.resolveLocked(name)
	}
	r.touch()
	return r, nil
}

// resolveLocked adds a peer whose address Config.Address returns.
func (t *Transport) resolveLocked(name id.Daemon) (*remote, error) {
	address := ""
	if t.cfg.Address != nil && name != t.cfg.Self.Daemon {
		address = t.cfg.Address(name)
	}
	if address == "" {
		return nil, eris.Wrapf(ErrUnknownPeer, "peer %s", name)
	}
	r, err := t.remoteLocked(name)
	if err != nil {
		return nil, err
	}
	r.setAddress(address)
	return r, nil
}

// Removal of unused peers.
const (
	// unusedPeerTTL is how long a peer without a connection is kept after its last
	// use, and unusedPeerScanInterval the interval between scans for such peers.
	unusedPeerTTL          = 15 * time.Second
	unusedPeerScanInterval = 5 * time.Second
)

// removeUnusedPeers periodically removes peers that are unused and not connected,
// until the transport is closed.
func (t *Transport) removeUnusedPeers() {
	ticker := time.NewTicker(unusedPeerScanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
			t.removeUnusedBefore(time.Now().Add(-unusedPeerTTL))
		}
	}
}

func (t *Transport) removeUnusedBefore(cutoff time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.remotes {
		if r.unusedSince(cutoff) {
			delete(t.remotes, name)
			r.cancel()
		}
	}
}
