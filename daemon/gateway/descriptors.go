package gateway

import (
	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are kept for files, the log, the poller and the sockets of the
	// listeners and of other daemons.
	reservedDescriptors = 200
	// minSockets is the least number of sockets that the shares are taken of.
	minSockets = 64
	// maxDescriptors is the number of descriptors that is reckoned with if the process has
	// no limit.
	maxDescriptors = 1 << 20
)

// connShares are the shares of the sockets that the connections of each listener may take.
// What is left is for endpoints, the store and tunnels: a caller's request needs up to two
// connections to endpoints.
var connShares = map[string]float64{
	listenCallers: 3. / 8,
	listenEntry:   1. / 8,
	listenReady:   1. / 32,
	listenMetrics: 1. / 32,
}

// maxConns returns how many connections of a listener may be open.
func (s *Settings) maxConns(listener string) int {
	sockets := max(minSockets, s.descriptors()-reservedDescriptors)
	return max(1, int(connShares[listener]*float64(sockets)))
}

// descriptors returns how many descriptors the process may have.
func (s *Settings) descriptors() int {
	limit := uint64(maxDescriptors)
	var process unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &process); err == nil {
		limit = min(limit, process.Cur)
	}
	if s.MaxDescriptors > 0 {
		limit = min(limit, uint64(s.MaxDescriptors))
	}
	return int(limit)
}
