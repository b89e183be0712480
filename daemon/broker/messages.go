// Package broker pairs requests with endpoints. One goroutine, a duty, drives two
// deterministic parts: the requester for this daemon's own requests (core/pairing) and
// the managers of the pools that this daemon owns (core/pool). All events reach it
// through one bounded ring.
package broker

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/sched"
)

// Envelope is a message between brokers. Exactly one field is set.
type Envelope struct {
	Want     *sched.Want           `cbor:"1,keyasint,omitempty"`
	Withdraw *pairing.Withdrawal   `cbor:"2,keyasint,omitempty"`
	Progress *pairing.PoolProgress `cbor:"3,keyasint,omitempty"`
	Adopt    *sched.Adopt          `cbor:"4,keyasint,omitempty"`
	Grant    *PoolGrant            `cbor:"5,keyasint,omitempty"`
	Refusal  *sched.Refusal        `cbor:"6,keyasint,omitempty"`
	Drain    *Drain                `cbor:"7,keyasint,omitempty"`
	Binding  *sched.Binding        `cbor:"8,keyasint,omitempty"`
	Queued   *pairing.Queued       `cbor:"9,keyasint,omitempty"`
	Learned  *Learned              `cbor:"10,keyasint,omitempty"`
}

// answers reports whether an envelope is an owner's answer.
func (e *Envelope) answers() bool {
	return e.Grant != nil || e.Refusal != nil || e.Queued != nil
}

// pool returns the pool for which the receiver must schedule; false for an envelope
// that answers the receiver.
func (e *Envelope) pool() (id.Pool, bool) {
	switch {
	case e.Want != nil:
		return e.Want.Pool, true
	case e.Withdraw != nil:
		return e.Withdraw.Pool, true
	case e.Progress != nil:
		return e.Progress.Pool, true
	case e.Adopt != nil:
		return e.Adopt.Want.Pool, true
	case e.Drain != nil:
		return e.Drain.Pool, true
	case e.Learned != nil:
		return e.Learned.Pool, true
	default:
		return "", false
	}
}

// Drain stops new work for an endpoint of a pool, or allows it again.
type Drain struct {
	Pool     id.Pool     `cbor:"1,keyasint"`
	Endpoint id.Endpoint `cbor:"2,keyasint"`
	On       bool        `cbor:"3,keyasint"`
}

// PoolGrant is a Grant with its pool.
type PoolGrant struct {
	Pool  id.Pool     `cbor:"1,keyasint"`
	Grant sched.Grant `cbor:"2,keyasint"`
}

// Sender sends an envelope to another daemon without blocking. An error means that
// it will not arrive; the requester resends its messages.
type Sender interface {
	SendBroker(to id.Daemon, e *Envelope) error
}
