package gateway

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
)

// labelService is the label by which a service's pool selects its engines.
const labelService = "samphirequay/service"

// poolNames returns the names of the pools: one pool for each service that runs
// on engines.
func poolNames(routes *route.Table) []id.Pool {
	if routes == nil {
		return nil
	}
	var names []id.Pool
	for _, s := range routes.Config().Services {
		if s.Engine != nil {
			names = append(names, id.Pool(s.Name))
		}
	}
	return names
}

// callPoolNames returns the names of the pools of plain services, if their calls are queued.
func callPoolNames(routes *route.Table, callQueue bool) []id.Pool {
	if routes == nil || !callQueue {
		return nil
	}
	var names []id.Pool
	for _, s := range routes.Config().Services {
		if s.Engine == nil {
			names = append(names, id.Pool(s.Name))
		}
	}
	return names
}

// document builds the configuration of the schedulers: one pool for each service
// that runs on engines and, if calls are queued, for each plain one, and the registered
// endpoints.
func document(routes *route.Table, entries []registry.Endpoint, callQueue bool) *live.Document {
	doc := &live.Document{}
	if routes == nil {
		return doc
	}
	config := routes.Config()
	doc.Teams = teamWeights(config.Teams)
	for i := range config.Services {
		s := &config.Services[i]
		if s.Engine == nil && !callQueue {
			continue
		}
		kind := live.ServiceModel
		if s.Engine == nil {
			kind = live.ServicePlain
		}
		doc.Services = append(doc.Services, live.Service{Name: s.Name, Type: kind, Pool: id.Pool(s.Name)})
		doc.Pools = append(doc.Pools, live.Pool{Name: id.Pool(s.Name), EndpointSelector: labelService + "=" + string(s.Name)})
	}
	for _, e := range entries {
		s := routes.Service(e.Service)
		switch {
		case s == nil || (s.Engine == nil) != (e.Role == ""):
		case s.Engine != nil:
			doc.Endpoints = append(doc.Endpoints, engine(e, s))
		case callQueue:
			doc.Endpoints = append(doc.Endpoints, plainEndpoint(e))
		}
	}
	return doc
}

// teamWeights derives the teams' scheduling weights from their rate limits, so that
// under contention each team gets a share in proportion to its limit. If a team has
// no limit, or the limits count different units, all teams have the same weight.
func teamWeights(teams []route.Team) []live.Team {
	out := make([]live.Team, len(teams))
	alike := true
	for i, t := range teams {
		out[i] = live.Team{Name: t.Name, Weight: t.Limit.Rate}
		alike = alike && t.Limit.Limited() && t.Limit.ByTokens == teams[0].Limit.ByTokens
	}
	if alike {
		return out
	}
	for i := range out {
		out[i].Weight = 1
	}
	return out
}

// plainEndpoint returns an endpoint of a plain service. One that states no slots runs one call
// at a time, as far as is known.
func plainEndpoint(e registry.Endpoint) live.Endpoint {
	labels := live.Labels{labelService: string(e.Service), live.LabelRole: string(live.RolePlain)}
	if e.Leaving {
		labels[live.LabelLeaving] = "true"
	}
	return live.Endpoint{Name: e.Name, Labels: labels, Address: e.Address, Domain: e.Domain, Slots: max(1, e.Slots)}
}

func engine(e registry.Endpoint, s *route.Service) live.Endpoint {
	labels := live.Labels{labelService: string(e.Service), live.LabelRole: string(e.Role)}
	if e.Software != "" {
		labels[live.LabelSoftware] = string(e.Software)
	}
	if e.Leaving {
		labels[live.LabelLeaving] = "true"
	}
	slots := e.Slots
	if slots <= 0 {
		slots = s.Engine.Slots
	}
	return live.Endpoint{
		Name:     e.Name,
		Labels:   labels,
		Address:  e.Address,
		Domain:   e.Domain,
		Slots:    slots,
		KVTokens: s.Engine.KVTokens,
	}
}
