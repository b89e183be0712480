package pairing

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Message is a message to a pool's owner. Exactly one field besides To is set.
type Message struct {
	To       id.Daemon
	Want     *sched.Want
	Withdraw *Withdrawal
	Progress *PoolProgress
	Adopt    *sched.Adopt
}

// Withdrawal drops a request that waits or has a grant but has not started.
type Withdrawal struct {
	Pool    id.Pool    `cbor:"1,keyasint"`
	Request id.Request `cbor:"2,keyasint"`
}

// PoolProgress is a Progress with its pool.
type PoolProgress struct {
	Pool     id.Pool        `cbor:"1,keyasint"`
	Progress sched.Progress `cbor:"2,keyasint"`
}

// Queued tells a daemon that the owner has its Want with AnswerIn and answers it later.
type Queued struct {
	Pool    id.Pool    `cbor:"1,keyasint"`
	Request id.Request `cbor:"2,keyasint"`
}

// OwnerChange is a change of whether the owner of a pool answers, for the log.
type OwnerChange struct {
	Owner id.Daemon
	// Silent is set if the owner does not answer, and unset once it does again.
	Silent bool
}

// Answer is the result of a call of Request: a grant, or an error whose verdict is
// NotRun.
type Answer struct {
	Request id.Request
	Grant   *sched.Grant
	Err     *verdict.Error
}

// Output is the result of an event: messages to send, and answers and bindings to
// deliver.
type Output struct {
	Messages []Message
	Answers  []Answer
	Bindings []sched.Binding
	Owners   []OwnerChange
}

func (o *Output) append(other Output) {
	o.Messages = append(o.Messages, other.Messages...)
	o.Answers = append(o.Answers, other.Answers...)
	o.Bindings = append(o.Bindings, other.Bindings...)
	o.Owners = append(o.Owners, other.Owners...)
}
