package standin

import (
	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// LabelService is the label by which Document's pools select plain endpoints.
const LabelService = "samphirequay/service"

// Document returns the live configuration of a platform, without teams and at
// revision 0.
func Document(cfg PlatformConfig, addresses Addresses) live.Document {
	defaults.Set(&cfg.RateWithin, DefaultRateWithin)
	defaults.Set(&cfg.RateAcross, DefaultRateAcross)
	return live.Document{
		Services:  documentServices(cfg),
		Pools:     documentPools(cfg),
		Endpoints: documentEndpoints(cfg, addresses),
		Links:     documentLinks(cfg),
	}
}

// documentServices lists the services of a site. Each has a pool of the same
// name.
func documentServices(cfg PlatformConfig) []live.Service {
	var out []live.Service
	if cfg.ModelService != "" {
		out = append(out, live.Service{
			Name:        id.Service(cfg.ModelService),
			Type:        live.ServiceModel,
			Pool:        id.Pool(cfg.ModelService),
			WasteWeight: cfg.WasteWeight,
			PatienceMS:  cfg.PatienceMS,
		})
	}
	if cfg.PlainService != "" {
		out = append(out, live.Service{
			Name:       id.Service(cfg.PlainService),
			Type:       live.ServicePlain,
			Pool:       id.Pool(cfg.PlainService),
			PatienceMS: cfg.PlainPatienceMS,
		})
	}
	return out
}

// documentPools lists the pools of a site.
func documentPools(cfg PlatformConfig) []live.Pool {
	var out []live.Pool
	if cfg.ModelService != "" {
		out = append(out, live.Pool{
			Name:             id.Pool(cfg.ModelService),
			EndpointSelector: live.LabelModel + "=" + cfg.ModelService,
			Model:            cfg.ModelService,
			Version:          siteVersion,
		})
	}
	if cfg.PlainService != "" {
		out = append(out, live.Pool{
			Name:             id.Pool(cfg.PlainService),
			EndpointSelector: LabelService + "=" + cfg.PlainService,
		})
	}
	return out
}

// documentEndpoints lists the engines and plain endpoints of a site.
func documentEndpoints(cfg PlatformConfig, addresses Addresses) []live.Endpoint {
	addressOf := make(map[string]string, len(addresses.Endpoints))
	for _, e := range addresses.Endpoints {
		addressOf[e.Name] = e.Address
	}
	var out []live.Endpoint
	for _, e := range cfg.Engines {
		out = append(out, engineEndpoint(e.withDefaults(), addressOf[e.Name]))
	}
	for _, p := range cfg.Plains {
		out = append(out, plainEndpoint(p.withDefaults(), addressOf[p.Name]))
	}
	return out
}

// engineEndpoint returns the configuration entry of an engine.
func engineEndpoint(e EngineConfig, address string) live.Endpoint {
	return live.Endpoint{
		Name: id.Endpoint(e.Name),
		Labels: live.Labels{
			live.LabelRole:   e.Role,
			live.LabelModel:  e.Model,
			live.LabelDomain: e.Domain,
		},
		Address:                address,
		Domain:                 id.Domain(e.Domain),
		Slots:                  e.Slots,
		PrefillTokensPerSecond: e.PrefillTokensPerSecond,
		DecodeTokenMS:          e.DecodeTokenMS,
		ChecksFencing:          e.ChecksFencing,
	}
}

// plainEndpoint returns the configuration entry of a plain endpoint.
func plainEndpoint(p PlainConfig, address string) live.Endpoint {
	return live.Endpoint{
		Name: id.Endpoint(p.Name),
		Labels: live.Labels{
			live.LabelRole:   string(live.RolePlain),
			LabelService:     p.Service,
			live.LabelDomain: p.Domain,
		},
		Address: address,
		Domain:  id.Domain(p.Domain),
		Slots:   p.Slots,
	}
}

// documentLinks lists a link for each ordered pair of failure domains, including
// one within each domain.
func documentLinks(cfg PlatformConfig) []live.Link {
	var out []live.Link
	for _, from := range cfg.Domains {
		for _, to := range cfg.Domains {
			rate := cfg.RateAcross
			if from == to {
				rate = cfg.RateWithin
			}
			out = append(out, live.Link{Name: from + "." + to, From: id.Domain(from), To: id.Domain(to), BytesPerSecond: rate})
		}
	}
	return out
}
