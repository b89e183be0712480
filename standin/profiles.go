package standin

import (
	"fmt"
	"time"
)

// The sizes and the settings of the two sites.
const (
	siteEngineCount      = 18
	sitePrefillCount     = 9
	sitePlainCount       = 4
	siteVersion          = "1"
	bunkerWasteWeight    = 0.2
	companeroWasteWeight = 0.8
	// companeroPatienceMS is the patience for match notes, which tolerate a short
	// wait.
	companeroPatienceMS = 1000
)

// Bunker returns the configuration of the site of the Caspian Bunker Suppliers
// Association: goodput weighs more than wasted prefill.
func Bunker() PlatformConfig {
	cfg := site("bunker", "document-summariser", "order-desk", []string{"aktau-port", "kuryk", "bautino", "aktau-city"})
	cfg.WasteWeight = bunkerWasteWeight
	cfg.Seed = 1
	return cfg
}

// Companeros returns the configuration of the site of Compañeros de Ruta Xelajú:
// wasted prefill weighs more than goodput.
func Companeros() PlatformConfig {
	cfg := site("companeros", "matching-model", "mobile-endpoint", []string{"quetzal-norte", "xela-sur", "toto-centro", "atitlan-sala"})
	cfg.WasteWeight = companeroWasteWeight
	cfg.PatienceMS = companeroPatienceMS
	cfg.Seed = 2
	return cfg
}

// site returns the configuration of a site: engines and plain endpoints are
// spread over the failure domains, half of the engines have each role, and every
// other engine checks fencing numbers.
func site(name, model, service string, domains []string) PlatformConfig {
	cfg := PlatformConfig{Name: name, Domains: domains, ModelService: model, PlainService: service}
	for i := range siteEngineCount {
		cfg.Engines = append(cfg.Engines, siteEngine(model, i, domains[i%len(domains)]))
	}
	for i := range sitePlainCount {
		cfg.Plains = append(cfg.Plains, PlainConfig{
			Name:     fmt.Sprintf("%s-%02d", service, i+1),
			Domain:   domains[i%len(domains)],
			Service:  service,
			Slots:    16,
			WorkTime: 15 * time.Millisecond,
		})
	}
	return cfg
}

// siteEngine returns the configuration of engine i, counted from 0, of a site.
func siteEngine(model string, i int, domain string) EngineConfig {
	role := RolePrefill
	if i >= sitePrefillCount {
		role = RoleDecode
	}
	return EngineConfig{
		Name:                   fmt.Sprintf("%s-%02d", model, i+1),
		Domain:                 domain,
		Model:                  model,
		Version:                siteVersion,
		Role:                   role,
		Slots:                  DefaultSlots,
		PrefillTokensPerSecond: DefaultPrefillTokensPerSecond,
		DecodeTokenMS:          DefaultDecodeTokenMS,
		KVBytesPerToken:        DefaultKVBytesPerToken,
		ChecksFencing:          i%2 == 0,
	}
}
