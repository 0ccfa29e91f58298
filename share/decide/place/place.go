// Package place chooses the backend server for a request. For plain services, Chooser chooses
// by estimated latency. For services that generate tokens, Engines chooses by the prompt parts
// that each engine has cached and the prompt tokens that it still has to prefill.
package place

import (
	"cmp"
	"slices"
	"time"

	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/pace"
	"verbenaroad.example/share/models/site"
)

const (
	// latencyAlpha is the weight of a new answer in a server's smoothed latency, failureAlpha
	// that of a new outcome in its smoothed failure rate.
	latencyAlpha = 0.2
	failureAlpha = 0.2
	// failureWeight scales the estimated latency with the failure rate: by 1 for a server that
	// never fails, by 1 + failureWeight for one that always fails.
	failureWeight = 8
	// initialBackoff is how long a server is avoided after a connection to it failed. It
	// doubles with each further failure in a row, up to maxBackoff. An engine that refuses a
	// request is also avoided for initialBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxLoadAge is how long a server's own load report is used.
	maxLoadAge = 300 * time.Millisecond
	// defaultLatency is the assumed latency of the servers of a service none of which has answered yet.
	defaultLatency = 50 * time.Millisecond
	// crossRegionLatency and crossDomainLatency are added to the estimated latency for the
	// network round trip.
	crossRegionLatency = 25 * time.Millisecond
	crossDomainLatency = 2 * time.Millisecond
)

// Result is how a request to a server ended.
type Result string

// The results.
const (
	// ResultServed requests received their answer.
	ResultServed Result = "served"
	// ResultFailed requests were answered with a server error or an unusable answer.
	ResultFailed Result = "failed"
	// ResultRefused requests were refused by the server without being run; usually it is full.
	ResultRefused Result = "refused"
	// ResultBroken requests were sent but ended without a complete answer.
	ResultBroken Result = "broken"
	// ResultUnreachable requests were not sent because no connection could be made.
	ResultUnreachable Result = "unreached"
	// ResultCanceled requests were abandoned by their caller. They count neither as a success
	// nor as a failure of the server, but an engine whose answer was long overdue counts as
	// stalled.
	ResultCanceled Result = "left"
)

// Query describes a request to be placed.
type Query struct {
	// Domain and Region are those of the ingress that received the request from its caller.
	Domain string
	Region string
	// Exclude holds the IDs of servers that the request was already sent to, or that take no requests
	// of its ingress.
	Exclude []string
	// Team is the team of the request's caller; empty: none. Rank orders the request; lower ranks are
	// more urgent. Chooser ignores both.
	Team string
	Rank site.Rank
	// Generation is the size of a request to an engine. Chooser ignores it.
	Generation *Generation
	// Constraints restrict the servers that may receive the request.
	Constraints site.Constraints
	// IsFallback is set if this ingress places the request itself because it got no usable
	// choice from the placer. Such a request is not placed at an engine that is cold or states a
	// rate limit: the placer places requests there too, and no ingress counts the requests of both.
	IsFallback bool
	// ColdLimit returns how many requests per second this ingress may send to a cold server.
	// If it is nil, there is no limit.
	ColdLimit func(server *site.Server) int
}

// Generation is the size of a request to an engine.
type Generation struct {
	// Parts are the prompt parts that other requests may share, in order.
	Parts []site.PromptPart
	// PromptTokens is the length of the entire prompt, including the shared parts.
	PromptTokens    int
	MaxOutputTokens int
	// LengthHint is the caller's estimate of the output tokens; 0: none.
	LengthHint int
	// Staged is set if the request needs results that pools produce.
	Staged bool
}

// Chooser tracks the servers of one service as seen by one ingress and chooses among them. It
// is not safe for concurrent use.
type Chooser struct {
	// regions maps failure domains to their regions.
	regions map[string]string
	// servers maps IDs to the servers that accept new work or still have requests in flight.
	servers map[string]*server
	// accepting holds the servers that accept new work, sorted by ID.
	accepting []*server
}

type server struct {
	site.Server
	// inFlight counts this ingress's requests in flight at the server.
	inFlight int
	// latency is smoothed and holds for the usual pace; 0 before the first answer. It was updated at
	// latencyAt.
	latency   time.Duration
	latencyAt time.Time
	pace      pace.Pace
	failures  failureRate
	// load is the server's own report, received at loadAt.
	load   site.Load
	loadAt time.Time
	// connFailures counts the connection failures in a row. The server is avoided until
	// backoffUntil.
	connFailures int
	backoffUntil time.Time
	// arrivals counts recently sent requests, for the limit of a cold server.
	arrivals cold.Window
	// startedAt is when the last request was sent to the server.
	startedAt time.Time
}

// NewChooser returns a chooser without servers. Regions maps failure domains to their regions.
func NewChooser(regions map[string]string) *Chooser {
	return &Chooser{regions: regions, servers: map[string]*server{}}
}

// SetServers replaces the set of servers that accept new work. A server that has restarted or
// has a new address starts without history.
func (c *Chooser) SetServers(servers []site.Server) {
	c.accepting = c.accepting[:0]
	live := map[string]bool{}
	for _, s := range servers {
		live[s.ID] = true
		known := c.servers[s.ID]
		if known == nil || !isSameProcess(&known.Server, &s) {
			known = &server{}
			c.servers[s.ID] = known
		}
		known.Server = s
		c.accepting = append(c.accepting, known)
	}
	for id, s := range c.servers {
		if !live[id] && s.inFlight == 0 {
			delete(c.servers, id)
		}
	}
	slices.SortFunc(c.accepting, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// isSameProcess reports whether two registrations under one ID are of the same process, so that what was
// observed of the one holds for the other.
func isSameProcess(a, b *site.Server) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Software() == b.Software()
}

// Count returns the number of servers that accept new work.
func (c *Chooser) Count() int { return len(c.accepting) }

// Pick returns the server with the lowest estimated latency for a request, or false if no
// server is eligible. Of several it returns the one that has had no request for the longest time.
func (c *Chooser) Pick(now time.Time, q Query) (site.Server, bool) {
	candidates := c.listCandidates(now, q)
	if len(candidates) == 0 {
		return site.Server{}, false
	}
	assumed := c.lowestLatency()
	best := slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(c.estimateLatency(now, q, a, assumed), c.estimateLatency(now, q, b, assumed)), a.startedAt.Compare(b.startedAt),
		)
	})
	return best.Server, true
}

// lowestLatency returns the lowest smoothed latency of the servers that accept new work. It is assumed
// for those that have not answered yet, so that each of them is tried.
func (c *Chooser) lowestLatency() time.Duration {
	lowest := time.Duration(0)
	for _, s := range c.accepting {
		if s.latency > 0 && (lowest == 0 || s.latency < lowest) {
			lowest = s.latency
		}
	}
	if lowest == 0 {
		return defaultLatency
	}
	return lowest
}

// isEligible reports whether the request may be sent to a server.
func (c *Chooser) isEligible(now time.Time, q Query, s *server) bool {
	if slices.Contains(q.Exclude, s.ID) || !q.Constraints.Allow(&s.Server, c.regions[s.Domain]) {
		return false
	}
	return q.ColdLimit == nil || !s.IsCold(now) || s.arrivals.Count(now) < q.ColdLimit(&s.Server)
}

// listCandidates returns the eligible servers that are not in backoff, or, if there are none,
// the eligible servers that are.
func (c *Chooser) listCandidates(now time.Time, q Query) []*server {
	available := []*server{}
	inBackoff := []*server{}
	for _, s := range c.accepting {
		switch {
		case !c.isEligible(now, q, s):
		case now.Before(s.backoffUntil):
			inBackoff = append(inBackoff, s)
		default:
			available = append(available, s)
		}
	}
	if len(available) > 0 {
		return available
	}
	return inBackoff
}

// estimateLatency estimates the time until a server answers a request. Assumed is the latency of a server
// that has not answered yet.
func (c *Chooser) estimateLatency(now time.Time, q Query, s *server, assumed time.Duration) time.Duration {
	latency := s.estimateServiceTime(now, assumed)
	outstanding := s.inFlight
	if now.Sub(s.loadAt) < maxLoadAge {
		outstanding = max(outstanding, s.load.Running+s.load.Waiting)
	}
	queueFactor := 1 + float64(outstanding)/float64(max(s.Slots, 1))
	estimate := time.Duration(float64(latency) * queueFactor * s.pace.At(now) * (1 + failureWeight*s.failures.at(now)))
	return estimate + c.networkLatency(q, s)
}

// estimateServiceTime returns the smoothed latency of the server. A higher one than assumed, that of the
// fastest server, fades while the server does not answer.
func (s *server) estimateServiceTime(now time.Time, assumed time.Duration) time.Duration {
	if s.latency <= assumed {
		if s.latency == 0 {
			return assumed
		}
		return s.latency
	}
	return assumed + time.Duration(fade(now.Sub(s.latencyAt))*float64(s.latency-assumed))
}

// networkLatency returns the round-trip time between the caller's ingress and a server.
func (c *Chooser) networkLatency(q Query, s *server) time.Duration {
	switch {
	case s.Domain == q.Domain:
		return 0
	case c.regions[s.Domain] == q.Region:
		return crossDomainLatency
	default:
		return crossRegionLatency
	}
}

// Start records that a request is sent to a server.
func (c *Chooser) Start(now time.Time, id string) {
	if s := c.servers[id]; s != nil {
		s.inFlight++
		s.startedAt = now
		s.arrivals.Reserve()
		s.arrivals.MarkSent(now)
	}
}

// End records the result and the duration of a request. Load is nil if the server did not
// report it.
func (c *Chooser) End(now time.Time, id string, result Result, took time.Duration, load *site.Load) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if load != nil {
		s.load = *load
		s.loadAt = now
		s.pace.Observe(now, load.Pace)
	}
	switch result {
	case ResultServed:
		s.recordSuccess(now, time.Duration(float64(took)/s.pace.At(now)), c.lowestLatency())
	case ResultFailed:
		s.failures.record(now, true)
		s.connFailures = 0
	case ResultBroken, ResultUnreachable:
		s.failures.record(now, true)
		s.backoffUntil = now.Add(min(initialBackoff<<min(s.connFailures, 4), maxBackoff))
		s.connFailures++
	case ResultRefused, ResultCanceled:
	}
}

func (s *server) recordSuccess(now time.Time, took, assumed time.Duration) {
	s.connFailures = 0
	s.backoffUntil = time.Time{}
	s.failures.record(now, false)
	if s.latency == 0 {
		s.latency, s.latencyAt = took, now
		return
	}
	latency := s.estimateServiceTime(now, assumed)
	s.latency, s.latencyAt = latency+time.Duration(latencyAlpha*float64(took-latency)), now
}
