package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirequay/samphirequay/core/id"
)

// FuzzReceive checks that arbitrary messages do not change a daemon's own identity,
// make it send messages to itself or under another name, or list a daemon twice as
// live.
func FuzzReceive(f *testing.F) {
	self := Entry{Process: id.Process{Daemon: "d1", Incarnation: 5}, Domain: "f1", Address: "127.0.0.1:1"}
	other := Entry{Process: id.Process{Daemon: "d2", Incarnation: 1}, State: Alive, Domain: "f2", Address: "127.0.0.1:2", Beat: 3}
	dead, later := self, self
	dead.State = Dead
	later.State, later.Process.Incarnation = Alive, 6
	for kind := Heartbeat; kind <= SyncReply; kind++ {
		for _, entries := range [][]Entry{nil, {other}, {dead}, {later, other, other}} {
			data, err := cbor.Marshal(Message{Kind: kind, Seq: 1, From: other, About: "d3", Entries: entries})
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data, data, kind%2 == 0)
		}
	}
	f.Fuzz(func(t *testing.T, first, second []byte, partial bool) {
		mode := Mesh
		if partial {
			mode = Partial
		}
		m := New(DefaultConfig(mode), self, 0, rand.New(rand.NewPCG(1, 2)))
		now := time.Duration(0)
		for _, data := range [][]byte{first, second, first} {
			var msg Message
			if cbor.Unmarshal(data, &msg) == nil {
				checkActions(t, m.Receive(now, msg))
			}
			now += 700 * time.Millisecond
			checkActions(t, m.Tick(now))
		}
		checkView(t, m, self.Process)
	})
}

func checkActions(t *testing.T, actions []Action) {
	for _, a := range actions {
		if a.Send != nil && (a.Send.To == "d1" || a.Send.Message.From.Process.Daemon != "d1") {
			t.Fatalf("wrong receiver or sender: %+v", a.Send)
		}
	}
}

func checkView(t *testing.T, m *Membership, self id.Process) {
	if m.Self().Process != self {
		t.Fatalf("own process changed to %v", m.Self().Process)
	}
	seen := map[id.Daemon]bool{}
	for _, d := range m.Live() {
		if seen[d] {
			t.Fatalf("%s is live twice", d)
		}
		seen[d] = true
	}
	if m.Next() < 0 {
		t.Fatalf("negative time of the next tick: %v", m.Next())
	}
}
