// Package place decides which backend server takes a request: a Chooser for
// plain services, by predicted latency; Engines for services that generate
// tokens, by what their caches hold and what waits to be read.
package place

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/models/site"
)

const (
	// latencyShare is the weight of a new answer in a server's smoothed latency,
	// failureShare that of a new outcome in its share of failures.
	latencyShare = 0.2
	failureShare = 0.2
	// failureWeight is how much a server whose every answer fails seems slower than it is.
	failureWeight = 8
	// firstPause is how long a server that could not be reached is left alone; it doubles up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
	// loadAge is how long a server's own report of its load counts.
	loadAge = 300 * time.Millisecond
	// defaultLatency stands for that of a server that has not answered yet.
	defaultLatency = 50 * time.Millisecond
	// otherRegion and otherDomain are added to the predicted latency for the way there and back.
	otherRegion = 25 * time.Millisecond
	otherDomain = 2 * time.Millisecond
)

// Result says how a request at a server ended.
type Result string

// The results.
const (
	// ResultServed requests got their answer.
	ResultServed Result = "served"
	// ResultFailed requests were answered with a failure of the server's.
	ResultFailed Result = "failed"
	// ResultRefused requests were not run: the server is full.
	ResultRefused Result = "refused"
	// ResultBroken requests ended without an answer.
	ResultBroken Result = "broken"
	// ResultUnreached requests found no connection.
	ResultUnreached Result = "unreached"
	// ResultLeft requests were given up by their caller and say nothing of the server.
	ResultLeft Result = "left"
)

// Query describes a request.
type Query struct {
	// Domain and Region are where the caller's ingress stands.
	Domain string
	Region string
	// Exclude holds the IDs of servers that had the request before.
	Exclude []string
	// Generation sizes a request to an engine; nil for a plain service.
	Generation *Generation
	// Residency bounds the regions of the server.
	Residency site.Residency
	// IsFallback is set where this ingress cannot reach the one that places for all: cold
	// engines are left to that one, since nobody counts what both send there.
	IsFallback bool
	// ColdLimit says how many requests a second this ingress may have reach a cold server;
	// nil: there is no bound.
	ColdLimit func(server *site.Server) int
}

// Generation sizes a request to an engine.
type Generation struct {
	// Parts are the shared parts of the prompt, in order.
	Parts []site.PromptPart
	// PromptTokens is the length of the whole prompt, shared parts included.
	PromptTokens    int
	MaxOutputTokens int
	// Staged requests need results that pools make.
	Staged bool
}

// Chooser holds what one ingress knows of the servers of one service; its caller guards it.
type Chooser struct {
	regions map[string]string
	servers map[string]*server
	list    []*server
}

type server struct {
	site.Server
	// open counts the requests of this ingress that the server has.
	open int
	// latency is smoothed; 0 before the first answer.
	latency time.Duration
	// failed is the smoothed share of failures, 0 to 1.
	failed float64
	// load is the server's own report, taken at loadAt.
	load   site.Load
	loadAt time.Time
	// misses counts the requests in a row that did not reach it; it is left alone until pausedUntil.
	misses      int
	pausedUntil time.Time
	// recent counts what was sent lately, for the bound of a cold server.
	recent cold.Window
}

// NewChooser returns a chooser without servers. Regions maps failure domains to their regions.
func NewChooser(regions map[string]string) *Chooser {
	return &Chooser{regions: regions, servers: map[string]*server{}}
}

// SetServers takes the servers that accept new work.
func (c *Chooser) SetServers(servers []site.Server) {
	c.list = c.list[:0]
	live := map[string]bool{}
	for _, s := range servers {
		live[s.ID] = true
		known := c.servers[s.ID]
		if known == nil || known.Incarnation != s.Incarnation || known.Address != s.Address {
			known = &server{}
			c.servers[s.ID] = known
		}
		known.Server = s
		c.list = append(c.list, known)
	}
	for id, s := range c.servers {
		if !live[id] && s.open == 0 {
			delete(c.servers, id)
		}
	}
	slices.SortFunc(c.list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// Count returns the number of servers that accept new work.
func (c *Chooser) Count() int { return len(c.list) }

// Pick returns the server for a request; false where there is none.
func (c *Chooser) Pick(now time.Time, q Query) (site.Server, bool) {
	candidates := c.filter(now, q)
	if len(candidates) == 0 {
		return site.Server{}, false
	}
	best := slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Compare(c.predict(now, q, a), c.predict(now, q, b))
	})
	return best.Server, true
}

// mayTake tells whether the request may go to a server.
func (c *Chooser) mayTake(now time.Time, q Query, s *server) bool {
	if slices.Contains(q.Exclude, s.ID) || !q.Residency.Allows(c.regions[s.Domain]) {
		return false
	}
	return q.ColdLimit == nil || !s.IsCold(now) || s.recent.Count(now) < q.ColdLimit(&s.Server)
}

// filter leaves out servers that could not be reached lately, unless there is no other.
func (c *Chooser) filter(now time.Time, q Query) []*server {
	others := []*server{}
	paused := []*server{}
	for _, s := range c.list {
		switch {
		case !c.mayTake(now, q, s):
		case now.Before(s.pausedUntil):
			paused = append(paused, s)
		default:
			others = append(others, s)
		}
	}
	if len(others) > 0 {
		return others
	}
	return paused
}

// predict estimates the time until a plain server answers.
func (c *Chooser) predict(now time.Time, q Query, s *server) time.Duration {
	latency := s.latency
	if latency == 0 {
		latency = defaultLatency
	}
	ahead := s.open
	if now.Sub(s.loadAt) < loadAge {
		ahead = max(ahead, s.load.Running+s.load.Waiting)
	}
	queued := 1 + float64(ahead)/float64(max(s.Slots, 1))
	wait := time.Duration(float64(latency) * queued * (1 + failureWeight*s.failed))
	return wait + c.distance(q, s)
}

func (c *Chooser) distance(q Query, s *server) time.Duration {
	switch {
	case s.Domain == q.Domain:
		return 0
	case c.regions[s.Domain] == q.Region:
		return otherDomain
	default:
		return otherRegion
	}
}

// Start notes that a request is sent to a server.
func (c *Chooser) Start(now time.Time, id string) {
	if s := c.servers[id]; s != nil {
		s.open++
		s.recent.Reserve()
		s.recent.Send(now)
	}
}

// End notes how a request ended that took a time; load is nil where the server did not report it.
func (c *Chooser) End(now time.Time, id string, result Result, took time.Duration, load *site.Load) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.open = max(s.open-1, 0)
	if load != nil {
		s.load = *load
		s.loadAt = now
	}
	switch result {
	case ResultServed:
		s.succeed(took)
	case ResultFailed:
		s.fail()
		s.misses = 0
	case ResultBroken, ResultUnreached:
		s.fail()
		s.pausedUntil = now.Add(min(firstPause<<min(s.misses, 4), maxPause))
		s.misses++
	case ResultRefused, ResultLeft:
	}
}

func (s *server) succeed(took time.Duration) {
	s.misses = 0
	s.pausedUntil = time.Time{}
	s.failed -= failureShare * s.failed
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyShare * float64(took-s.latency))
}

func (s *server) fail() {
	s.failed += failureShare * (1 - s.failed)
}
