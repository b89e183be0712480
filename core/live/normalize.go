package live

import (
	"maps"
	"slices"
)

// orDefault returns v, or def if v is the zero value.
func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Normalize returns a deep copy of doc with the defaults filled in.
func Normalize(doc *Document) *Document {
	out := Clone(doc)
	for i := range out.Teams {
		normalizeTeam(&out.Teams[i])
	}
	for i := range out.Services {
		normalizeService(&out.Services[i])
	}
	for i := range out.Pools {
		normalizePool(&out.Pools[i])
	}
	for i := range out.Endpoints {
		normalizeEndpoint(&out.Endpoints[i])
	}
	return out
}

// Clone returns a deep copy of doc.
func Clone(doc *Document) *Document {
	out := &Document{
		Revision:  doc.Revision,
		Teams:     slices.Clone(doc.Teams),
		Services:  slices.Clone(doc.Services),
		Pools:     slices.Clone(doc.Pools),
		Endpoints: slices.Clone(doc.Endpoints),
		Links:     slices.Clone(doc.Links),
	}
	for i := range out.Teams {
		out.Teams[i].Labels = maps.Clone(out.Teams[i].Labels)
		out.Teams[i].KeyHashes = slices.Clone(out.Teams[i].KeyHashes)
	}
	for i := range out.Services {
		out.Services[i].Labels = maps.Clone(out.Services[i].Labels)
	}
	for i := range out.Pools {
		out.Pools[i].Labels = maps.Clone(out.Pools[i].Labels)
	}
	for i := range out.Endpoints {
		out.Endpoints[i].Labels = maps.Clone(out.Endpoints[i].Labels)
	}
	return out
}

func normalizeTeam(t *Team) {
	t.Weight = orDefault(t.Weight, DefaultWeight)
	t.MaxInFlight = orDefault(t.MaxInFlight, DefaultMaxInFlight)
	t.MaxBodyBytes = orDefault(t.MaxBodyBytes, DefaultMaxBodyBytes)
	t.RetryPerSecond = orDefault(t.RetryPerSecond, DefaultRetryPerSecond)
	t.LimitBurst = orDefault(t.LimitBurst, t.LimitPerSecond)
	t.LimitPlainTokens = orDefault(t.LimitPlainTokens, DefaultLimitPlainTokens)
}

func normalizeService(s *Service) {
	s.FirstTokenTargetMS = orDefault(s.FirstTokenTargetMS, DefaultFirstTokenMS)
	s.TokenPaceTargetMS = orDefault(s.TokenPaceTargetMS, DefaultTokenPaceMS)
	s.PatienceMS = orDefault(s.PatienceMS, s.FirstTokenTargetMS)
	s.WasteWeight = orDefault(s.WasteWeight, DefaultWasteWeight)
	s.Priority = orDefault(s.Priority, DefaultPriority)
	s.TimeoutMS = orDefault(s.TimeoutMS, DefaultTimeoutMS)
}

func normalizePool(p *Pool) {
	if p.Model == "" {
		return
	}
	p.MinPrefill = orDefault(p.MinPrefill, 1)
	p.MinDecode = orDefault(p.MinDecode, 1)
}

func normalizeEndpoint(e *Endpoint) {
	e.Slots = orDefault(e.Slots, DefaultSlots)
	e.PrefillTokensPerSecond = orDefault(e.PrefillTokensPerSecond, DefaultPrefillPerSecond)
	e.DecodeTokenMS = orDefault(e.DecodeTokenMS, DefaultDecodeTokenMS)
}
