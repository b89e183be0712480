// Package opapi defines the paths, headers and JSON bodies of the HTTP
// interfaces for callers and operators. The daemons, the command line and the
// load tool share them.
package opapi

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Paths for callers.
const (
	PathEntry       = "/v1/entry"       // GET -> EntryAnswer; no key needed
	PathCompletions = "/v1/completions" // POST CompletionRequest
	PathModels      = "/v1/models"      // GET -> ModelList
	PathServices    = "/services/"      // any method: /services/{service}/{path}
	PathHealth      = "/healthz"        // GET: the process is running
	PathReady       = "/readyz"         // GET: the daemon accepts requests
)

// Paths for operators, on the operators' address.
const (
	PathChanges    = "/operator/v1/changes"    // POST ChangeRequest -> ChangeAnswer
	PathConfig     = "/operator/v1/config"     // GET ?revision= -> live.Document
	PathHistory    = "/operator/v1/history"    // GET ?after=&limit= -> History
	PathStatus     = "/operator/v1/status"     // GET -> Status
	PathExplain    = "/operator/v1/explain"    // GET ?kind=request|endpoint|placement|change&id= -> Explanation
	PathQuarantine = "/operator/v1/quarantine" // GET -> QuarantineList
	PathStop       = "/operator/v1/stop"       // POST: begin a planned stop of this daemon
)

// Headers of requests and responses.
const (
	// HeaderVerdict contains the verdict of an error.
	HeaderVerdict = "Samphirequay-Verdict"
	// HeaderRequest contains the request's id, by which explain finds it.
	HeaderRequest = "Samphirequay-Request"
	// HeaderResent is "true" if the operator's request was sent before, with the
	// same change id, and may have been carried out.
	HeaderResent = "Samphirequay-Resent"
	// HeaderLastEventID resumes a stream after the event with the given id.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderIdempotencyKey identifies a call that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// EntryAddress is an address that a caller may use.
type EntryAddress struct {
	Address string    `json:"address"`
	Domain  id.Domain `json:"domain"`
	// Weight is the relative share of callers that should use the address.
	Weight int `json:"weight"`
}

// EntryAnswer lists the addresses that a caller may use, best first.
type EntryAnswer struct {
	Addresses []EntryAddress `json:"addresses"`
	// LifetimeMS is how long the answer may be cached, in milliseconds.
	LifetimeMS int `json:"lifetime_ms"`
}

// CompletionRequest is an OpenAI-style completion request; unknown fields are
// ignored.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	User      string `json:"user,omitempty"`
	// Delivered is the part of the answer's text that the caller has received.
	// It may be sent with Last-Event-ID, so that the answer can continue after
	// the engine that generated it is lost; the resume token proves it.
	Delivered string `json:"delivered,omitempty"`
}

// Choice is one choice of a completion.
type Choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Completion is a whole answer, or one event of a streamed answer. A stream ends
// with the data line "[DONE]". Each event's SSE id is a resume token for
// Last-Event-ID.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ErrorBody is the JSON body of every error response and of the SSE event
// "error".
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message      string       `json:"message"`
	Type         string       `json:"type"`
	Code         verdict.Code `json:"code"`
	Verdict      string       `json:"verdict"`
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	Request      string       `json:"request,omitempty"`
}

// Model is one entry of ModelList.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// ModelList lists the model services that a team may use.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Op is one step of a change: put or delete an item, or set labels on one.
type Op = revision.Op

// ChangeRequest requests a change, which is applied completely or not at all.
type ChangeRequest struct {
	// ID is chosen by the operator's client, so that the client can send the
	// request again after a lost reply.
	ID string `json:"id"`
	// Expect is the revision that the change was made against; 0 accepts any.
	Expect uint64 `json:"expect,omitempty"`
	// Author is recorded in the history.
	Author string `json:"author,omitempty"`
	Ops    []Op   `json:"ops"`
}

// ChangeAnswer reports the revision at which a change was accepted.
type ChangeAnswer struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Ops      []Op      `json:"ops"`
}

// History lists accepted changes, oldest first.
type History struct {
	Entries []HistoryEntry `json:"entries"`
}

// DaemonStatus is the status of one daemon as observed by the answering daemon.
type DaemonStatus struct {
	Daemon      id.Daemon      `json:"daemon"`
	Incarnation id.Incarnation `json:"incarnation"`
	Domain      id.Domain      `json:"domain"`
	// State is "alive", "suspect", "paused", "partitioned", "leaving" or "dead".
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	InFlight int    `json:"in_flight"`
}

// PoolStatus summarizes a pool.
type PoolStatus struct {
	Pool    id.Pool   `json:"pool"`
	Owner   id.Daemon `json:"owner"`
	Prefill int       `json:"prefill"`
	Decode  int       `json:"decode"`
	Plain   int       `json:"plain"`
	Leaving int       `json:"leaving"`
	Ejected int       `json:"ejected"`
	// Unreachable counts the endpoints whose latest load query failed.
	Unreachable int    `json:"unreachable"`
	Queued      int    `json:"queued"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
	Answered    uint64 `json:"answered"`
	Refused     uint64 `json:"refused"`
	// PrefillLoad and DecodeLoad are the utilisation of the roles, from 0 (idle)
	// to 1 (full), and above 1 if work is waiting.
	PrefillLoad float64 `json:"prefill_load"`
	DecodeLoad  float64 `json:"decode_load"`
}

// TeamStatus summarizes a team's requests on the answering daemon.
type TeamStatus struct {
	Team     id.Team `json:"team"`
	InFlight int     `json:"in_flight"`
	Answered uint64  `json:"answered"`
	Refused  uint64  `json:"refused"`
}

// LeaseStatus is one lease.
type LeaseStatus struct {
	Duty   string    `json:"duty"`
	Holder id.Daemon `json:"holder"`
	Fence  uint64    `json:"fence"`
}

// Status summarizes the fleet, as observed by the answering daemon.
type Status struct {
	Daemon     id.Daemon      `json:"daemon"`
	Revision   uint64         `json:"revision"`
	StoreUp    bool           `json:"store_up"`
	Hosts      []DaemonStatus `json:"hosts"`
	Pools      []PoolStatus   `json:"pools"`
	Teams      []TeamStatus   `json:"teams"`
	Leases     []LeaseStatus  `json:"leases"`
	Violations uint64         `json:"invariant_violations"`
}

// Explanation lists the recorded decisions about one object, oldest first.
type Explanation struct {
	Kind  string            `json:"kind"`
	ID    string            `json:"id"`
	Lines []ExplanationLine `json:"lines"`
}

// ExplanationLine is one recorded decision.
type ExplanationLine struct {
	At     time.Time `json:"at"`
	Daemon id.Daemon `json:"daemon"`
	Event  string    `json:"event"`
	Text   string    `json:"text"`
}

// QuarantineEntry is one quarantined fingerprint.
type QuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"`
	Team        id.Team   `json:"team"`
	Crashes     int       `json:"crashes"`
	ExpiresInMS int64     `json:"expires_in_ms"`
	Daemon      id.Daemon `json:"daemon"`
}

// QuarantineList lists the quarantined fingerprints.
type QuarantineList struct {
	Entries []QuarantineEntry `json:"entries"`
}
