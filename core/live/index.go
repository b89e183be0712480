package live

import (
	"slices"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/samphirequay/samphirequay/core/apikey"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Index is an immutable index of one Document. It is safe for concurrent use.
type Index struct {
	doc           *Document
	keys          *apikey.Ring[*Team]
	teams         map[id.Team]*Team
	services      map[id.Service]serviceRule
	pools         map[id.Pool]*Pool
	endpoints     map[id.Endpoint]*Endpoint
	poolEndpoints map[id.Pool][]*Endpoint
	links         map[linkKey]*Link
}

type serviceRule struct {
	service *Service
	teams   labels.Selector
}

type linkKey struct{ from, to id.Domain }

// HashKey returns the hash of a bearer key in the form used in Team.KeyHashes.
func HashKey(key string) string { return apikey.Of([]byte(key)).String() }

// NewIndex builds the index of a normalized document without faults. A selector
// that can't be parsed matches nothing.
func NewIndex(doc *Document) *Index {
	x := &Index{
		doc:           doc,
		keys:          apikey.NewRing[*Team](),
		teams:         map[id.Team]*Team{},
		services:      map[id.Service]serviceRule{},
		pools:         map[id.Pool]*Pool{},
		endpoints:     map[id.Endpoint]*Endpoint{},
		poolEndpoints: map[id.Pool][]*Endpoint{},
		links:         map[linkKey]*Link{},
	}
	x.addTeams()
	x.addServices()
	x.addEndpoints()
	x.addPools()
	for i := range doc.Links {
		l := &doc.Links[i]
		x.links[linkKey{l.From, l.To}] = l
	}
	return x
}

func (x *Index) addTeams() {
	for i := range x.doc.Teams {
		t := &x.doc.Teams[i]
		x.teams[t.Name] = t
		for _, text := range t.KeyHashes {
			if h, err := apikey.Parse(text); err == nil {
				// Keys are unique in a document without faults.
				_ = x.keys.Add(h, t)
			}
		}
	}
}

func (x *Index) addServices() {
	for i := range x.doc.Services {
		s := &x.doc.Services[i]
		x.services[s.Name] = serviceRule{service: s, teams: parseSelector(s.TeamSelector)}
	}
}

func (x *Index) addEndpoints() {
	for i := range x.doc.Endpoints {
		e := &x.doc.Endpoints[i]
		x.endpoints[e.Name] = e
	}
}

func (x *Index) addPools() {
	sets := make([]labels.Set, len(x.doc.Endpoints))
	for i := range x.doc.Endpoints {
		sets[i] = EndpointLabels(&x.doc.Endpoints[i])
	}
	for i := range x.doc.Pools {
		p := &x.doc.Pools[i]
		x.pools[p.Name] = p
		selector := parseSelector(p.EndpointSelector)
		var found []*Endpoint
		for j := range x.doc.Endpoints {
			if selector.Matches(sets[j]) {
				found = append(found, &x.doc.Endpoints[j])
			}
		}
		slices.SortFunc(found, func(a, b *Endpoint) int { return strings.Compare(string(a.Name), string(b.Name)) })
		x.poolEndpoints[p.Name] = found
	}
}

func parseSelector(text string) labels.Selector {
	s, err := labels.Parse(text)
	if err != nil {
		return labels.Nothing()
	}
	return s
}

// EndpointLabels returns the labels that selectors match for an endpoint: its own
// labels, and LabelDomain set to its failure domain unless it has that label itself.
func EndpointLabels(e *Endpoint) labels.Set {
	set := make(labels.Set, len(e.Labels)+1)
	set[LabelDomain] = string(e.Domain)
	for k, v := range e.Labels {
		set[k] = v
	}
	return set
}

// Document returns the indexed document.
func (x *Index) Document() *Document { return x.doc }

// TeamByKey returns the team that a presented bearer key belongs to.
func (x *Index) TeamByKey(key string) (*Team, bool) { return x.keys.Owner(apikey.Of([]byte(key))) }

// Team returns a team by name.
func (x *Index) Team(name id.Team) (*Team, bool) {
	t, ok := x.teams[name]
	return t, ok
}

// ServiceFor returns the service that team requests by name. The error is the same
// for a service that does not exist and for one that the team may not use, so that
// it discloses nothing about other teams.
func (x *Index) ServiceFor(team *Team, name id.Service) (*Service, *verdict.Error) {
	rule, ok := x.services[name]
	if !ok || !rule.teams.Matches(labels.Set(team.Labels)) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "there is no service of that name for this team")
	}
	return rule.service, nil
}

// ServicesFor lists the services that team may use, in the document's order.
func (x *Index) ServicesFor(team *Team) []*Service {
	var out []*Service
	for i := range x.doc.Services {
		if s, err := x.ServiceFor(team, x.doc.Services[i].Name); err == nil {
			out = append(out, s)
		}
	}
	return out
}

// Service returns a service by name without a check of the team, for operators and
// duties.
func (x *Index) Service(name id.Service) (*Service, bool) {
	rule, ok := x.services[name]
	return rule.service, ok
}

// Pool returns a pool by name.
func (x *Index) Pool(name id.Pool) (*Pool, bool) {
	p, ok := x.pools[name]
	return p, ok
}

// Endpoint returns an endpoint by name.
func (x *Index) Endpoint(name id.Endpoint) (*Endpoint, bool) {
	e, ok := x.endpoints[name]
	return e, ok
}

// Endpoints returns the endpoints of a pool, sorted by name. The caller must not
// modify the slice.
func (x *Index) Endpoints(pool id.Pool) []*Endpoint { return x.poolEndpoints[pool] }

// Link returns the link from one failure domain to another; if there are several,
// the last one in the document. A path without a link has no rate limit.
func (x *Index) Link(from, to id.Domain) (*Link, bool) {
	l, ok := x.links[linkKey{from, to}]
	return l, ok
}

// IsLeaving reports whether the label LabelLeaving drains the endpoint.
func IsLeaving(e *Endpoint) bool { return e.Labels[LabelLeaving] == "true" }
