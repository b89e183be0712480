package gateway

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
)

// labelService is the label that puts an engine in its service's pool.
const labelService = "samphirequay/service"

// poolNames lists the pools: one for each service with engines.
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

// document is the schedulers' view of what is known: one pool for each service
// with engines, and the engines that are registered.
func document(routes *route.Table, entries []registry.Endpoint) *live.Document {
	doc := &live.Document{}
	if routes == nil {
		return doc
	}
	config := routes.Config()
	doc.Teams = teamWeights(config.Teams)
	for i := range config.Services {
		s := &config.Services[i]
		if s.Engine == nil {
			continue
		}
		doc.Services = append(doc.Services, live.Service{Name: s.Name, Type: live.ServiceModel, Pool: id.Pool(s.Name)})
		doc.Pools = append(doc.Pools, live.Pool{Name: id.Pool(s.Name), EndpointSelector: labelService + "=" + string(s.Name)})
	}
	for _, e := range entries {
		s := routes.Service(e.Service)
		if s == nil || s.Engine == nil || e.Role == "" {
			continue
		}
		doc.Endpoints = append(doc.Endpoints, engine(e, s))
	}
	return doc
}

// shareOut weighs the teams by their limits: what the operator grants each of them
// is also its part where there is too little for all. Where a team has no limit,
// or limits count different things, all weigh the same.
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

func engine(e registry.Endpoint, s *route.Service) live.Endpoint {
	labels := live.Labels{labelService: string(e.Service), live.LabelRole: string(e.Role)}
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
