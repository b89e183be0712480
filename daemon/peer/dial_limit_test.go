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

// silence listens and never answers, as a host that is gone or has no processor
// time to spare.
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

// dialAll has a daemon want a connection to each of n silent peers and returns
// once so many have been dialled.
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
		is.True(transport.Datagram(name, kindNote, "x") != nil) // wanted, not there yet
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

// Where all daemons of a fleet started at once, each dialled all others at the
// same time. On four processors the handshakes of 60 took longer than a dial may,
// were thrown away and begun once more; 2,381 of 4,456 connections that were
// accepted had been given up by the dialler, and the mesh was whole after 12 s and
// 47 s of processor time. What showed it are the lines of connections that came
// and went (event=peer_connected origin=accepted, event=peer_disconnected) and a
// profile with 42 in 100 in handshakes.
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

// TestPeersThatAreGoneHoldNobodyUp: of those that give no answer, each makes room
// for the next long before its dial ends.
func TestUnreachablePeersDoNotBlockOtherDials(t *testing.T) {
	dialAll(t, 40, 40, func(c *Config) {
		c.DialTimeout = time.Hour
		c.DialSlotTimeout = time.Millisecond
	})
}
