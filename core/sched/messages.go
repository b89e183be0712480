// Package sched is the deterministic scheduler of a pool: fair queue,
// admission, pairing of a prefill and a decode endpoint, slot ledger and link
// ledger. It has no sockets, clocks or goroutines: typed events and a time go
// in, typed actions come out.
//
// One daemon, the pool's owner by rendezvous hashing over the live members,
// runs the scheduler of a pool; every other daemon sends it its Wants.
package sched

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Want asks for the endpoints that shall serve a request. It is sent once per
// attempt and again, unchanged, to a pool's new owner.
type Want struct {
	Request id.Request `cbor:"1,keyasint"`
	Team    id.Team    `cbor:"2,keyasint"`
	Service id.Service `cbor:"3,keyasint"`
	Pool    id.Pool    `cbor:"4,keyasint"`
	// From is the daemon that serves the caller.
	From id.Process `cbor:"5,keyasint"`
	// Age is how long ago the caller's request arrived, at sending.
	Age time.Duration `cbor:"6,keyasint"`
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int `cbor:"7,keyasint"`
	OutputTokens int `cbor:"8,keyasint"`
	// Prefix holds the chained hashes of the prompt's leading blocks, salted
	// by team, so that teams never share an entry.
	Prefix []uint64 `cbor:"9,keyasint"`
	// Priority, 0 (lowest) to 9.
	Priority int `cbor:"10,keyasint"`
	// Avoid lists endpoints on which earlier attempts failed.
	Avoid []id.Endpoint `cbor:"11,keyasint"`
	// Domain of the daemon that serves the caller.
	Domain id.Domain `cbor:"12,keyasint"`
	// Attempt counts from 1.
	Attempt int `cbor:"13,keyasint"`
	// Suspect is set on a request that has crashed an endpoint before: it is
	// run alone, never beside other requests' work on a shared engine where
	// that can be helped.
	Suspect bool `cbor:"14,keyasint"`
	// Fingerprint identifies team and content; the same under a new request id.
	Fingerprint string `cbor:"15,keyasint"`
	// Target is when, from the request's arrival, its caller expects the first
	// output; Patience is when it is refused for want of room; Lifetime is when
	// its caller is gone for certain. Zero: the service's own figures apply.
	Target   time.Duration `cbor:"16,keyasint,omitempty"`
	Patience time.Duration `cbor:"17,keyasint,omitempty"`
	Lifetime time.Duration `cbor:"18,keyasint,omitempty"`
	// Prefilled asks for a decode endpoint alone: the prompt was read before, and
	// its KV cache lives no longer than Patience.
	Prefilled bool `cbor:"19,keyasint,omitempty"`
	// Pause is the longest pause between the events of the answer that its caller
	// expects; 0 for no bound.
	Pause time.Duration `cbor:"20,keyasint,omitempty"`
}

// Grant answers a Want: run the prefill on one endpoint, the decode on another.
// For a plain service Prefill is empty and Decode names the endpoint.
type Grant struct {
	Request id.Request  `cbor:"1,keyasint"`
	Prefill id.Endpoint `cbor:"2,keyasint"`
	Decode  id.Endpoint `cbor:"3,keyasint"`
	// Reservation numbers the grant within the owner; the owner's process is part of it.
	Reservation uint64     `cbor:"4,keyasint"`
	Owner       id.Process `cbor:"5,keyasint"`
	// StartIn is how long the daemon waits before it orders the prefill.
	StartIn time.Duration `cbor:"6,keyasint"`
	// ExpiresIn is how long the grant holds without a Progress.
	ExpiresIn time.Duration `cbor:"7,keyasint"`
	// Reason explains the choice for the decision log: candidates left, scores.
	Reason string `cbor:"8,keyasint"`
	// Provisional is set when the decode slot is not free yet: before the
	// decode order the daemon waits for a Binding, no longer than BindWithin
	// from the prefill's end. Without one it tries Decode: the engine is the
	// last word.
	Provisional bool          `cbor:"9,keyasint,omitempty"`
	BindWithin  time.Duration `cbor:"10,keyasint,omitempty"`
}

// Binding names the endpoint whose slot a provisional grant has got.
type Binding struct {
	Request     id.Request  `cbor:"1,keyasint"`
	Reservation uint64      `cbor:"2,keyasint"`
	Decode      id.Endpoint `cbor:"3,keyasint"`
}

// Refusal answers a Want that won't be served. Its verdict is always not run.
type Refusal struct {
	Request    id.Request    `cbor:"1,keyasint"`
	Code       verdict.Code  `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
	Reason     string        `cbor:"4,keyasint"`
}

// Phase is how far a granted request has come.
type Phase uint8

// The phases of a granted request.
const (
	// PhasePrefilling: the prefill order was sent.
	PhasePrefilling Phase = iota + 1
	// PhaseTransferring: prefill ended, the decode engine imports the KV cache.
	PhaseTransferring
	// PhaseDecoding: the first token has come; for plain calls, the order was sent.
	PhaseDecoding
	// PhaseDone: the answer is complete; all is released.
	PhaseDone
	// PhaseFailed: the attempt ended with an error; all is released.
	PhaseFailed
	// PhaseCancelled: the caller is gone; released once the endpoint confirmed.
	PhaseCancelled
)

// Progress tells the owner how a granted request fares.
type Progress struct {
	Request     id.Request `cbor:"1,keyasint"`
	Reservation uint64     `cbor:"2,keyasint"`
	Phase       Phase      `cbor:"3,keyasint"`
	// Endpoint that failed, with PhaseFailed, or that decodes, with
	// PhaseDecoding; empty when none is to blame, or it is the granted one.
	Endpoint id.Endpoint `cbor:"4,keyasint"`
	// CachedTokens is how many prompt tokens the prefill found in its cache.
	CachedTokens int `cbor:"5,keyasint"`
	// PromptTokens is the measured prompt length.
	PromptTokens int `cbor:"6,keyasint"`
	// OutputTokens is the output so far.
	OutputTokens int `cbor:"7,keyasint"`
	// PrefillTime and TransferTime are measured durations; zero if unknown.
	PrefillTime  time.Duration `cbor:"8,keyasint"`
	TransferTime time.Duration `cbor:"9,keyasint"`
	// KVBytes is the size of the exported KV cache, in bytes.
	KVBytes int64 `cbor:"10,keyasint"`
	// Full is set with PhaseFailed when the endpoint refused for lack of room.
	Full bool `cbor:"11,keyasint"`
	// Leaving is set with PhaseFailed when the endpoint said that it leaves.
	Leaving bool `cbor:"12,keyasint"`
	// Crashed is set with PhaseFailed when the endpoint's process seems to have ended.
	Crashed bool `cbor:"13,keyasint"`
	// Unreachable is set with PhaseFailed when the endpoint took no connection.
	Unreachable bool `cbor:"14,keyasint"`
}

// Adopt tells a pool's new owner of a grant that a former owner gave and that
// is still in use.
type Adopt struct {
	Want  Want  `cbor:"1,keyasint"`
	Grant Grant `cbor:"2,keyasint"`
	Phase Phase `cbor:"3,keyasint"`
	// For is how long the request has been in that phase; 0 if not known.
	For time.Duration `cbor:"4,keyasint,omitempty"`
}

// Load is an endpoint's own report, with a lag.
type Load struct {
	Endpoint    id.Endpoint    `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	// Running counts requests in decode slots, or calls; Waiting those behind them.
	Running int `cbor:"3,keyasint"`
	Waiting int `cbor:"4,keyasint"`
	// Slots is the engine's own count of its slots.
	Slots int `cbor:"5,keyasint"`
	// Leaving is the endpoint's own word that it takes no new work.
	Leaving bool `cbor:"6,keyasint"`
	// Reachable is false when the report could not be fetched.
	Reachable bool `cbor:"7,keyasint"`
	// Model and Role are what the engine serves now; empty if not ready.
	Model string    `cbor:"8,keyasint"`
	Role  live.Role `cbor:"9,keyasint"`
}

// CacheEvent says that an engine stored or dropped a prefix block.
type CacheEvent struct {
	Endpoint id.Endpoint
	Block    uint64
	Stored   bool
}

// Action is what the scheduler wants done: a Grant, a Refusal or a Binding for
// the daemon To.
type Action struct {
	To      id.Process
	Grant   *Grant
	Refusal *Refusal
	Binding *Binding
}

// Scheduler decides for one pool. The policies and the naive version implement
// it. Times are durations since an arbitrary start and never go back.
type Scheduler interface {
	// Configure takes a new configuration; requests in flight go on.
	Configure(now time.Duration, doc *live.Document) []Action
	// Want takes a request; a repeated one is answered again, not run twice.
	Want(now time.Duration, w Want) []Action
	// Withdraw drops a request that waits or was granted and not yet begun.
	Withdraw(now time.Duration, r id.Request) []Action
	// Progress follows a granted request.
	Progress(now time.Duration, p Progress) []Action
	// Adopt takes over a former owner's grant.
	Adopt(now time.Duration, a Adopt) []Action
	// Load takes an endpoint's report.
	Load(now time.Duration, l Load) []Action
	// Cache takes cache events; gap says that some were lost.
	Cache(now time.Duration, e id.Endpoint, events []CacheEvent, gap bool)
	// ProcessGone releases all that a dead daemon held, after its grace.
	ProcessGone(now time.Duration, p id.Process) []Action
	// Tick does what is due; call it at Next or earlier.
	Tick(now time.Duration) []Action
	// Next is when Tick is due.
	Next() time.Duration
}
