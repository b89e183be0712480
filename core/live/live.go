// Package live defines the live configuration, which operators change while the
// daemons run. It is a set of named items with labels. Package revision orders and
// distributes its changes.
package live

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/quota"
)

// Kind is the kind of an item.
type Kind string

// The kinds of items.
const (
	KindTeam     Kind = "team"
	KindService  Kind = "service"
	KindPool     Kind = "pool"
	KindEndpoint Kind = "endpoint"
	KindLink     Kind = "link"
)

// Labels are the key-value pairs that selectors match. Selectors use the syntax of
// k8s.io/apimachinery/pkg/labels.
type Labels map[string]string

// Well-known labels, by which operators control the system.
const (
	// LabelSoftware is the version of an engine's software. A stream stays at the version
	// that began it.
	LabelSoftware = "samphirequay/software"
	// LabelLeaving set to "true" on an endpoint drains it.
	LabelLeaving = "samphirequay/leaving"
	// LabelRole is the role of an endpoint: "prefill", "decode" or "plain".
	LabelRole = "samphirequay/role"
	// LabelModel is the model an endpoint should serve.
	LabelModel = "samphirequay/model"
	// LabelVersion and LabelAdapter are the version and the adapter of the model
	// that an endpoint should serve. On a pool they apply to all its endpoints
	// and take precedence over the pool's own fields.
	LabelVersion = "samphirequay/version"
	LabelAdapter = "samphirequay/adapter"
	// LabelDomain is the failure domain of an endpoint.
	LabelDomain = "samphirequay/domain"
	// LabelLiftQuarantine on a service is the fingerprint of a request whose
	// quarantine operators lift; "all" lifts every quarantine.
	LabelLiftQuarantine = "samphirequay/lift-quarantine"
)

// Role is the role of an endpoint.
type Role string

// The roles of endpoints.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
	// RoleWhole is the role of engines that run both prefill and decode.
	RoleWhole Role = "whole"
)

// Team is a party that sends requests; teams do not trust each other.
type Team struct {
	// Name of the team, unique.
	Name id.Team `json:"name"`
	// Labels of the team; a service's team selector matches them.
	Labels Labels `json:"labels,omitempty"`
	// KeyHashes are SHA-256 hashes, in hex, of the team's bearer keys. The
	// keys themselves are never stored.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the team's share of capacity relative to other teams under
	// contention. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// MaxInFlight bounds the team's concurrent requests over all daemons.
	// Default 256.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// MaxBodyBytes bounds the body of one request, in bytes. Default 1 MiB.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// RetryPerSecond bounds the retries that the system makes for the team.
	// Default 5 a second.
	RetryPerSecond float64 `json:"retry_per_second,omitempty"`
	// LimitPerSecond is the team's rate limit over all daemons, in requests per
	// second, or in tokens per second if LimitByTokens is set. Default: no limit.
	LimitPerSecond float64 `json:"limit_per_second,omitempty"`
	// LimitBurst is the burst size of the rate limit, in the same units. Default:
	// the value of LimitPerSecond.
	LimitBurst float64 `json:"limit_burst,omitempty"`
	// LimitByTokens counts a completion as the tokens of its prompt plus its
	// maximum output tokens, and a plain call as LimitPlainTokens.
	LimitByTokens bool `json:"limit_by_tokens,omitempty"`
	// LimitPlainTokens is the number of tokens that a plain call counts as.
	// Default 200.
	LimitPlainTokens float64 `json:"limit_plain_tokens,omitempty"`
}

// Limit returns the team's rate limit over all daemons.
func (t *Team) Limit() quota.Limit {
	return quota.Limit{
		Rate: t.LimitPerSecond, Burst: t.LimitBurst, ByTokens: t.LimitByTokens, PlainTokens: t.LimitPlainTokens,
	}
}

// ServiceType is the type of a service: model or plain.
type ServiceType string

// The types of services.
const (
	ServiceModel ServiceType = "model"
	ServicePlain ServiceType = "plain"
)

// Service is the target that callers name in a request.
type Service struct {
	// Name of the service; a model service's name is the "model" of a completion.
	Name id.Service `json:"name"`
	// Labels of the service.
	Labels Labels `json:"labels,omitempty"`
	// Type is "model" or "plain".
	Type ServiceType `json:"type"`
	// Pool whose endpoints serve the service.
	Pool id.Pool `json:"pool"`
	// TeamSelector selects, by labels, the teams that may use the service.
	// Default: every team.
	TeamSelector string `json:"team_selector,omitempty"`
	// FirstTokenTargetMS is the target for the time to first token, in
	// milliseconds. Default 360.
	FirstTokenTargetMS int `json:"first_token_target_ms,omitempty"`
	// TokenPaceTargetMS is the target for the time between tokens, in
	// milliseconds. Default 50.
	TokenPaceTargetMS int `json:"token_pace_target_ms,omitempty"`
	// PatienceMS is how long a request may wait for its first token before it is
	// refused, in milliseconds. Default: the first-token target.
	PatienceMS int `json:"patience_ms,omitempty"`
	// WasteWeight weighs wasted prefill work against goodput, from 0 to 1: 0
	// starts prefills early and accepts waste, 1 delays them until waste is
	// unlikely. Default 0.5.
	WasteWeight float64 `json:"waste_weight,omitempty"`
	// Priority of the service's requests, 0 (lowest) to 9. Default 5.
	Priority int `json:"priority,omitempty"`
	// NonIdempotent marks every call of a plain service as not idempotent; the
	// header Idempotency-Key does so for a single call.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// TimeoutMS bounds the duration of a whole call, in milliseconds. Default 30000.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}

// Pool is a set of endpoints selected by labels.
type Pool struct {
	// Name of the pool, unique.
	Name id.Pool `json:"name"`
	// Labels of the pool.
	Labels Labels `json:"labels,omitempty"`
	// EndpointSelector selects the endpoints by their labels.
	EndpointSelector string `json:"endpoint_selector"`
	// Model, Adapter and Version that placement keeps loaded on the pool's
	// endpoints. Empty for plain pools.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// MinPrefill and MinDecode are the minimum numbers of warm endpoints of each
	// role. Default 1.
	MinPrefill int `json:"min_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
	// FixedRoles prevents placement from changing roles. Default false.
	FixedRoles bool `json:"fixed_roles,omitempty"`
}

// Endpoint is one engine or plain server.
type Endpoint struct {
	// Name of the endpoint, unique.
	Name id.Endpoint `json:"name"`
	// Labels of the endpoint; LabelRole, LabelDomain and LabelModel control the
	// system.
	Labels Labels `json:"labels"`
	// Address is host:port with an IP address as the host.
	Address string `json:"address"`
	// Domain is the failure domain of the endpoint.
	Domain id.Domain `json:"domain"`
	// Slots is the maximum number of concurrent requests of a decode engine, or
	// of concurrent calls of a plain endpoint. Default 4.
	Slots int `json:"slots,omitempty"`
	// KVTokens is the capacity of an engine's KV cache, in tokens. Default 0:
	// unknown, so that only Slots limits the engine's requests.
	KVTokens int `json:"kv_tokens,omitempty"`
	// PrefillTokensPerSecond is the initial estimate of an engine's prefill
	// rate; the engine's reports refine it. Default 20000.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty"`
	// DecodeTokenMS is the initial estimate of the time for one output token, in
	// milliseconds. Default 20.
	DecodeTokenMS float64 `json:"decode_token_ms,omitempty"`
	// ChecksFencing is set if the endpoint rejects orders with an old fencing
	// number. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Link is a rate-limited path from one failure domain to another, or within one if
// From and To are the same. If several match, the last one listed applies.
type Link struct {
	// Name of the link, unique.
	Name string `json:"name"`
	// From and To are failure domains.
	From id.Domain `json:"from"`
	To   id.Domain `json:"to"`
	// BytesPerSecond is the total rate of all transfers on the link.
	BytesPerSecond float64 `json:"bytes_per_second"`
}

// Document is the whole live configuration at one revision. It is immutable: a new
// revision is a new Document.
type Document struct {
	// Revision is the number of accepted changes; 0 is the empty configuration.
	Revision  uint64     `json:"revision"`
	Teams     []Team     `json:"teams"`
	Services  []Service  `json:"services"`
	Pools     []Pool     `json:"pools"`
	Endpoints []Endpoint `json:"endpoints"`
	Links     []Link     `json:"links"`
}

// Defaults of the live configuration, in the units that the field names state.
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

// FirstTokenTarget returns the target for the time to first token.
func (s *Service) FirstTokenTarget() time.Duration {
	return time.Duration(s.FirstTokenTargetMS) * time.Millisecond
}

// TokenPaceTarget returns the target for the time between tokens.
func (s *Service) TokenPaceTarget() time.Duration {
	return time.Duration(s.TokenPaceTargetMS) * time.Millisecond
}

// Patience returns how long a request may wait for its first token.
func (s *Service) Patience() time.Duration {
	return time.Duration(s.PatienceMS) * time.Millisecond
}

// Timeout returns the maximum duration of a whole call.
func (s *Service) Timeout() time.Duration {
	return time.Duration(s.TimeoutMS) * time.Millisecond
}
