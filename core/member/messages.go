// Package member is the membership of the fleet: which daemons there are, and
// which of them are alive, suspect, paused, partitioned, leaving or dead. It
// merges heartbeats, what peers report, and the platform's lagging host list.
// It has no I/O: messages and a time go in, actions come out.
package member

import (
	"time"

	"github.com/samphirequay/samphirequay/core/capacity"
	"github.com/samphirequay/samphirequay/core/freshness"
	"github.com/samphirequay/samphirequay/core/id"
)

// State is a daemon's state as one daemon sees it.
type State uint8

// The states. Where reports of one epoch differ, the higher one counts.
const (
	// Alive: it is heard from.
	Alive State = iota + 1
	// Suspect: it is silent, or was listed and not heard from yet.
	Suspect
	// Paused: it came back after it was declared dead and has not yet
	// confirmed that it stopped acting on what it held before.
	Paused
	// Partitioned: it is silent together with its whole failure domain, or
	// with most of the fleet, so it may well be alive.
	Partitioned
	// Leaving: it said, or the host list says, that it stops soon.
	Leaving
	// Dead: its process is taken as ended.
	Dead
)

// String names the state as operators see it.
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

// Entry is what one message says about one daemon.
type Entry struct {
	Process id.Process `cbor:"1,keyasint"`
	State   State      `cbor:"2,keyasint"`
	// Epoch counts, within an incarnation, how often the daemon refuted a
	// report about itself. A higher one overrides all lower ones.
	Epoch uint32 `cbor:"3,keyasint,omitempty"`
	// Beat counts the daemon's own periods: a higher one proves that it ran.
	Beat    uint64    `cbor:"4,keyasint,omitempty"`
	Domain  id.Domain `cbor:"5,keyasint,omitempty"`
	Address string    `cbor:"6,keyasint,omitempty"`
	// Revision of the configuration in force at the daemon.
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// InFlight counts the requests it serves.
	InFlight int `cbor:"8,keyasint,omitempty"`
	// Settings is a hash of its settings; equal daemons have equal ones.
	Settings uint64 `cbor:"9,keyasint,omitempty"`
	// CallerAddress is the address that callers are told.
	CallerAddress string `cbor:"10,keyasint,omitempty"`
	// Watched says that others wait for the daemon; it sends more often.
	Watched bool `cbor:"11,keyasint,omitempty"`
	// StoreLost says that the platform's store does not answer the daemon.
	StoreLost bool `cbor:"12,keyasint,omitempty"`
	// Capacity is what the daemon's host grants it.
	Capacity capacity.Capacity `cbor:"13,keyasint,omitempty"`
	// Period is the longest time until the daemon's next heartbeat, where that is
	// longer than the configured one; Mesh only.
	Period time.Duration `cbor:"14,keyasint,omitempty"`
	// Stale says that the daemon's configuration may be too old to take keys.
	Stale bool `cbor:"15,keyasint,omitempty"`
}

// Kind is the kind of a Message.
type Kind uint8

// The kinds of messages.
const (
	// Heartbeat says that the sender runs; no answer is due.
	Heartbeat Kind = iota + 1
	// Probe asks the receiver for an Ack.
	Probe
	// Ack answers a Probe.
	Ack
	// ProbeRequest asks the receiver for a Report about the daemon About.
	ProbeRequest
	// Report answers a ProbeRequest with fresh evidence, in Entries.
	Report
	// Shuffle offers a sample of known daemons and asks for one.
	Shuffle
	// ShuffleReply answers a Shuffle.
	ShuffleReply
	// Sync asks a daemon for all that it knows; Partial only.
	Sync
	// SyncReply answers a Sync, in several messages.
	SyncReply
)

// Message is the one message between memberships.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Seq pairs an answer with its question, within the asker.
	Seq uint64 `cbor:"2,keyasint,omitempty"`
	// From is the sender about itself.
	From Entry `cbor:"3,keyasint"`
	// About names the daemon that a ProbeRequest is about.
	About id.Daemon `cbor:"4,keyasint,omitempty"`
	// Entries tell of other daemons, or tell the receiver about itself.
	Entries []Entry `cbor:"5,keyasint,omitempty"`
	// Watching, on a Heartbeat, asks the receiver for heartbeats: the sender
	// judges it by its silence.
	Watching bool `cbor:"6,keyasint,omitempty"`
	// Digest, on a Heartbeat between neighbours, sums up who is there.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
	// Proof is the newest that the sender has of how fresh a configuration is.
	Proof *freshness.Proof `cbor:"8,keyasint,omitempty"`
}

// Host is one entry of the platform's host list.
type Host struct {
	Name    id.Daemon
	Domain  id.Domain
	Address string
	Leaving bool
}

// Send is a message to pass on, without guarantee.
type Send struct {
	To      id.Daemon
	Address string
	Message Message
}

// Changed says that a daemon's state changed.
type Changed struct {
	Process  id.Process
	Domain   id.Domain
	From, To State
	Reason   string
}

// DeclaredDead says that this daemon was, or may have been, declared dead. It
// must stop acting on all that it held (pool ownership, leases, orders) and
// then call Resume.
type DeclaredDead struct {
	// By is the daemon that said so; this daemon itself after a stall.
	By id.Daemon
	// Superseded is set when a later incarnation of this daemon runs: this
	// process must end.
	Superseded bool
}

// Stalled says that this daemon was not run for a while. Others are not
// suspected for that time.
type Stalled struct{ Late time.Duration }

// Isolated says that this daemon lost (or found again) most of the fleet at once.
type Isolated struct {
	Now    bool
	Silent int
	Known  int
}

// Action is one thing to do or to know.
type Action struct {
	Send         *Send
	Changed      *Changed
	DeclaredDead *DeclaredDead
	Stalled      *Stalled
	Isolated     *Isolated
}
