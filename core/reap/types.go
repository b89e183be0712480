// Package reap frees the memory that endpoints hold for abandoned requests. The
// Canceller repeats a cancel until its effect is certain; the Reaper finds the work
// of dead processes. See docs/design/orphans.md.
package reap

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
)

// Key identifies one request at one endpoint.
type Key struct {
	Endpoint id.Endpoint
	Request  id.Request
}

// Order is the task of ending a request at an endpoint and of freeing its exported
// KV cache, if KV is set.
type Order struct {
	Key Key
	// Incarnation of the endpoint that took the request; 0 if unknown.
	Incarnation id.Incarnation
	// Owner, if set, makes the cancel conditional: it applies only while that
	// process owns the request.
	Owner *id.Process
	// KV, if set, is the name of an exported KV cache to release as well.
	KV string
	// RunSettled is set if the run order can no longer arrive, since its reply
	// was received or its failure is certain.
	RunSettled bool
}

// CancelState is the endpoint's reply to a cancel.
type CancelState string

// The replies to a cancel.
const (
	// Cancelled: the work was ended.
	Cancelled CancelState = "cancelled"
	// Unknown: the endpoint does not know the request and left a tombstone.
	Unknown CancelState = "unknown"
	// Finished: the work had already ended.
	Finished CancelState = "finished"
	// OtherOwner: another process has taken the request over.
	OtherOwner CancelState = "other_owner"
)

// Action is an action that the caller of a Canceller must perform. Exactly one field
// is set.
type Action struct {
	// Cancel is a cancel to send; the caller passes the result to Reply or Failed.
	Cancel *Cancel
	// Release is a KV release to send; the caller passes the result to Released or
	// Failed.
	Release *Release
	// Done reports the end of an order.
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

// Done is the end of an Order.
type Done struct {
	Key Key
	// Reason is the reason for the end, for the log.
	Reason DoneReason
	// Attempts is the number of times that the cancel or release was sent.
	Attempts int
	// After is the time since the order was added.
	After time.Duration
}

// DoneReason is the reason for the end of an Order.
type DoneReason string

// The values of Done.Reason.
const (
	DoneAcknowledged DoneReason = "acknowledged"
	DoneIncarnation  DoneReason = "incarnation_ended"
	DoneRemoved      DoneReason = "endpoint_removed"
	// DoneOverflow: MaxOrders orders were pending, so the order was not added. The
	// Reaper finds the work again in the endpoint's list.
	DoneOverflow DoneReason = "overflow"
)

// Stage is the stage of a request at an endpoint.
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
	// Age is the time since the stage began or the request arrived, as reported by
	// the endpoint.
	Age time.Duration
}

// List lists the requests that one endpoint holds memory for.
type List struct {
	Endpoint    id.Endpoint
	Incarnation id.Incarnation
	Requests    []Running
}
