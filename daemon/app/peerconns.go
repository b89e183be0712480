package app

import (
	"time"

	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/peer"
)

const (
	// noKeepalive sends no keepalive packets on idle connections.
	noKeepalive = -1
	// partialIdleTimeout is how long an idle connection is kept with a partial
	// membership. There, each pair of N daemons exchanges messages every N/8
	// seconds on average and every N/4 at most, so with up to 600 daemons the
	// connections stay open. An idle connection sends nothing, while a handshake
	// for each probe would cost more than all the probes.
	partialIdleTimeout = 150 * time.Second
)

// ConnectionTimeouts returns the time between keepalive packets, negative for none,
// and the idle time after which a connection is closed, for a membership mode.
// With a mesh, every connection is in use all the time.
func ConnectionTimeouts(mode member.Mode) (keepalive, idle time.Duration) {
	if mode == member.Partial {
		return noKeepalive, partialIdleTimeout
	}
	return peer.DefaultKeepalive, peer.DefaultIdleTimeout
}
