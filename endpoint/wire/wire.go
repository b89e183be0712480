// Package wire defines the JSON bodies that the platform and the endpoints
// exchange with the daemons. docs/PLATFORM.md describes each interface. All
// calls use HTTP/1.1. Times are in milliseconds unless the name states another unit.
package wire

// Paths of the interfaces.
const (
	PathPrefill     = "/v1/prefill"      // POST PrefillRequest -> PrefillResponse
	PathCompletions = "/v1/completions"  // POST DecodeRequest -> SSE of TokenEvent
	PathCancel      = "/v1/cancel"       // POST CancelRequest -> CancelResponse
	PathRelease     = "/v1/kv/release"   // POST ReleaseRequest -> 204
	PathEvents      = "/v1/events"       // GET ?request=&after=&owner=&incarnation= -> SSE of TokenEvent (resume)
	PathRequests    = "/v1/requests"     // GET -> RequestList
	PathLoad        = "/v1/load"         // GET -> LoadReport
	PathCache       = "/v1/cache/events" // GET ?after= -> CacheEvents
	PathOrders      = "/v1/orders"       // POST Order -> OrderResponse; GET -> OrderResponse
	PathHealth      = "/healthz"         // GET -> 200
	PathTransact    = "/v1/transact"     // POST Transaction -> TransactionResult
	PathRead        = "/v1/read"         // POST ReadRequest -> ReadResponse
	PathObjects     = "/v1/objects/"     // GET, PUT {name}
	PathHosts       = "/v1/hosts"        // GET -> HostList
	PathWeights     = "/v1/weights/"     // GET {model}: reserve a load slot -> WeightGrant
	PathControl     = "/control"         // POST Fault: stand-ins only
)

// HeaderIncarnation carries an endpoint's incarnation on every response.
const HeaderIncarnation = "X-Endpoint-Incarnation"

// HeaderNotRun, set to "true" on an error, states that the endpoint did not run the
// call.
const HeaderNotRun = "X-Not-Run"

// HeaderIdempotencyKey carries the caller's idempotency key to a plain service.
const HeaderIdempotencyKey = "Idempotency-Key"

// PrefillRequest orders the prefill of a prompt.
type PrefillRequest struct {
	// Request identifies the attempt; later calls refer to it.
	Request string `json:"request"`
	// Owner and OwnerIncarnation identify the daemon process that owns the attempt.
	Owner            string `json:"owner"`
	OwnerIncarnation uint64 `json:"owner_incarnation"`
	Model            string `json:"model"`
	// CacheSalt separates the prefix caches of teams.
	CacheSalt string `json:"cache_salt"`
	Prompt    string `json:"prompt"`
	// Priority is 0 to 9; a higher priority is served first.
	Priority int `json:"priority"`
}

// PrefillResponse is the result of a prefill.
type PrefillResponse struct {
	// KV identifies the exported KV cache at this engine.
	KV           string `json:"kv"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	// KVLifeMS is the time after which the engine drops the KV cache if it has not
	// been imported.
	KVLifeMS int `json:"kv_life_ms"`
}

// KVSource is the location from which a decode engine imports a KV cache.
type KVSource struct {
	Address string `json:"address"`
	KV      string `json:"kv"`
	Bytes   int64  `json:"bytes"`
	// Domain is the failure domain of the source.
	Domain string `json:"domain"`
}

// DecodeRequest orders a decode: the engine takes a slot, imports the KV cache and
// streams tokens.
type DecodeRequest struct {
	Request          string   `json:"request"`
	Owner            string   `json:"owner"`
	OwnerIncarnation uint64   `json:"owner_incarnation"`
	Model            string   `json:"model"`
	CacheSalt        string   `json:"cache_salt"`
	Prompt           string   `json:"prompt"`
	MaxTokens        int      `json:"max_tokens"`
	Priority         int      `json:"priority"`
	Source           KVSource `json:"kv_transfer_params"`
	// Continue is the number of tokens of the answer that were delivered before.
	// The engine continues after them, numbering from Continue+1. The prefilled
	// prompt includes them.
	Continue int `json:"continue"`
}

// TokenEvent is one SSE event of an answer. The SSE id is Seq.
type TokenEvent struct {
	Request string `json:"request"`
	// Seq is the number of the event in the answer, from 1; a continuation does not
	// restart it.
	Seq int `json:"seq"`
	// Text is the text of the token; it is empty on the last event.
	Text string `json:"text"`
	// Finish is "stop" or "length" on the last event, and empty on all others.
	Finish string `json:"finish,omitempty"`
	// TransferMS is the duration of the import, set on the first event.
	TransferMS float64 `json:"transfer_ms,omitempty"`
}

// CancelRequest cancels a request in any state.
type CancelRequest struct {
	Request string `json:"request"`
	// Owner and OwnerIncarnation, if set, make the cancel conditional on the
	// request still being owned by that process.
	Owner            string `json:"owner,omitempty"`
	OwnerIncarnation uint64 `json:"owner_incarnation,omitempty"`
}

// CancelResponse is the result of a cancel.
type CancelResponse struct {
	// State is "cancelled", "unknown" (a tombstone was recorded: a run order that
	// arrives later is refused), "finished" or "other_owner".
	State string `json:"state"`
}

// The states of a CancelResponse.
const (
	CancelDone       = "cancelled"
	CancelUnknown    = "unknown"
	CancelFinished   = "finished"
	CancelOtherOwner = "other_owner"
)

// ReleaseRequest frees an exported KV cache that will not be imported.
type ReleaseRequest struct {
	Request string `json:"request"`
	KV      string `json:"kv"`
}

// RunningRequest is one request for which an engine holds memory.
type RunningRequest struct {
	Request          string `json:"request"`
	Owner            string `json:"owner"`
	OwnerIncarnation uint64 `json:"owner_incarnation"`
	// Stage is "prefill", "kv", "import", "decode" or "finished" (kept for resume).
	Stage string `json:"stage"`
	AgeMS int64  `json:"age_ms"`
}

// RequestList lists the requests for which an engine holds memory.
type RequestList struct {
	Incarnation uint64           `json:"incarnation"`
	Requests    []RunningRequest `json:"requests"`
}

// LoadReport is the load that an endpoint reports; it may be out of date.
type LoadReport struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	Slots       int    `json:"slots"`
	Leaving     bool   `json:"leaving"`
	Model       string `json:"model"`
	Role        string `json:"role"`
}

// CacheEventItem is one change of a prefix cache.
type CacheEventItem struct {
	Number uint64 `json:"number"`
	// Block is the chained hash of a prefix block (see core/prefixhash).
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents is a batch of cache events; non-consecutive numbers mean that events
// were lost.
type CacheEvents struct {
	Events []CacheEventItem `json:"events"`
}

// Order is the desired state of an engine. It is idempotent.
type Order struct {
	// Fence is the lease's fencing number.
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// OrderResponse is the state of an engine with respect to its order.
type OrderResponse struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Ready is false while a load or a role change runs.
	Ready bool `json:"ready"`
}

// Condition is a precondition of a transaction.
type Condition struct {
	Key string `json:"key"`
	// Version is the version that the row must have; 0 means that it must not exist.
	Version uint64 `json:"version"`
}

// Put writes a row, or deletes it.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all puts if all conditions hold, and otherwise none.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts"`
}

// TransactionResult is the result of a transaction.
type TransactionResult struct {
	Applied bool `json:"applied"`
	// Failed lists the keys whose condition did not hold.
	Failed []string `json:"failed,omitempty"`
	// Versions are the new versions of the written rows, in the order of the puts.
	Versions []uint64 `json:"versions,omitempty"`
}

// ReadRequest reads rows by key or by prefix.
type ReadRequest struct {
	Keys []string `json:"keys,omitempty"`
	// Prefix selects the rows whose keys have this prefix, in key order, after the
	// key After, at most Limit rows (default 1000).
	Prefix string `json:"prefix,omitempty"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// Row is one row of the table; Version 0 means that it does not exist.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// ReadResponse contains the requested rows.
type ReadResponse struct {
	Rows []Row `json:"rows"`
}

// Host is one entry of the host list.
type Host struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// HostList is the platform's view of the entry hosts; it may be out of date.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// WeightGrant permits one load from the weight store, or advises when to retry.
type WeightGrant struct {
	Granted      bool `json:"granted"`
	RetryAfterMS int  `json:"retry_after_ms,omitempty"`
}

// Fault configures the faults of a stand-in; fields that are not set keep their
// value.
type Fault struct {
	// Target names the stand-in: "table", "objects", "hosts", "weights" or an endpoint.
	Target string `json:"target"`
	// Down makes the stand-in refuse requests with 503, or hang if Hang is set.
	Down *bool `json:"down,omitempty"`
	Hang *bool `json:"hang,omitempty"`
	// DelayMS is added to every reply.
	DelayMS *int `json:"delay_ms,omitempty"`
	// LoseReplies is the fraction of writes, 0 to 1, that take effect but whose
	// reply is cut off.
	LoseReplies *float64 `json:"lose_replies,omitempty"`
	// StaleReads is the fraction of reads, 0 to 1, that return an earlier state.
	StaleReads *float64 `json:"stale_reads,omitempty"`
	// Slow is a factor on an engine's processing times; 1 is normal.
	Slow *float64 `json:"slow,omitempty"`
	// StallTransfers makes imports hang.
	StallTransfers *bool `json:"stall_transfers,omitempty"`
	// Crash ends the engine's current incarnation: all state and streams are lost.
	Crash bool `json:"crash,omitempty"`
	// Leaving makes an endpoint report that it is leaving.
	Leaving *bool `json:"leaving,omitempty"`
	// Hosts replaces the host list.
	Hosts []Host `json:"hosts,omitempty"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	// Code identifies the cause: one of the Error constants below or a code of
	// package verdict.
	Code string `json:"code"`
	// Message describes the failure and where it occurred.
	Message string `json:"message"`
	// RetryAfterMS is the advised delay before a retry, in milliseconds; 0 means no
	// advice.
	RetryAfterMS int `json:"retry_after_ms,omitempty"`
}

// The codes of an ErrorBody.
const (
	ErrorBadRequest  = "bad_request"     // the body or the path is invalid
	ErrorFull        = "overloaded"      // no free slot, or the queue is full
	ErrorLeaving     = "leaving"         // the endpoint accepts no new work
	ErrorUnavailable = "unavailable"     // down, loading or over its rate limit
	ErrorRole        = "wrong_role"      // the engine has another role or model
	ErrorKVGone      = "kv_gone"         // the KV cache expired or was released
	ErrorCancelled   = "cancelled"       // the request was cancelled
	ErrorDuplicate   = "duplicate"       // the engine already has this request
	ErrorUnknown     = "unknown_request" // the engine has no such request
	ErrorOwner       = "other_owner"     // a later incarnation owns the request
	ErrorStaleFence  = "stale_fence"     // the order's fencing number is out of date
	ErrorNotFound    = "not_found"       // the object does not exist
	ErrorTooLarge    = "too_large"       // the body is too large
	ErrorEndpoint    = "endpoint_failed" // the endpoint failed while running the call
)
