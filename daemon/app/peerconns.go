package app

import (
	"time"

	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/peer"
)

const (
	// noKeepalive lets connections rest that are not used.
	noKeepalive = -1
	// partialIdle is how long a resting connection is kept with a partial
	// membership. There each pair of daemons talks once in N/8 seconds in the
	// mean and N/4 at the most, so this keeps the connections of up to 600
	// daemons; one that rests sends nothing, while a handshake for each probe
	// would cost more than all the probes.
	partialIdleTimeout = 150 * time.Second
)

// ConnectionTimes gives the pause between keepalive packets, and after how much
// silence a connection is given up, that suit a membership. With a mesh every
// connection is in use all the time.
func ConnectionTimes(mode member.Mode) (keepalive, idle time.Duration) {
	if mode == member.Partial {
		return noKeepalive, partialIdleTimeout
	}
	return peer.DefaultKeepalive, peer.DefaultIdleTimeout
}
