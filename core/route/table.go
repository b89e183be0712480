package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirequay/samphirequay/core/apikey"
	"github.com/samphirequay/samphirequay/core/id"
)

// Table is an index of one configuration: it looks up routes, services and teams.
// It is safe for concurrent use.
type Table struct {
	config   Config
	hosts    map[string][]*Route
	services map[id.Service]*Service
	teams    map[id.Team]*Team
	keys     *apikey.Ring[*Team]
}

// NewTable indexes a configuration; it must not be changed afterwards. The error
// names the first invalid item.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		config:   c,
		hosts:    map[string][]*Route{},
		services: map[id.Service]*Service{},
		teams:    map[id.Team]*Team{},
		keys:     apikey.NewRing[*Team](),
	}
	for i := range c.Teams {
		if err := t.addTeam(&c.Teams[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := t.validate(r); err != nil {
			return nil, err
		}
		r.Host = normalizeHost(r.Host)
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

func (t *Table) validate(r *Route) error {
	if len(r.Targets) == 0 {
		return fmt.Errorf("route %q has no targets", r.Name)
	}
	for _, target := range r.Targets {
		if t.services[target.Service] == nil {
			return fmt.Errorf("route %q refers to service %q, which does not exist", r.Name, target.Service)
		}
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("route %q: prefix %q does not begin with a slash", r.Name, r.Prefix)
	}
	return nil
}

func (t *Table) addTeam(team *Team) error {
	if team.Name == "" {
		return fmt.Errorf("team without a name")
	}
	if t.teams[team.Name] != nil {
		return fmt.Errorf("duplicate team name %q", team.Name)
	}
	t.teams[team.Name] = team
	if err := team.Limit.Validate(); err != nil {
		return fmt.Errorf("team %q: %w", team.Name, err)
	}
	for i, key := range team.Keys {
		if err := t.keys.Add(key, team); err != nil {
			return fmt.Errorf("team %q: key %d %w", team.Name, i, err)
		}
	}
	return nil
}

// HasTeams reports whether the configuration has teams, so that requests need a
// key.
func (t *Table) HasTeams() bool { return len(t.teams) > 0 }

// Team returns a team by name, or nil.
func (t *Table) Team(name id.Team) *Team { return t.teams[name] }

// Owner returns the team that a key belongs to, or nil.
func (t *Table) Owner(key apikey.Hash) *Team {
	team, _ := t.keys.Owner(key)
	return team
}

// Config returns the configuration that the table indexes.
func (t *Table) Config() *Config { return &t.config }

// Service returns a service by name, or nil.
func (t *Table) Service(name id.Service) *Service { return t.services[name] }

// Match returns the route for a host and a path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Choose returns the service of one of the route's targets, by weight. The choice
// is the same for every call with the same request id.
func (r *Route) Choose(request id.Request) id.Service {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	seed := xxhash.Sum64String(string(request))
	draw := rand.New(rand.NewPCG(seed, seed)).IntN(total)
	for _, t := range r.Targets {
		draw -= max(0, t.Weight)
		if draw < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// normalizeHost removes the port and converts the name to lower case: neither
// matters for routing.
func normalizeHost(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return strings.ToLower(name)
}
