package quotas

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

// Envelope is a message between daemons about the limits of teams. One field is set.
type Envelope struct {
	Charge     *ChargeRequest `cbor:"1,keyasint,omitempty"`
	Reply      *ChargeReply   `cbor:"2,keyasint,omitempty"`
	Settlement *Settlement    `cbor:"3,keyasint,omitempty"`
	DebtNotice *DebtNotice    `cbor:"4,keyasint,omitempty"`
	Refund     *Refund        `cbor:"5,keyasint,omitempty"`
}

// ChargeRequest requests that the keeper charges a caller's request to its team.
type ChargeRequest struct {
	// Seq matches the reply with the request; it is unique within the requester.
	Seq  uint64  `cbor:"1,keyasint"`
	Team id.Team `cbor:"2,keyasint"`
	// Limit is the team's limit in the requester's configuration, for a keeper whose
	// configuration does not have the team yet.
	Limit quota.Limit `cbor:"3,keyasint"`
	Cost  float64     `cbor:"4,keyasint"`
}

// ChargeReply is the reply to a ChargeRequest.
type ChargeReply struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	// Wait is how long it takes until the account has credit, if nothing was granted.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// RetryAfter is the delay after which the refused request should be retried.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Balance is that of the team's account, in the limit's units.
	Balance float64 `cbor:"4,keyasint,omitempty"`
	// keeper is the daemon that sent the reply; the receiver sets it. repeated is set
	// if an earlier refusal of the keeper is repeated locally. overloaded is set if
	// the keeper was not contacted because too many requests are pending.
	keeper     id.Daemon
	repeated   bool
	overloaded bool
}

// Settlement reports to the keeper what was spent in advance, before the keeper
// charged it.
type Settlement struct {
	Debts []quota.Debt `cbor:"1,keyasint"`
}

// DebtNotice is the keeper's reply to a Settlement: the teams in it that are in debt.
type DebtNotice struct {
	Teams []IndebtedTeam `cbor:"1,keyasint"`
}

// IndebtedTeam is a team in debt and how long it will stay in debt.
type IndebtedTeam struct {
	Team id.Team       `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint"`
}

// Refund credits what was granted for a request that has not run.
type Refund struct {
	Team id.Team `cbor:"1,keyasint"`
	Cost float64 `cbor:"2,keyasint"`
}
