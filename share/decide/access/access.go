// Package access determines the route and the team of a request and whether the request is
// allowed.
package access

import (
	"sort"
	"strings"
	"time"

	"verbenaroad.example/share/models/site"
)

// Verdict states whether a request is admitted, and if not, why.
type Verdict string

// The verdicts.
const (
	// Granted requests match a route and are allowed to use it.
	Granted Verdict = "granted"
	// NoRoute requests match no route.
	NoRoute Verdict = "no-route"
	// UnknownKey requests lack a valid team key, which their route requires.
	UnknownKey Verdict = "unknown-key"
)

// Table is one version of the configuration, indexed for lookups. It is immutable.
type Table struct {
	config *site.Config
	// routesByHost maps a lower-case host to its routes, longest prefix first.
	routesByHost   map[string][]*site.Route
	servicesByName map[string]*site.Service
	routesByName   map[string]*site.Route
	// teamsByKey maps each key to its team.
	teamsByKey  map[string]*site.Team
	teamsByName map[string]*site.Team
	// longestStream is the longest timeout of the routes whose streams may be resumed.
	longestStream time.Duration
}

// NewTable indexes a configuration, which must not change afterwards.
func NewTable(config *site.Config) *Table {
	t := &Table{
		config:         config,
		routesByHost:   map[string][]*site.Route{},
		servicesByName: map[string]*site.Service{},
		routesByName:   map[string]*site.Route{},
		teamsByKey:     map[string]*site.Team{},
		teamsByName:    map[string]*site.Team{},
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
		t.routesByName[r.Name] = r
		if r.Resumable {
			t.longestStream = max(t.longestStream, r.Timeout)
		}
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Services {
		t.servicesByName[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Teams {
		t.teamsByName[config.Teams[i].Name] = &config.Teams[i]
		for _, key := range config.Teams[i].Keys {
			t.teamsByKey[key] = &config.Teams[i]
		}
	}
	return t
}

// HasRoute reports whether the configuration has a route with the given name.
func (t *Table) HasRoute(name string) bool { return t.routesByName[name] != nil }

// Config returns the indexed configuration.
func (t *Table) Config() *site.Config { return t.config }

// LongestStream returns the longest timeout of the routes whose streams may be resumed.
func (t *Table) LongestStream() time.Duration { return t.longestStream }

// FindService returns the service of that name, or nil.
func (t *Table) FindService(name string) *site.Service { return t.servicesByName[name] }

// FindRoute returns the route of the host with the longest prefix that matches the path, or
// nil. The case and the port of the host are ignored.
func (t *Table) FindRoute(host, path string) *site.Route {
	for _, r := range t.routesByHost[strings.ToLower(trimPort(host))] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Decision is the result of an access check.
type Decision struct {
	Verdict Verdict
	// Route is nil if the verdict is NoRoute.
	Route *site.Route
	// Team is the name of the team. It is empty on public routes, in a configuration without
	// teams and for refused requests.
	Team string
	// Rank orders the request by the priority of its team, then by that of its route.
	Rank site.Rank
	// Residency allows the regions that both the route and the team allow.
	Residency site.Residency
}

// Check determines the route and the team of a request and whether the request is allowed.
func (t *Table) Check(host, path, key string) Decision {
	r := t.FindRoute(host, path)
	if r == nil {
		return Decision{Verdict: NoRoute}
	}
	d := Decision{Verdict: Granted, Route: r, Rank: site.NewRank(nil, r.Priority), Residency: site.NewResidency(r.AllowedRegions)}
	if r.Public || len(t.config.Teams) == 0 {
		return d
	}
	team := t.teamsByKey[key]
	if team == nil {
		d.Verdict = UnknownKey
		return d
	}
	d.Team = team.Name
	d.Rank = site.NewRank(team.Priority, r.Priority)
	d.Residency = site.NewResidency(r.AllowedRegions, team.AllowedRegions)
	return d
}

// FindResidency returns the current residency of a granted request that may have been checked
// with an older version of the configuration. If its route or its team no longer exists, the
// residency from that check applies.
func (t *Table) FindResidency(d Decision) site.Residency {
	route := t.routesByName[d.Route.Name]
	team := t.teamsByName[d.Team]
	if route == nil || d.Team != "" && team == nil {
		return d.Residency
	}
	if team == nil {
		return site.NewResidency(route.AllowedRegions)
	}
	return site.NewResidency(route.AllowedRegions, team.AllowedRegions)
}

// PickService chooses a service of a route at random by weight; random is uniform in [0, 1).
func PickService(r *site.Route, random float64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	remaining := random * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(max(b.Weight, 0))
		if remaining < 0 {
			return b.Service
		}
	}
	if len(r.Backends) == 0 {
		return ""
	}
	return r.Backends[len(r.Backends)-1].Service
}

func trimPort(host string) string {
	name, port, found := strings.Cut(host, ":")
	if found && port != "" && !strings.Contains(port, ":") {
		return name
	}
	return host
}
