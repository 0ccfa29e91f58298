package assign

import (
	"sync"
	"time"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// Limits limits the requests to servers that state a rate. It counts them for all ingresses.
type Limits interface {
	place.Limiter
	// ScheduleReturn returns how long a caller that was refused because of the limits of the given
	// servers is to wait.
	ScheduleReturn(now time.Time, servers []*site.Server) (wait time.Duration, limited bool)
	// Take counts a request that an ingress sends at once. If the limit does not allow it, Take
	// returns how long the ingress is to wait before it asks again.
	Take(now time.Time, server *site.Server, ingress string) (granted bool, retryAfter time.Duration)
	// Statement returns what is known about the limit of a server; nil: nothing. Merge records what
	// another ingress knows.
	Statement(server *site.Server) *wire.RateLimit
	Merge(ingress string, statements []*wire.RateLimit)
}

// Placer places requests at the engines of all services. It is safe for concurrent use.
type Placer struct {
	regions map[string]string
	cold    cold.Settings
	limits  Limits

	lock sync.Mutex
	// groups is keyed by service.
	groups map[string]*engineGroup
}

// engineGroup holds the engines of one service.
type engineGroup struct {
	engines *place.Engines
}

// NewPlacer returns a placer without engines. Regions maps failure domains to their regions;
// settings limit the rate of requests to a cold engine, limits that to an engine that states one.
func NewPlacer(regions map[string]string, settings cold.Settings, limits Limits) *Placer {
	return &Placer{regions: regions, cold: settings, limits: limits, groups: map[string]*engineGroup{}}
}

// SetView replaces the known engines with those of a new view. A view without a configuration is
// ignored.
func (p *Placer) SetView(v *state.View) {
	if v.Table == nil {
		return
	}
	poolServers := map[string]int{}
	for _, s := range v.Table.Config().Services {
		if s.Pool == nil {
			continue
		}
		for _, server := range v.Servers[s.Name] {
			poolServers[server.Domain]++
		}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, s := range v.Table.Config().Services {
		if s.Engine == nil {
			continue
		}
		g := p.groups[s.Name]
		if g == nil {
			g = &engineGroup{engines: place.NewEngines(p.regions)}
			g.engines.SetLimiter(p.limits)
			p.groups[s.Name] = g
		}
		g.engines.SetPoolServers(poolServers)
		g.engines.SetServers(v.Servers[s.Name], *s.Engine)
		g.engines.SetColdLimit(p.cold.Limit(s.ColdRate))
	}
}

// Place reserves an engine of a service for a request. If no engine accepts the request, it returns
// nil and, if that is because of rate limits, how long the caller is to wait.
func (p *Placer) Place(service string, q place.Query) (r *Reservation, retryAfter time.Duration) {
	p.lock.Lock()
	defer p.lock.Unlock()
	g := p.groups[service]
	if g == nil {
		return nil, 0
	}
	now := time.Now()
	placement, found := g.engines.Place(now, q)
	if !found {
		retryAfter, _ = p.limits.ScheduleReturn(now, g.engines.ListAllowed(q))
		return nil, retryAfter
	}
	return &Reservation{server: placement.Server, Wait: placement.Wait, FetchFrom: placement.FetchFrom, local: p, id: placement.ID, group: g}, 0
}

// MergeHints adds an ingress's hints about which prompt parts are cached at the engines of a
// service.
func (p *Placer) MergeHints(service string, hints []place.CacheHint) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if g := p.groups[service]; g != nil {
		g.engines.MergeHints(hints)
	}
}

// update calls change with the current time while it holds the lock.
func (p *Placer) update(change func(now time.Time)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	change(time.Now())
}
