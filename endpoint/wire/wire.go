// Package wire holds the JSON bodies that the platform and the endpoints
// exchange with the daemons. docs/PLATFORM.md describes each interface. All
// calls are HTTP/1.1; times are milliseconds unless the name says otherwise.
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

// HeaderNotRun set to "true" on an error says that the endpoint did not run the call.
const HeaderNotRun = "X-Not-Run"

// HeaderIdempotencyKey carries the caller's key to a plain service.
const HeaderIdempotencyKey = "Idempotency-Key"

// PrefillRequest orders the reading of a prompt.
type PrefillRequest struct {
	// Request identifies the attempt; all later calls name it.
	Request string `json:"request"`
	// Owner and OwnerIncarnation name the daemon process that waits for it.
	Owner            string `json:"owner"`
	OwnerIncarnation uint64 `json:"owner_incarnation"`
	Model            string `json:"model"`
	// CacheSalt keeps the prefix caches of teams apart.
	CacheSalt string `json:"cache_salt"`
	Prompt    string `json:"prompt"`
	// Priority, 0 to 9; higher goes first.
	Priority int `json:"priority"`
}

// PrefillResponse ends a prefill.
type PrefillResponse struct {
	// KV names the exported KV cache at this engine.
	KV           string `json:"kv"`
	PromptTokens int    `json:"prompt_tokens"`
	CachedTokens int    `json:"cached_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
	// KVLifeMS is how long the engine keeps it unless it is imported.
	KVLifeMS int `json:"kv_life_ms"`
}

// KVSource tells a decode engine where to pull the KV cache from.
type KVSource struct {
	Address string `json:"address"`
	KV      string `json:"kv"`
	Bytes   int64  `json:"bytes"`
	// Domain is the failure domain of the source.
	Domain string `json:"domain"`
}

// DecodeRequest orders the writing of an answer; the engine takes a slot,
// imports the KV cache and streams tokens.
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
	// Continue is how many tokens of the answer were delivered before; the
	// engine goes on behind them, numbering from Continue+1. The prompt that
	// was prefilled holds them already.
	Continue int `json:"continue"`
}

// TokenEvent is one SSE event of an answer. The SSE id is Seq.
type TokenEvent struct {
	Request string `json:"request"`
	// Seq counts from 1 within the answer and goes on over a continuation.
	Seq int `json:"seq"`
	// Text of the token; empty on the last event.
	Text string `json:"text"`
	// Finish is empty but for the last event: "stop" or "length".
	Finish string `json:"finish,omitempty"`
	// TransferMS is set on the first event: how long the import took.
	TransferMS float64 `json:"transfer_ms,omitempty"`
}

// CancelRequest ends a request in whatever state it is.
type CancelRequest struct {
	Request string `json:"request"`
	// Owner and OwnerIncarnation, when set, cancel only if the request is
	// still owned by that process.
	Owner            string `json:"owner,omitempty"`
	OwnerIncarnation uint64 `json:"owner_incarnation,omitempty"`
}

// CancelResponse says what the cancel met.
type CancelResponse struct {
	// State is "cancelled", "unknown" (a tombstone was left: a run order that
	// comes later is refused), "finished" or "other_owner".
	State string `json:"state"`
}

// The states of a CancelResponse.
const (
	CancelDone       = "cancelled"
	CancelUnknown    = "unknown"
	CancelFinished   = "finished"
	CancelOtherOwner = "other_owner"
)

// ReleaseRequest frees an exported KV cache that nobody will import.
type ReleaseRequest struct {
	Request string `json:"request"`
	KV      string `json:"kv"`
}

// RunningRequest is one request that an engine holds memory for.
type RunningRequest struct {
	Request          string `json:"request"`
	Owner            string `json:"owner"`
	OwnerIncarnation uint64 `json:"owner_incarnation"`
	// Stage is "prefill", "kv", "import", "decode" or "finished" (kept for resume).
	Stage string `json:"stage"`
	AgeMS int64  `json:"age_ms"`
}

// RequestList lists what an engine holds.
type RequestList struct {
	Incarnation uint64           `json:"incarnation"`
	Requests    []RunningRequest `json:"requests"`
}

// LoadReport is an endpoint's view of itself, lagging.
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
	// Block is the chained hash of a prefix block (package prefixhash in core).
	Block  uint64 `json:"block"`
	Stored bool   `json:"stored"`
}

// CacheEvents is a batch; a jump in Number is a gap.
type CacheEvents struct {
	Events []CacheEventItem `json:"events"`
}

// Order is the desired state of an engine; repeating it is harmless.
type Order struct {
	// Fence is the lease's fencing number.
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// OrderResponse is the state of an engine against its order.
type OrderResponse struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Ready is false while a load or a role change runs.
	Ready bool `json:"ready"`
}

// Condition guards a transaction.
type Condition struct {
	Key string `json:"key"`
	// Version the row must have; 0 means that it must not exist.
	Version uint64 `json:"version"`
}

// Put writes a row, or deletes it.
type Put struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all puts if all conditions hold, else none.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts"`
}

// TransactionResult tells whether it was applied.
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
	// Prefix lists all rows under it, in key order, after After, at most Limit (default 1000).
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

// ReadResponse holds the rows asked for.
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

// HostList is the platform's lagging view of the entry hosts.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// WeightGrant allows one load from the weight store, or tells when to ask again.
type WeightGrant struct {
	Granted      bool `json:"granted"`
	RetryAfterMS int  `json:"retry_after_ms,omitempty"`
}

// Fault sets the faults of a stand-in; only fields that are set change.
type Fault struct {
	// Target names the stand-in: "table", "objects", "hosts", "weights" or an endpoint.
	Target string `json:"target"`
	// Down makes it refuse connections' requests with 503, or hang if Hang is set.
	Down *bool `json:"down,omitempty"`
	Hang *bool `json:"hang,omitempty"`
	// DelayMS is added to every reply.
	DelayMS *int `json:"delay_ms,omitempty"`
	// LoseReplies is the share of writes whose reply is cut after the effect, 0 to 1.
	LoseReplies *float64 `json:"lose_replies,omitempty"`
	// StaleReads is the share of reads answered from an earlier state, 0 to 1.
	StaleReads *float64 `json:"stale_reads,omitempty"`
	// Slow multiplies an engine's work times; 1 is normal.
	Slow *float64 `json:"slow,omitempty"`
	// StallTransfers makes imports hang.
	StallTransfers *bool `json:"stall_transfers,omitempty"`
	// Crash ends the engine's current incarnation: all state and streams are lost.
	Crash bool `json:"crash,omitempty"`
	// Leaving makes an endpoint say that it leaves.
	Leaving *bool `json:"leaving,omitempty"`
	// Hosts replaces the host list.
	Hosts []Host `json:"hosts,omitempty"`
}

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	// Code names the cause: one of the Error constants or of package verdict.
	Code string `json:"code"`
	// Message says what went wrong and where.
	Message string `json:"message"`
	// RetryAfterMS advises when to come back, in milliseconds; 0 is no advice.
	RetryAfterMS int `json:"retry_after_ms,omitempty"`
}

// The codes of an ErrorBody.
const (
	ErrorBadRequest  = "bad_request"     // the body or the path is not understood
	ErrorFull        = "overloaded"      // no free slot or queue place
	ErrorLeaving     = "leaving"         // the endpoint takes no new work
	ErrorUnavailable = "unavailable"     // down, loading, or over its rate
	ErrorRole        = "wrong_role"      // the engine has another role or model
	ErrorKVGone      = "kv_gone"         // the KV cache expired or was released
	ErrorCancelled   = "cancelled"       // the request was cancelled
	ErrorDuplicate   = "duplicate"       // the engine holds this request already
	ErrorUnknown     = "unknown_request" // the engine holds no such request
	ErrorOwner       = "other_owner"     // a later incarnation owns the request
	ErrorStaleFence  = "stale_fence"     // the order's fencing number is old
	ErrorNotFound    = "not_found"       // no such object
	ErrorTooLarge    = "too_large"       // the body is too large
	ErrorEndpoint    = "endpoint_failed" // the endpoint failed while it ran the call
)
