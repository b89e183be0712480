// Package claim runs non-idempotent calls at most once: before such a call is
// dispatched, a row of the platform's table claims its idempotency key. The
// package is a state machine that decides what to write, read and answer; it does
// no I/O. See docs/design/claims.md.
package claim

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Token is unique to one attempt. A row that holds it was written for that attempt.
type Token string

// Hash is a SHA-256 hash of a request's method, path and body.
type Hash [32]byte

// Begin is a request to claim a call.
type Begin struct {
	Team    id.Team    `cbor:"1,keyasint"`
	Service id.Service `cbor:"2,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"3,keyasint"`
	// RequestHash distinguishes a repeat from a different call with the same key.
	RequestHash Hash `cbor:"4,keyasint"`
	// Token is unique to this attempt.
	Token Token `cbor:"5,keyasint"`
	// Owner is the process that will dispatch the call.
	Owner id.Process `cbor:"6,keyasint"`
}

// Claim is a held claim. Its owner holds it until Finish or Release.
type Claim struct {
	// Row is the key of the row; see RowKey.
	Row         string     `cbor:"1,keyasint"`
	RequestHash Hash       `cbor:"2,keyasint"`
	Token       Token      `cbor:"3,keyasint"`
	Owner       id.Process `cbor:"4,keyasint"`
	// Version of the row; 0 if unknown.
	Version uint64 `cbor:"5,keyasint"`
	// ClaimedUnixMS is the wall time of the claim, in milliseconds since 1970.
	ClaimedUnixMS int64 `cbor:"6,keyasint"`
}

// Answer is the complete answer of a finished call.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	// Body is empty when the body is in the object store.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// Object names the body in the object store.
	Object string `cbor:"4,keyasint,omitempty"`
	// ObjectBytes is the size of that object, in bytes.
	ObjectBytes int `cbor:"5,keyasint,omitempty"`
}

// Failure describes a call that ended without an answer.
type Failure struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Code    verdict.Code    `cbor:"2,keyasint"`
	Message string          `cbor:"3,keyasint,omitempty"`
}

// Outcome is the result of a claimed call: an answer or a failure. A failure with
// the verdict NotRun frees the key.
type Outcome struct {
	Answer  *Answer  `cbor:"1,keyasint,omitempty"`
	Failure *Failure `cbor:"2,keyasint,omitempty"`
}

// StoreCallID identifies a call to the store within one Claims.
type StoreCallID uint64

// Action is one instruction to the caller of Claims. Exactly one field is set.
type Action struct {
	// Transact requests a transaction; its reply goes to StoreReply or StoreFailed.
	Transact *Transact
	// Read requests rows; its reply goes to ReadReply or StoreFailed.
	Read *Read
	// StoreObject requests to store a large body; its result goes to ObjectReply.
	StoreObject *StoreObject
	// Proceed allows the dispatch.
	Proceed *Proceed
	// Refuse answers the call with an error.
	Refuse *Refuse
	// Replay answers the call with the stored answer.
	Replay *Replay
	// Settled reports the end of a Finish or Release.
	Settled *Settled
}

// Transact is one group commit. It must be sent once; the client must not retry
// it on its own.
type Transact struct {
	ID          StoreCallID
	Transaction table.Transaction
}

// Read is a read of rows by key.
type Read struct {
	ID   StoreCallID
	Keys []string
}

// StoreObject stores a body in the object store under a unique name.
type StoreObject struct {
	// Row is to be passed to ObjectReply.
	Row  string
	Name string
	Body []byte
}

// Proceed grants the claim to its owner, which may then dispatch the call.
type Proceed struct {
	Claim Claim
}

// Refuse gives the reason why a call is not dispatched.
type Refuse struct {
	Token Token
	Err   *verdict.Error
}

// Replay answers a call with the stored answer of an earlier one.
type Replay struct {
	Token  Token
	Answer Answer
}

// Settled ends a Finish or a Release. Stored is false when the row could not
// be written in time; later calls are then refused with the verdict MayHaveRun.
type Settled struct {
	Token  Token
	Stored bool
}

// StoreFailure is what is known about a store call that gave no reply.
type StoreFailure uint8

// The kinds of StoreFailure.
const (
	// OutcomeUnknown: the write may have taken effect or may still do so.
	OutcomeUnknown StoreFailure = iota + 1
	// CertainlyNotRun: the store did not execute the call and never will.
	CertainlyNotRun
)

// Config sets the bounds of Claims; zero fields take the defaults.
type Config struct {
	// Window is how long a write waits for others to share its transaction.
	// Default 5 ms.
	Window time.Duration
	// MinInterval is the minimum time between the starts of two transactions. It
	// divides the store's write rate among the writers; see MinIntervalFor. Default
	// 37.5 ms: nine daemons that each write their own claims share 240 transactions
	// a second.
	MinInterval time.Duration
	// MaxBatch bounds the rows of a transaction or read. Default 64.
	MaxBatch int
	// MaxInFlight bounds the transactions in flight and, separately, the reads in
	// flight. Default 2.
	MaxInFlight int
	// MaxWait bounds how long a Begin waits for the store. Default 300 ms.
	MaxWait time.Duration
	// CallTimeout is after how long the outcome of a store call counts as unknown.
	// Default 2 s.
	CallTimeout time.Duration
	// FinishTimeout bounds how long a Finish or Release is retried. Default 10 min.
	FinishTimeout time.Duration
	// Retention is how long a key is kept, in wall time. Default 24 h.
	Retention time.Duration
	// MaxInline bounds the body that is stored within a row, in bytes. Default 64 KiB.
	MaxInline int
	// MaxOps bounds the Begins, Finishes and Releases in progress: above it, Begins
	// are refused; above twice its value, the others as well. Default 8192.
	MaxOps int
	// OwnerAlive reports whether a process is alive, by the membership. Required.
	OwnerAlive func(id.Process) bool
}

// Defaults of Config.
const (
	DefaultWindow        = 5 * time.Millisecond
	DefaultMinInterval   = 37500 * time.Microsecond
	DefaultMaxBatch      = 64
	DefaultMaxInFlight   = 2
	DefaultMaxWait       = 300 * time.Millisecond
	DefaultCallTimeout   = 2 * time.Second
	DefaultFinishTimeout = 10 * time.Minute
	DefaultRetention     = 24 * time.Hour
	DefaultMaxInline     = 64 << 10
	DefaultMaxOps        = 8192
)
