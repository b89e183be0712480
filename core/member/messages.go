// Package member implements the membership of the fleet: the known daemons, and
// whether each is alive, suspect, paused, partitioned, leaving or dead. It
// merges heartbeats, reports of peers, and the platform's host list, which lags.
// It performs no I/O: messages and a time are passed in, actions are returned.
package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/freshness"
	"github.com/samphirequay/samphirequay/core/id"
)

// State is a daemon's state as one daemon sees it.
type State uint8

// The states. Among reports of the same epoch, the higher state takes precedence.
const (
	// Alive: messages arrive from the daemon.
	Alive State = iota + 1
	// Suspect: the daemon is silent, or is listed and has not been heard from yet.
	Suspect
	// Paused: the daemon returned after it was declared dead and has not yet
	// confirmed that it stopped acting on all that it held before.
	Paused
	// Partitioned: the daemon is silent together with its failure domain or with
	// most of the fleet, so it may still be alive.
	Partitioned
	// Leaving: the daemon announced, or the host list states, that it is about to
	// stop.
	Leaving
	// Dead: the daemon's process is considered ended.
	Dead
)

// String returns the state's name as shown to operators.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Paused:
		return "paused"
	case Partitioned:
		return "partitioned"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Entry is a message's record of one daemon.
type Entry struct {
	Process id.Process `cbor:"1,keyasint"`
	State   State      `cbor:"2,keyasint"`
	// Epoch counts, within an incarnation, how often the daemon refuted a
	// report about itself. A higher epoch overrides all lower ones.
	Epoch uint32 `cbor:"3,keyasint,omitempty"`
	// Beat counts the daemon's own periods: a higher value proves that it ran.
	Beat    uint64    `cbor:"4,keyasint,omitempty"`
	Domain  id.Domain `cbor:"5,keyasint,omitempty"`
	Address string    `cbor:"6,keyasint,omitempty"`
	// Revision is that of the configuration in force at the daemon.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// InFlight is the number of requests that the daemon is serving.
	InFlight int `cbor:"8,keyasint,omitempty"`
	// Settings is a hash of the daemon's settings; equal settings have equal hashes.
	Settings uint64 `cbor:"9,keyasint,omitempty"`
	// CallerAddress is the address given to callers.
	CallerAddress string `cbor:"10,keyasint,omitempty"`
	// Watched is set while others wait for the daemon; it sends more often.
	Watched bool `cbor:"11,keyasint,omitempty"`
	// StoreLost is set while the platform's store does not respond to the daemon.
	StoreLost bool `cbor:"12,keyasint,omitempty"`
	// Capacity is the capacity that the daemon's host grants it.
	Capacity capacity.Capacity `cbor:"13,keyasint,omitempty"`
	// Period is the maximum time until the daemon's next heartbeat, where that is
	// longer than the configured one; Mesh only.
	Period time.Duration `cbor:"14,keyasint,omitempty"`
	// Stale is set while the daemon's configuration may be too old to take keys.
	Stale bool `cbor:"15,keyasint,omitempty"`
}

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages.
const (
	// Heartbeat shows that the sender runs; no reply is expected.
	Heartbeat Kind = iota + 1
	// Probe asks the receiver for an Ack.
	Probe
	// Ack replies to a Probe.
	Ack
	// ProbeRequest asks the receiver for a Report about the daemon About.
	ProbeRequest
	// Report replies to a ProbeRequest with recent evidence in Entries.
	Report
	// Shuffle sends a sample of known daemons and asks for one in return.
	Shuffle
	// ShuffleReply replies to a Shuffle.
	ShuffleReply
	// Sync asks a daemon for all entries that it holds.
	Sync
	// SyncReply replies to a Sync; a long reply takes several messages.
	SyncReply
)

// Message is the message type exchanged between memberships.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Seq matches a reply to its request; it is unique within the requester.
	Seq uint64 `cbor:"2,keyasint,omitempty"`
	// From is the sender's own entry.
	From Entry `cbor:"3,keyasint"`
	// About names the daemon that a ProbeRequest is about.
	About id.Daemon `cbor:"4,keyasint,omitempty"`
	// Entries describe other daemons, or the receiver.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
	// Watching, on a Heartbeat, asks the receiver for heartbeats: the sender
	// checks it for silence.
	Watching bool `cbor:"6,keyasint,omitempty"`
	// Digest, on a Heartbeat between neighbours, is a hash of the present daemons.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
	// Proof is the sender's newest proof of a configuration's freshness.
	Proof *freshness.Proof `cbor:"8,keyasint,omitempty"`
	// ConfigVersion is that of the configuration in force at the sender. Unlike a Revision
	// it is the operator's, and does not change when the store comes back from an older copy.
	ConfigVersion uint64 `cbor:"9,keyasint,omitempty"`
}

// Host is one entry of the platform's host list.
type Host struct {
	Name    id.Daemon
	Domain  id.Domain
	Address string
	Leaving bool
}

// Send is a message to deliver on a best-effort basis.
type Send struct {
	To      id.Daemon
	Address string
	Message Message
}

// Changed reports that a daemon's state changed.
type Changed struct {
	Process  id.Process
	Domain   id.Domain
	From, To State
	Reason   string
}

// DeclaredDead reports that this daemon was, or may have been, declared dead. It
// must stop acting on all that it held (pool ownership, leases, orders) and
// then call Resume.
type DeclaredDead struct {
	// By is the daemon that reported it; this daemon itself after a stall.
	By id.Daemon
	// Superseded is set when a later incarnation of this daemon runs: this
	// process must end.
	Superseded bool
}

// Stalled reports that this daemon was not scheduled for the time Late. Other
// daemons are not suspected for that time.
type Stalled struct{ Late time.Duration }

// Isolated reports that this daemon lost most of the fleet at once (Now is set), or
// reaches it again.
type Isolated struct {
	Now    bool
	Silent int
	Known  int
}

// Action is one message to send or one event to handle; exactly one field is set.
type Action struct {
	Send         *Send
	Changed      *Changed
	DeclaredDead *DeclaredDead
	Stalled      *Stalled
	Isolated     *Isolated
}
