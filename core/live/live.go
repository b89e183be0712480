// Package live holds the live configuration: what operators change while the
// daemons run. It is a set of named items with labels; see package revision
// for how changes are ordered and spread.
package live

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

// Kind names the kind of an item.
type Kind string

// The kinds of items.
const (
	KindTeam     Kind = "team"
	KindService  Kind = "service"
	KindPool     Kind = "pool"
	KindEndpoint Kind = "endpoint"
	KindLink     Kind = "link"
)

// Labels are the key and value pairs that selectors match, in the grammar of
// k8s.io/apimachinery/pkg/labels.
type Labels map[string]string

// Well-known labels. Operators steer by them.
const (
	// LabelLeaving set to "true" on an endpoint drains it.
	LabelLeaving = "samphirequay/leaving"
	// LabelRole is the role of an endpoint: "prefill", "decode" or "plain".
	LabelRole = "samphirequay/role"
	// LabelModel is the model an endpoint should serve.
	LabelModel = "samphirequay/model"
	// LabelVersion and LabelAdapter are the version and the adapter of the model
	// that an endpoint should serve. On a pool they stand for all its endpoints,
	// and go before its own fields.
	LabelVersion = "samphirequay/version"
	LabelAdapter = "samphirequay/adapter"
	// LabelDomain is the failure domain of an endpoint.
	LabelDomain = "samphirequay/domain"
	// LabelLiftQuarantine on a service holds the fingerprint of a quarantined
	// request that operators set free; "all" frees every one.
	LabelLiftQuarantine = "samphirequay/lift-quarantine"
)

// Role is what an endpoint does.
type Role string

// The roles of endpoints.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
	// RoleWhole engines read prompts and write answers.
	RoleWhole Role = "whole"
)

// Team is a party that sends requests and trusts no other team.
type Team struct {
	// Name of the team, unique.
	Name id.Team `json:"name"`
	// Labels that a service's team selector matches.
	Labels Labels `json:"labels,omitempty"`
	// KeyHashes are SHA-256 hashes, in hex, of the team's bearer keys. The
	// keys themselves are never stored.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the team's share against others under contention. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxInFlight bounds the team's requests in the system at once, over all
	// daemons. Default 256.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxBodyBytes bounds the body of one request, in bytes. Default 1 MiB.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// RetryPerSecond bounds the retries that the system makes for the team.
	// Default 5 a second.
	RetryPerSecond float64 `json:"retry_per_second,omitempty"`
	// LimitPerSecond is how many units the team may have run in a second, over all
	// daemons together: requests, or tokens where LimitByTokens is set. Default: no
	// limit.
	LimitPerSecond float64 `json:"limit_per_second,omitempty"`
	// LimitBurst is how many units may come at once beyond that. Default: as many
	// as LimitPerSecond.
	LimitBurst float64 `json:"limit_burst,omitempty"`
	// LimitByTokens counts a completion as the tokens of its prompt and the most of
	// its answer, and a plain call as LimitPlainTokens.
	LimitByTokens bool `json:"limit_by_tokens,omitempty"`
	// LimitPlainTokens is what a plain call counts. Default 200.
	LimitPlainTokens float64 `json:"limit_plain_tokens,omitempty"`
}

// Limit is the team's limit over all daemons.
func (t *Team) Limit() quota.Limit {
	return quota.Limit{
		Rate: t.LimitPerSecond, Burst: t.LimitBurst, ByTokens: t.LimitByTokens, PlainTokens: t.LimitPlainTokens,
	}
}

// ServiceType tells a model service from a plain one.
type ServiceType string

// The types of services.
const (
	ServiceModel ServiceType = "model"
	ServicePlain ServiceType = "plain"
)

// Service is what callers name in a request.
type Service struct {
	// Name of the service; a model service's name is the "model" of a completion.
	Name id.Service `json:"name"`
	// Labels of the service.
	Labels Labels `json:"labels,omitempty"`
	// Type is "model" or "plain".
	Type ServiceType `json:"type"`
	// Pool whose endpoints serve it.
	Pool id.Pool `json:"pool"`
	// TeamSelector chooses the teams that may use it, by their labels.
	// Default: every team.
	TeamSelector string `json:"team_selector,omitempty"`
	// FirstTokenTarget is the target for the first output, in milliseconds. Default 360.
	FirstTokenTargetMS int `json:"first_token_target_ms,omitempty"`
	// TokenPaceTarget is the target between outputs, in milliseconds. Default 50.
	TokenPaceTargetMS int `json:"token_pace_target_ms,omitempty"`
	// PatienceMS is how long a request may wait for its first output before it
	// is refused, in milliseconds. Default: the first-token target.
	PatienceMS int `json:"patience_ms,omitempty"`
	// WasteWeight weighs wasted prefill against goodput, 0 to 1: 0 starts work
	// early and accepts waste, 1 waits until waste is unlikely. Default 0.5.
	WasteWeight float64 `json:"waste_weight,omitempty"`
	// Priority of its requests, 0 (lowest) to 9. Default 5.
	Priority int `json:"priority,omitempty"`
	// NonIdempotent marks every call of a plain service as not repeatable; a
	// call can also say so itself by the Idempotency-Key header.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// TimeoutMS bounds a whole call, in milliseconds. Default 30000.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// Pool is a set of endpoints chosen by labels.
type Pool struct {
	// Name of the pool, unique.
	Name id.Pool `json:"name"`
	// Labels of the pool.
	Labels Labels `json:"labels,omitempty"`
	// EndpointSelector chooses the endpoints, by their labels.
	EndpointSelector string `json:"endpoint_selector"`
	// Model, Adapter and Version that placement keeps loaded on the pool's
	// endpoints. Empty for plain pools.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// MinPrefill and MinDecode are the least warm endpoints of each role. Default 1.
	MinPrefill int `json:"min_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
	// FixedRoles keeps placement from changing roles. Default false.
	FixedRoles bool `json:"fixed_roles,omitempty"`
}

// Endpoint is one engine or plain server.
type Endpoint struct {
	// Name of the endpoint, unique.
	Name id.Endpoint `json:"name"`
	// Labels; LabelRole, LabelDomain and LabelModel steer the system.
	Labels Labels `json:"labels"`
	// Address is host:port, by IP number.
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain id.Domain `json:"domain"`
	// Slots is how many requests a decode engine holds at once, or how many
	// calls a plain endpoint takes at once. Default 4.
	Slots int `json:"slots,omitempty"`
	// KVTokens is an engine's memory for KV cache, in tokens. Default 0: not
	// known, slots alone bound what it holds.
	KVTokens int `json:"kv_tokens,omitempty"`
	// PrefillTokensPerSecond is the first estimate of an engine's prefill
	// rate; reports correct it. Default 20000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// DecodeTokenMS is the first estimate of the time for one output token, in
	// milliseconds. Default 20.
	DecodeTokenMS float64 `json:"decode_token_ms,omitempty"`
	// ChecksFencing says that the endpoint refuses orders with an old fencing
	// number. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Link is a rate-limited path between failure domains; within a domain From
// and To are the same. The last listed one that fits applies.
type Link struct {
	// Name of the link, unique.
	Name string `json:"name"`
	// From and To are failure domains.
	From id.Domain `json:"from"`
	To   id.Domain `json:"to"`
	// BytesPerSecond is the rate shared by all transfers.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Document is the whole live configuration at one revision. It is never
// changed after it was built: a new revision is a new Document.
type Document struct {
	// Revision counts accepted changes; 0 is the empty configuration.
	Revision  uint64     `json:"revision"`
	Teams     []Team     `json:"teams"`
	Services  []Service  `json:"services"`
	Pools     []Pool     `json:"pools"`
	Endpoints []Endpoint `json:"endpoints"`
	Links     []Link     `json:"links"`
}

// Defaults of the live configuration; units are in the names of the fields.
const (
	DefaultWeight           = 1.0
	DefaultMaxInFlight      = 256
	DefaultMaxBodyBytes     = 1 << 20
	DefaultRetryPerSecond   = 5.0
	DefaultLimitPlainTokens = 200.0
	DefaultFirstTokenMS     = 360
	DefaultTokenPaceMS      = 50
	DefaultWasteWeight      = 0.5
	DefaultPriority         = 5
	DefaultTimeoutMS        = 30000
	DefaultSlots            = 4
	DefaultPrefillPerSecond = 20000.0
	DefaultDecodeTokenMS    = 20.0
)

// FirstTokenTarget returns the first-token target.
func (s *Service) FirstTokenTarget() time.Duration {
	return time.Duration(s.FirstTokenTargetMS) * time.Millisecond
}

// TokenPaceTarget returns the target between tokens.
func (s *Service) TokenPaceTarget() time.Duration {
	return time.Duration(s.TokenPaceTargetMS) * time.Millisecond
}

// Patience returns how long a request may wait for its first output.
func (s *Service) Patience() time.Duration {
	return time.Duration(s.PatienceMS) * time.Millisecond
}

// Timeout returns the bound on a whole call.
func (s *Service) Timeout() time.Duration {
	return time.Duration(s.TimeoutMS) * time.Millisecond
}
