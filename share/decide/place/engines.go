package place

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/models/site"
)

const (
	// readRate is about how many prompt tokens an engine reads in a second. It weighs
	// a queue against a cache; an error scales both sides alike.
	readRate = 30000.0
	// rereadWeight is how much more a prompt part counts that another engine holds:
	// reading it again takes the engine's time from every stream that runs there, and
	// is charged for.
	rereadWeight = 1.0
	// regionCost and domainCost stand for the way to another region and domain and the
	// price of the bytes on it.
	regionCost = 80 * time.Millisecond
	domainCost = 5 * time.Millisecond
	// streamCost is what each running stream adds to a new one's wait.
	streamCost = 2 * time.Millisecond
	// stagedCost is what each request adds whose results wait for the pools of a
	// domain, for one server there.
	stagedCost = 60 * time.Millisecond
	// fullCost puts an engine whose memory or slots are taken behind all others, however
	// long those have to read.
	fullCost = time.Minute
	// failingCost puts an engine that fails behind those that answer.
	failingCost = 2 * time.Second
	// memoryPart is the part of an engine's memory that is filled on purpose.
	memoryPart = 0.9
	// outputPart is how much of the longest output a request is expected to make.
	outputPart = 0.5
	// cacheTime is how long an unused part is expected to stay in an engine's memory.
	cacheTime = 30 * time.Second
	// sharedWindow is how long after its last use a part is worth looking for.
	sharedWindow = 12 * time.Second
	// minPace and maxPace bound how fast an engine is taken to be.
	minPace, maxPace = 0.5, 6.0
	// paceShare is the weight of a new answer in an engine's pace.
	paceShare = 0.15
	// minPaceSample is the shortest predicted time that tells something of the pace.
	minPaceSample = 60 * time.Millisecond
)

// Engines holds what is known of the engines of one service. One instance of
// it, at the ingress that places requests for the service, sees every request;
// many that each see a part act on stale reports and send the same burst to
// the same engine. Its caller guards it.
type Engines struct {
	engine  site.Engine
	regions map[string]string
	engines map[string]*engine
	list    []*engine
	lastID  uint64
	open    map[uint64]*seat
	// seen holds when any engine was last sent each part.
	seen map[string]time.Time
	// pools counts the backend servers that make results, by failure domain.
	pools map[string]int
	// staged counts the open requests whose results are still to be made, by failure domain.
	staged map[string]int
	// coldLimit bounds the requests that reach a cold engine in a second; nil: it is not bound.
	coldLimit *int
}

// engine is one engine.
type engine struct {
	site.Server
	// reading counts the tokens that are to be read, sent those of them whose requests the engine has.
	reading float64
	sent    float64
	streams int
	// memory counts the tokens of the open requests.
	memory int
	parts  map[string]holding
	// pace is how long answers take to begin against what was predicted.
	pace        float64
	failed      float64
	misses      int
	pausedUntil time.Time
	// arriving counts the requests that are to be sent to it or were lately.
	arriving cold.Window
}

// holding is a prompt part that an engine holds or is about to read.
type holding struct {
	// used is when a request with the part was last placed at the engine.
	used time.Time
	// read tells that the engine has read the part, so that others can fetch it.
	read bool
}

// isHeld tells whether a part is still expected in the engine's memory.
func (h holding) isHeld(now time.Time) bool {
	return !h.used.IsZero() && now.Sub(h.used) < cacheTime
}

// seat is one request at an engine.
type seat struct {
	engine    *engine
	parts     []site.PromptPart
	placed    time.Time
	reading   float64
	memory    int
	sent      bool
	begun     bool
	staged    bool
	started   time.Time
	predicted time.Duration
}

// Placement is a request's engine.
type Placement struct {
	// ID names the placement in Begin and End.
	ID     uint64
	Server site.Server
	// Wait predicts the time until the answer begins.
	Wait time.Duration
	// FetchFrom is the ID of the engine that holds more of the prompt; empty: none does.
	FetchFrom string
}

// NewEngines returns a set without engines. Regions maps failure domains to their regions.
func NewEngines(regions map[string]string) *Engines {
	return &Engines{
		regions: regions,
		engines: map[string]*engine{},
		open:    map[uint64]*seat{},
		seen:    map[string]time.Time{},
		pools:   map[string]int{},
		staged:  map[string]int{},
	}
}

// SetPools takes the number of backend servers that make results, by failure domain.
func (e *Engines) SetPools(pools map[string]int) { e.pools = pools }

// SetColdLimit bounds the requests that reach a cold engine in a second.
func (e *Engines) SetColdLimit(limit int, bound bool) {
	e.coldLimit = nil
	if bound {
		e.coldLimit = &limit
	}
}

// SetServers takes the engines that accept new work.
func (e *Engines) SetServers(servers []site.Server, description site.Engine) {
	e.engine = description
	e.list = e.list[:0]
	live := map[string]bool{}
	for _, s := range servers {
		live[s.ID] = true
		known := e.engines[s.ID]
		if known == nil || known.Incarnation != s.Incarnation || known.Address != s.Address {
			known = &engine{parts: map[string]holding{}, pace: 1}
			e.engines[s.ID] = known
		}
		known.Server = s
		e.list = append(e.list, known)
	}
	for id := range e.engines {
		if !live[id] {
			delete(e.engines, id)
		}
	}
	slices.SortFunc(e.list, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// Place chooses the engine at which the request costs the least, counting its
// own wait and what it takes from the others; false where there is none.
func (e *Engines) Place(now time.Time, q Query) (Placement, bool) {
	sources := e.findSources(now, q)
	var best *engine
	lowest := time.Duration(0)
	paused := true
	for _, c := range e.list {
		if !e.mayTake(now, q, c) {
			continue
		}
		isPaused := now.Before(c.pausedUntil)
		if isPaused && !paused {
			continue
		}
		cost := e.cost(now, q, c, sources)
		if best == nil || paused && !isPaused || cost < lowest {
			best, lowest, paused = c, cost, isPaused
		}
	}
	if best == nil {
		return Placement{}, false
	}
	return e.take(now, q, best, sources), true
}

// mayTake tells whether the request may go to an engine.
func (e *Engines) mayTake(now time.Time, q Query, c *engine) bool {
	if slices.Contains(q.Exclude, c.ID) || !q.Residency.Allows(e.regions[c.Domain]) {
		return false
	}
	if e.coldLimit == nil || !c.IsCold(now) {
		return true
	}
	return !q.IsFallback && c.arriving.Count(now) < *e.coldLimit
}

// cost weighs one engine for a request.
func (e *Engines) cost(now time.Time, q Query, c *engine, sources []source) time.Duration {
	n := e.needs(now, q.Generation, c, sources)
	cost := seconds(c.pace*(c.reading+n.read+rereadWeight*n.again)/readRate) + e.fetchCost(n.fetched)
	cost += time.Duration(c.streams) * streamCost
	cost += e.distance(q, c)
	cost += e.stageCost(q, c)
	if e.isFull(q, c) {
		cost += fullCost
	}
	return cost + time.Duration(c.failed*float64(failingCost))
}

// distance weighs the way from the caller's ingress to an engine.
func (e *Engines) distance(q Query, c *engine) time.Duration {
	switch {
	case c.Domain == q.Domain:
		return 0
	case e.regions[c.Domain] == q.Region:
		return domainCost
	default:
		return regionCost
	}
}

// stageCost spreads the requests with stages over the failure domains as their
// pools are spread: results are made beside the engine, and a domain with one
// server of a pool makes half as many as one with two.
func (e *Engines) stageCost(q Query, c *engine) time.Duration {
	if q.Generation == nil || !q.Generation.Staged || e.pools[c.Domain] == 0 {
		return 0
	}
	return time.Duration(float64(e.staged[c.Domain]) / float64(e.pools[c.Domain]) * float64(stagedCost))
}

func (e *Engines) isFull(q Query, c *engine) bool {
	if e.engine.Slots > 0 && c.streams >= e.engine.Slots {
		return true
	}
	need := memoryOf(q.Generation)
	return e.engine.CacheTokens > 0 && float64(c.memory+need) > memoryPart*float64(e.engine.CacheTokens)
}

func memoryOf(g *Generation) int {
	if g == nil {
		return 0
	}
	return g.PromptTokens + int(outputPart*float64(g.MaxOutputTokens))
}

func (e *Engines) take(now time.Time, q Query, c *engine, sources []source) Placement {
	n := e.needs(now, q.Generation, c, sources)
	wait := seconds(c.pace*(c.reading+n.read)/readRate) + e.engine.FetchTime(n.fetched)
	e.lastID++
	s := &seat{engine: c, placed: now, reading: n.read, memory: memoryOf(q.Generation)}
	e.open[e.lastID] = s
	c.reading += n.read
	c.streams++
	c.arriving.Reserve()
	c.memory += s.memory
	if q.Generation != nil {
		s.staged = q.Generation.Staged
		if s.staged {
			e.staged[c.Domain]++
		}
		s.parts = q.Generation.Parts
		for _, p := range q.Generation.Parts {
			c.parts[p.ID] = holding{used: now, read: c.parts[p.ID].read}
			e.seen[p.ID] = now
		}
	}
	e.forget(now)
	return Placement{ID: e.lastID, Server: c.Server, Wait: wait, FetchFrom: n.sourceID()}
}

// maxParts bounds the parts that are remembered; above it the old ones are dropped.
const maxParts = 20000

func (e *Engines) forget(now time.Time) {
	if len(e.seen) < maxParts {
		return
	}
	for id, used := range e.seen {
		if now.Sub(used) > sharedWindow {
			delete(e.seen, id)
		}
	}
	for _, c := range e.list {
		for id, h := range c.parts {
			if !h.isHeld(now) {
				delete(c.parts, id)
			}
		}
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
