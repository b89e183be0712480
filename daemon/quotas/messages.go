package quotas

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

// Envelope is what daemons send one another about teams' limits. One field is
// set.
type Envelope struct {
	Charge     *ChargeRequest `cbor:"1,keyasint,omitempty"`
	Reply      *ChargeReply   `cbor:"2,keyasint,omitempty"`
	Settlement *Settlement    `cbor:"3,keyasint,omitempty"`
	DebtNotice *DebtNotice    `cbor:"4,keyasint,omitempty"`
	Refund     *Refund        `cbor:"5,keyasint,omitempty"`
}

// Ask asks the keeper to charge a request to a team.
type ChargeRequest struct {
	// Seq pairs the reply with the question, within the asker.
	Seq  uint64  `cbor:"1,keyasint"`
	Team id.Team `cbor:"2,keyasint"`
	// Limit is the team's by the asker's configuration, for a keeper that does
	// not know the team yet.
	Limit quota.Limit `cbor:"3,keyasint"`
	Cost  float64     `cbor:"4,keyasint"`
}

// Reply answers an Ask.
type ChargeReply struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Granted bool   `cbor:"2,keyasint,omitempty"`
	// Wait is how long it takes until there is room, where nothing was granted.
	Wait time.Duration `cbor:"3,keyasint,omitempty"`
	// Back is when the refused request should come back.
	RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	// Balance of the team's account, in the limit's units.
	Balance float64 `cbor:"4,keyasint,omitempty"`
	// keeper is whose word it is, filled in where it is received; remembered is set
	// on one that repeats an earlier word, notAsked where too many questions wait.
	keeper     id.Daemon
	repeated   bool
	overloaded bool
}

// Settle tells the keeper what was spent ahead of its word.
type Settlement struct {
	Debts []quota.Debt `cbor:"1,keyasint"`
}

// Shut tells a daemon which of the teams that it settled for are in debt.
type DebtNotice struct {
	Teams []IndebtedTeam `cbor:"1,keyasint"`
}

// ShutTeam is a team in debt, and for how long it will be.
type IndebtedTeam struct {
	Team id.Team       `cbor:"1,keyasint"`
	Wait time.Duration `cbor:"2,keyasint"`
}

// Return gives back what was granted for a request that has not run.
type Refund struct {
	Team id.Team `cbor:"1,keyasint"`
	Cost float64 `cbor:"2,keyasint"`
}
