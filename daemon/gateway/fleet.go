package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/broker"
	"github.com/samphirequay/samphirequay/daemon/evidence"
	"github.com/samphirequay/samphirequay/daemon/feed"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/members"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

// fleet holds the components that exist once the daemon has enrolled.
type fleet struct {
	self      id.Process
	transport *peer.Transport
	members   *members.Members
	broker    *broker.Broker
	quotas    *quotas.Quotas
	hosts     *feed.Follower
	// versions follows the recorded software versions.
	versions *feed.Follower
	hostList hostList
	// authority is the encoded CA of the fleet, authorityMu guards it, and keys holds
	// this daemon's certificate by it.
	authorityMu sync.Mutex
	authority   []byte
	keys        *keys.Store
	// rowsChecked is the latest era of the store in which the fleet's rows were checked.
	rowsChecked atomic.Uint64
	orderer     *orderer
	evidence    *evidence.Syncer
	// alone is set while the store lists no other daemon.
	alone atomic.Bool
	// listed is the number of daemons that the store lists, this one included; 0 until
	// the list has been read.
	listed atomic.Int64
	// owner is set while this daemon owns a pool.
	owner atomic.Bool
	// broadcasts is set while this daemon sends changes of the store's tables to the
	// others; readers lists all daemons that do.
	broadcasts atomic.Bool
	readers    atomic.Pointer[[]id.Daemon]
	// peersLostSince is the time since when other daemons have been unable to reach
	// the store, by this daemon's clock; 0 if all can.
	peersLostSince atomic.Int64
	// linked is set while this daemon keeps connections to all other daemons.
	linked atomic.Bool
	// catchUpTarget is the newest table revision known to other daemons.
	catchUpTarget catchUpTarget
}
