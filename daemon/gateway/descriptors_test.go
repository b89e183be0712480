package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// TestTheSharesOfDescriptorsLeaveRoom checks that the connections of all listeners together leave
// descriptors for a connection to an endpoint for each caller's, whatever the limit.
func TestTheSharesOfDescriptorsLeaveRoom(t *testing.T) {
	is := is.New(t)
	for _, limit := range []int{600, 1024, 4100, 8192} {
		set := &Settings{MaxDescriptors: limit}
		descriptors := set.descriptors() // the process's own limit may be lower
		taken := 0
		for name := range connShares {
			is.True(set.maxConns(name) > 0)
			taken += set.maxConns(name)
		}
		is.True(taken+set.maxConns(listenCallers)+reservedDescriptors <= descriptors)
	}
	is.True((&Settings{MaxDescriptors: 1}).maxConns(listenCallers) > 0)
}
