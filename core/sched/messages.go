// Package sched implements the deterministic scheduler of a pool: fair queue,
// admission, pairing of a prefill and a decode endpoint, slot ledger and link
// ledger. It has no sockets, clocks or goroutines: it takes typed events with a
// time and returns typed actions.
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

// Want requests the endpoints for one attempt of a request. It is sent once per
// attempt and again, unchanged, to a pool's new owner.
type Want struct {
	Request id.Request `cbor:"1,keyasint"`
	Team    id.Team    `cbor:"2,keyasint"`
	Service id.Service `cbor:"3,keyasint"`
	Pool    id.Pool    `cbor:"4,keyasint"`
	// From is the daemon that serves the caller.
	From id.Process `cbor:"5,keyasint"`
	// Age is the time since the caller's request arrived, as of sending.
	Age time.Duration `cbor:"6,keyasint"`
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int `cbor:"7,keyasint"`
	OutputTokens int `cbor:"8,keyasint"`
	// Prefix holds the chained hashes of the prompt's leading blocks, salted
	// by team, so that teams never share a cache entry.
	Prefix []uint64 `cbor:"9,keyasint"`
	// Priority is from 0 (lowest) to 9.
	Priority int `cbor:"10,keyasint"`
	// Avoid lists endpoints on which earlier attempts failed.
	Avoid []id.Endpoint `cbor:"11,keyasint"`
	// Domain is the failure domain of the daemon that serves the caller.
	Domain id.Domain `cbor:"12,keyasint"`
	// Attempt counts from 1.
	Attempt int `cbor:"13,keyasint"`
	// Suspect is set on a request that has crashed an endpoint before: where
	// possible it runs alone, not on an engine with work of other requests.
	Suspect bool `cbor:"14,keyasint"`
	// Fingerprint identifies team and content independently of the request id.
	Fingerprint string `cbor:"15,keyasint"`
	// Target, Patience and Lifetime are measured from the request's arrival. Target
	// is when the caller expects the first output, Patience when the request is
	// refused for lack of capacity, and Lifetime when the caller has certainly
	// gone. Zero selects the service's own value.
	Target   time.Duration `cbor:"16,keyasint,omitempty"`
	Patience time.Duration `cbor:"17,keyasint,omitempty"`
	Lifetime time.Duration `cbor:"18,keyasint,omitempty"`
	// Prefilled requests only a decode endpoint: the prompt is prefilled already,
	// and its KV cache lives no longer than Patience.
	Prefilled bool `cbor:"19,keyasint,omitempty"`
	// Pause is the longest pause between events of the answer that the caller
	// expects; 0 means no bound.
	Pause time.Duration `cbor:"20,keyasint,omitempty"`
	// Software requires a decode engine of this software version; empty for any.
	Software id.Software `cbor:"21,keyasint,omitempty"`
	// Content identifies what the request's team asks for, whatever the request's id: a
	// caller's next attempt has the same. 0 if unknown.
	Content uint64 `cbor:"22,keyasint,omitempty"`
	// AnswerIn is set on a plain call: how long its daemon waits for a first answer of the
	// owner, which is a grant, a refusal or word that the call is queued.
	AnswerIn time.Duration `cbor:"23,keyasint,omitempty"`
}

// Grant answers a Want with the endpoints for the prefill and the decode. For a
// plain service Prefill is empty and Decode names the endpoint.
type Grant struct {
	Request id.Request  `cbor:"1,keyasint"`
	Prefill id.Endpoint `cbor:"2,keyasint"`
	Decode  id.Endpoint `cbor:"3,keyasint"`
	// Reservation is the number of the grant, unique within the Owner process.
	Reservation uint64     `cbor:"4,keyasint"`
	Owner       id.Process `cbor:"5,keyasint"`
	// StartIn is the delay before the daemon sends the prefill to its endpoint.
	StartIn time.Duration `cbor:"6,keyasint"`
	// ExpiresIn is how long the grant is valid without a Progress.
	ExpiresIn time.Duration `cbor:"7,keyasint"`
	// Reason explains the choice in the decision log, with the number of candidates
	// and the score.
	Reason string `cbor:"8,keyasint"`
	// Provisional is set when the decode slot is not free yet: before the daemon
	// starts the decode it waits for a Binding, for at most BindWithin from the
	// end of the prefill. Without a Binding it tries Decode, and the engine
	// accepts or refuses.
	Provisional bool          `cbor:"9,keyasint,omitempty"`
	BindWithin  time.Duration `cbor:"10,keyasint,omitempty"`
}

// Binding assigns a decode slot to a provisional grant.
type Binding struct {
	Request     id.Request  `cbor:"1,keyasint"`
	Reservation uint64      `cbor:"2,keyasint"`
	Decode      id.Endpoint `cbor:"3,keyasint"`
}

// Refusal answers a Want that is not granted. Its verdict is always not run.
type Refusal struct {
	Request    id.Request    `cbor:"1,keyasint"`
	Code       verdict.Code  `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint"`
	Reason     string        `cbor:"4,keyasint"`
}

// Phase is the phase of a granted request.
type Phase uint8

// The phases of a granted request.
const (
	// PhasePrefilling: the prefill was sent to its endpoint.
	PhasePrefilling Phase = iota + 1
	// PhaseTransferring: the prefill has ended and the decode engine imports the KV
	// cache.
	PhaseTransferring
	// PhaseDecoding: the first token has arrived; for plain calls, the call was sent.
	PhaseDecoding
	// PhaseDone: the answer is complete; the reservation is released.
	PhaseDone
	// PhaseFailed: the attempt failed; the reservation is released.
	PhaseFailed
	// PhaseCancelled: the attempt was cancelled, usually because the caller is gone;
	// a decode is reported as cancelled only after its endpoint has confirmed. The
	// reservation is released.
	PhaseCancelled
)

// Progress reports the progress of a granted request to the owner.
type Progress struct {
	Request     id.Request `cbor:"1,keyasint"`
	Reservation uint64     `cbor:"2,keyasint"`
	Phase       Phase      `cbor:"3,keyasint"`
	// Endpoint is the one that failed, with PhaseFailed, or the one that decodes,
	// with PhaseDecoding. It is empty if no endpoint caused the failure or if the
	// granted endpoint decodes.
	Endpoint id.Endpoint `cbor:"4,keyasint"`
	// CachedTokens is the number of prompt tokens that the prefill found cached.
	CachedTokens int `cbor:"5,keyasint"`
	// PromptTokens is the measured prompt length.
	PromptTokens int `cbor:"6,keyasint"`
	// OutputTokens is the number of output tokens so far.
	OutputTokens int `cbor:"7,keyasint"`
	// PrefillTime and TransferTime are measured durations; zero if unknown.
	PrefillTime  time.Duration `cbor:"8,keyasint"`
	TransferTime time.Duration `cbor:"9,keyasint"`
	// KVBytes is the size of the exported KV cache, in bytes.
	KVBytes int64 `cbor:"10,keyasint"`
	// Full is set with PhaseFailed when the endpoint refused for lack of capacity.
	Full bool `cbor:"11,keyasint"`
	// Leaving is set with PhaseFailed when the endpoint refused because it is
	// leaving.
	Leaving bool `cbor:"12,keyasint"`
	// Crashed is set with PhaseFailed when the endpoint's process has probably
	// ended.
	Crashed bool `cbor:"13,keyasint"`
	// Unreachable is set with PhaseFailed when no connection to the endpoint could
	// be made.
	Unreachable bool `cbor:"14,keyasint"`
	// ServiceTime is how long the endpoint took for a plain call, from the sending of the
	// call to its answer or failure; zero if unknown.
	ServiceTime time.Duration `cbor:"15,keyasint,omitempty"`
	// TimedOut is set with PhaseFailed when the endpoint of a plain call gave no answer
	// within the call's time limit.
	TimedOut bool `cbor:"16,keyasint,omitempty"`
}

// Adopt reports to a pool's new owner a grant of a former owner that is still in
// use.
type Adopt struct {
	Want  Want  `cbor:"1,keyasint"`
	Grant Grant `cbor:"2,keyasint"`
	Phase Phase `cbor:"3,keyasint"`
	// InPhase is how long the request has been in Phase; 0 if unknown.
	InPhase time.Duration `cbor:"4,keyasint,omitempty"`
}

// Load is an endpoint's load report. It may be out of date on arrival.
type Load struct {
	Endpoint    id.Endpoint    `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	// Running counts the requests in decode slots, or the running calls; Waiting
	// counts the requests queued at the endpoint.
	Running int `cbor:"3,keyasint"`
	Waiting int `cbor:"4,keyasint"`
	// Slots is the number of slots that the engine reports.
	Slots int `cbor:"5,keyasint"`
	// Leaving is set when the endpoint reports that it takes no new work.
	Leaving bool `cbor:"6,keyasint"`
	// Reachable is false when the report could not be fetched.
	Reachable bool `cbor:"7,keyasint"`
	// Model and Role are what the engine currently serves; empty if it is not
	// ready.
	Model string    `cbor:"8,keyasint"`
	Role  live.Role `cbor:"9,keyasint"`
}

// CacheEvent reports that an engine stored or dropped a prefix block.
type CacheEvent struct {
	Endpoint id.Endpoint
	Block    uint64
	Stored   bool
}

// Action is a message of the scheduler to the daemon To: a Grant, a Refusal or a
// Binding.
type Action struct {
	To      id.Process
	Grant   *Grant
	Refusal *Refusal
	Binding *Binding
}

// Scheduler schedules the requests of one pool. Each scheduling policy implements
// it. Times are durations since an arbitrary start and never decrease.
type Scheduler interface {
	// Configure applies a new configuration; requests in flight continue.
	Configure(now time.Duration, doc *live.Document) []Action
	// Want takes a request; a repeated Want is answered again but not run twice.
	Want(now time.Duration, w Want) []Action
	// Withdraw drops a request that is queued or that was granted and has not begun.
	Withdraw(now time.Duration, r id.Request) []Action
	// Progress takes the progress of a granted request.
	Progress(now time.Duration, p Progress) []Action
	// Adopt takes over a former owner's grant.
	Adopt(now time.Duration, a Adopt) []Action
	// Load takes an endpoint's load report.
	Load(now time.Duration, l Load) []Action
	// Cache takes cache events; gap is set if events were lost.
	Cache(now time.Duration, e id.Endpoint, events []CacheEvent, gap bool)
	// ProcessGone releases everything that a dead daemon held; it is called after
	// the grace period.
	ProcessGone(now time.Duration, p id.Process) []Action
	// Tick processes due events; call it no later than Next.
	Tick(now time.Duration) []Action
	// Next returns the time at which Tick is due.
	Next() time.Duration
}
