package assign

import (
	"sync"
	"time"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
)

// Placer places the requests of all services at this ingress.
type Placer struct {
	regions map[string]string
	cold    cold.Settings

	lock  sync.Mutex
	units map[string]*unit
}

// unit is one service's engines.
type unit struct {
	engines *place.Engines
}

// NewPlacer returns a placer that knows no engines. Regions maps failure domains to their
// regions; settings bound the requests that reach a cold engine.
func NewPlacer(regions map[string]string, settings cold.Settings) *Placer {
	return &Placer{regions: regions, cold: settings, units: map[string]*unit{}}
}

// TakeView takes the engines of a new view.
func (p *Placer) TakeView(v *state.View) {
	if v.Table == nil {
		return
	}
	pools := map[string]int{}
	for _, s := range v.Table.Config().Services {
		if s.Pool == nil {
			continue
		}
		for _, server := range v.Servers[s.Name] {
			pools[server.Domain]++
		}
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, s := range v.Table.Config().Services {
		if s.Engine == nil {
			continue
		}
		u := p.units[s.Name]
		if u == nil {
			u = &unit{engines: place.NewEngines(p.regions)}
			p.units[s.Name] = u
		}
		u.engines.SetPoolServers(pools)
		u.engines.SetServers(v.Servers[s.Name], *s.Engine)
		u.engines.SetColdLimit(p.cold.Limit(s.ColdRate))
	}
}

// Place returns a seat, or nil where no engine takes the request.
func (p *Placer) Place(service string, q place.Query) *Seat {
	p.lock.Lock()
	defer p.lock.Unlock()
	u := p.units[service]
	if u == nil {
		return nil
	}
	placed, found := u.engines.Place(time.Now(), q)
	if !found {
		return nil
	}
	return &Seat{server: placed.Server, Wait: placed.Wait, FetchFrom: placed.FetchFrom, local: p, id: placed.ID, unit: u}
}

// Learn takes what an ingress's requests left in the engines of a service.
func (p *Placer) Learn(service string, hints []place.CacheHint) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if u := p.units[service]; u != nil {
		u.engines.MergeHints(hints)
	}
}

func (p *Placer) step(change func(now time.Time)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	change(time.Now())
}
