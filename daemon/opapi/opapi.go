// Package opapi holds the JSON bodies and paths of the HTTP interface that
// daemons offer to callers and operators; the command line and the load tool
// use the same types.
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
	PathHealth      = "/healthz"        // GET: the process runs
	PathReady       = "/readyz"         // GET: it takes requests
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

// Headers towards callers.
const (
	// HeaderVerdict carries the verdict of an error.
	HeaderVerdict = "Samphirequay-Verdict"
	// HeaderRequest carries the id that explain takes.
	HeaderRequest = "Samphirequay-Request"
	// HeaderResent set to "true" says that the operator's request was sent
	// before, under the same change id, and may have been carried out.
	HeaderResent = "Samphirequay-Resent"
	// HeaderLastEventID resumes a stream behind the event it names.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderIdempotencyKey names a call that must not run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// EntryAddress is one address that a caller may use.
type EntryAddress struct {
	Address string    `json:"address"`
	Domain  id.Domain `json:"domain"`
	// Weight is the share of callers that should choose it.
	Weight int `json:"weight"`
}

// EntryAnswer tells a caller which addresses to use, best first.
type EntryAnswer struct {
	Addresses []EntryAddress `json:"addresses"`
	// LifetimeMS is how long the answer may be kept.
	LifetimeMS int `json:"lifetime_ms"`
}

// CompletionRequest is an OpenAI-style completion; unknown fields are ignored.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	User      string `json:"user,omitempty"`
	// Delivered is the answer's text that the caller already holds. It may be
	// sent with Last-Event-ID, so that the answer can go on when the engine
	// that wrote it is gone; the resume token proves it.
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

// Completion is a whole answer, or one event of a streamed one. A stream ends
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

// ErrorBody is the JSON body of every error, also of the SSE event "error".
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
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

// ModelList lists the model services a team may use.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Op is one step of a change: put or delete an item, or set labels on one.
type Op = revision.Op

// ChangeRequest asks for one change, wholly or not at all.
type ChangeRequest struct {
	// ID is chosen by the operator's client, so that a lost reply can be resolved.
	ID string `json:"id"`
	// Expect is the revision the change was made against; 0 accepts any.
	Expect uint64 `json:"expect,omitempty"`
	// Author is for the history.
	Author string `json:"author,omitempty"`
	Ops    []Op   `json:"ops"`
}

// ChangeAnswer tells the revision at which a change was accepted.
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

// HostStatus is one daemon as the answering daemon sees it.
type HostStatus struct {
	Daemon      id.Daemon      `json:"daemon"`
	Incarnation id.Incarnation `json:"incarnation"`
	Domain      id.Domain      `json:"domain"`
	// State is "alive", "suspect", "paused", "partitioned", "leaving" or "dead".
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	InFlight int    `json:"in_flight"`
}

// PoolStatus sums up a pool.
type PoolStatus struct {
	Pool    id.Pool   `json:"pool"`
	Owner   id.Daemon `json:"owner"`
	Prefill int       `json:"prefill"`
	Decode  int       `json:"decode"`
	Plain   int       `json:"plain"`
	Leaving int       `json:"leaving"`
	Ejected int       `json:"ejected"`
	// Unreachable counts the endpoints that did not answer when last asked.
	Unreachable int    `json:"unreachable"`
	Queued      int    `json:"queued"`
	Running     int    `json:"running"`
	Slots       int    `json:"slots"`
	Answered    uint64 `json:"answered"`
	Refused     uint64 `json:"refused"`
	// PrefillLoad and DecodeLoad are the utilisation of the roles, 0 (idle) to
	// 1 (full) and above when work waits.
	PrefillLoad float64 `json:"prefill_load"`
	DecodeLoad  float64 `json:"decode_load"`
}

// TeamStatus sums up a team on the answering daemon.
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

// Status is one screen about the fleet.
type Status struct {
	Daemon    id.Daemon     `json:"daemon"`
	Revision  uint64        `json:"revision"`
	StoreUp   bool          `json:"store_up"`
	Hosts     []HostStatus  `json:"hosts"`
	Pools     []PoolStatus  `json:"pools"`
	Teams     []TeamStatus  `json:"teams"`
	Leases    []LeaseStatus `json:"leases"`
	Violation uint64        `json:"invariant_violations"`
}

// Explanation lists the recorded decisions about one thing, oldest first.
type Explanation struct {
	Kind  string            `json:"kind"`
	ID    string            `json:"id"`
	Lines []ExplanationLine `json:"lines"`
}

// ExplanationLine is one decision.
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

// QuarantineList lists them.
type QuarantineList struct {
	Entries []QuarantineEntry `json:"entries"`
}
