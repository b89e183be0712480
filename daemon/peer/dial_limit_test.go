package peer

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// silentPeer receives packets and never answers, like a host that is down or has no
// processor time left.
type silentPeer struct {
	address string
	dialled atomic.Bool
}

func newSilentPeer(t *testing.T, reached chan<- struct{}) *silentPeer {
	t.Helper()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	s := &silentPeer{address: socket.LocalAddr().String()}
	go func() {
		var packet [2048]byte
		for {
			if _, _, err := socket.ReadFrom(packet[:]); err != nil {
				return
			}
			if !s.dialled.Swap(true) {
				reached <- struct{}{}
			}
		}
	}()
	return s
}

// dialAll starts a daemon that needs a connection to each of n silent peers, and
// returns once the number of dialled peers is until.
func dialAll(t *testing.T, n, until int, change func(*Config)) []*silentPeer {
	t.Helper()
	is := is.New(t)
	transport, _ := newFleet(t).listen("d0", change)
	reached := make(chan struct{}, n)
	var peers []*silentPeer
	for i := range n {
		s := newSilentPeer(t, reached)
		peers = append(peers, s)
		name := id.Daemon(fmt.Sprintf("e%d", i))
		is.NoErr(transport.SetPeer(name, s.address))
		is.True(transport.Datagram(name, kindNote, "x") != nil) // requests a connection; not connected yet
	}
	ctx := testContext(t)
	for range until {
		select {
		case <-reached:
		case <-ctx.Done():
			t.Fatal("too few peers were dialled")
		}
	}
	transport.Close()
	return peers
}

// TestConcurrentDialsAreBounded guards against a dial storm: when all daemons of a
// fleet started at once, each dialled all others at the same time. With 60 daemons
// on four processors the handshakes took longer than the dial timeout and were
// repeated: the dialler had given up 2,381 of 4,456 accepted connections, and the
// mesh was complete after 12 s and 47 s of processor time. The failure shows as
// lines event=peer_connected origin=accepted followed by event=peer_disconnected,
// and as handshakes that take 42% of a processor profile.
func TestConcurrentDialsAreBounded(t *testing.T) {
	is := is.New(t)
	peers := dialAll(t, 40, DefaultMaxConcurrentDials, func(c *Config) {
		c.DialTimeout = time.Hour
		c.DialSlotTimeout = time.Hour
	})
	dialled := 0
	for _, p := range peers {
		if p.dialled.Load() {
			dialled++
		}
	}
	is.Equal(dialled, DefaultMaxConcurrentDials)
}

// Each dial to an unreachable peer releases its slot long before the dial ends.
func TestUnreachablePeersDoNotBlockOtherDials(t *testing.T) {
	dialAll(t, 40, 40, func(c *Config) {
		c.DialTimeout = time.Hour
		c.DialSlotTimeout = time.Millisecond
	})
}
