// Package reap frees what endpoints hold for requests that nobody waits for:
// the Canceller repeats a cancel until it is certain, the Reaper finds the
// work of processes that are gone. See docs/design/orphans.md.
package reap

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Key names one request at one endpoint.
type Key struct {
	Endpoint id.Endpoint
	Request  id.Request
}

// Order asks for a request to be ended, or its exported KV cache to be freed.
type Order struct {
	Key Key
	// Incarnation of the endpoint that took the request; 0 if unknown.
	Incarnation id.Incarnation
	// Owner, if set, restricts the cancel to work that the process still owns.
	Owner *id.Process
	// KV, if set, names an exported KV cache to be released as well.
	KV string
	// RunSettled says that the run order can't arrive any more: its reply or
	// its certain failure has come.
	RunSettled bool
}

// CancelState is the endpoint's answer to a cancel.
type CancelState string

// The answers to a cancel.
const (
	// Cancelled: the work was ended.
	Cancelled CancelState = "cancelled"
	// Unknown: the endpoint does not know the request and left a tombstone.
	Unknown CancelState = "unknown"
	// Finished: the work had ended.
	Finished CancelState = "finished"
	// OtherOwner: another process has taken the request over.
	OtherOwner CancelState = "other_owner"
)

// Action is what the caller of a Canceller shall do. Exactly one field is set.
type Action struct {
	// Cancel asks to send a cancel; the reply goes to Reply or Failed.
	Cancel *Cancel
	// Release asks to send a KV release; the reply goes to Released or Failed.
	Release *Release
	// Done says that nothing is held any more.
	Done *Done
}

// Cancel ends a request at an endpoint.
type Cancel struct {
	Key   Key
	Owner *id.Process
}

// Release frees an exported KV cache.
type Release struct {
	Key Key
	KV  string
}

// Done ends an Order.
type Done struct {
	Key Key
	// Reason tells why, for the log.
	Reason DoneReason
	// Attempts counts the cancels sent.
	Attempts int
	// After is the time since the order.
	After time.Duration
}

// DoneReason tells how an Order ended.
type DoneReason string

// The reasons of Done.
const (
	DoneAcknowledged DoneReason = "acknowledged"
	DoneIncarnation  DoneReason = "incarnation_ended"
	DoneRemoved      DoneReason = "endpoint_removed"
	// DoneOverflow: there was no room for the order; the Reaper finds the
	// work again by the endpoint's list.
	DoneOverflow DoneReason = "overflow"
)

// Stage is how far a request has come at an endpoint.
type Stage string

// The stages of a request at an endpoint.
const (
	StagePrefill  Stage = "prefill"
	StageKV       Stage = "kv"
	StageImport   Stage = "import"
	StageDecode   Stage = "decode"
	StageFinished Stage = "finished"
)

// Running is one request that an endpoint holds memory for.
type Running struct {
	Request id.Request
	Owner   id.Process
	Stage   Stage
	// Age since the stage was entered or the request came, as the endpoint says.
	Age time.Duration
}

// List is what one endpoint holds.
type List struct {
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
	Requests    []Running
}
