package member

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

func TestReadyNeedsConfiguration(t *testing.T) {
	is := is.New(t)
	self := Entry{Process: id.Process{Daemon: "a", Incarnation: 1}}
	m := New(DefaultConfig(Mesh), self, 0, rand.New(rand.NewPCG(1, 1)))
	m.SetLocalStatus(LocalStatus{Revision: 3})
	from := Entry{Process: id.Process{Daemon: "b", Incarnation: 7}, State: Alive, Beat: 1}
	m.Receive(1, Message{Kind: Heartbeat, From: from})
	is.Equal(m.Live(), []id.Daemon{"a", "b"})
	is.Equal(m.Ready(), []id.Daemon{"a"})
	from.Beat, from.Revision = 2, 3
	m.Receive(2, Message{Kind: Heartbeat, From: from})
	is.Equal(m.Ready(), []id.Daemon{"a", "b"})
}
