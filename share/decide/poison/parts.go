package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// partLimit is the number of crashed servers at which a prompt part is quarantined.
	partLimit = 5
	// maxPerRequest is how many of these servers may have crashed with the same request. A request that
	// crashes servers by itself says nothing about the parts of its prompt.
	maxPerRequest = 2
	// minPartShare is the least share of such servers, of all that crashed since backgroundTime before the
	// first of them. Where many crash for other reasons, some part is at several of them by chance.
	minPartShare   = 0.25
	backgroundTime = 10 * time.Second
	// maxRivals is how many other suspects may have been at more than half as many of the servers.
	maxRivals = 5
	// maxPartCrashes limits the crashed servers that are kept; the oldest is dropped first. maxRequests limits
	// the requests that are kept for each of them.
	maxPartCrashes = 128
	maxRequests    = 32
)

// PartCrash is an attempt that broke before it was answered because its server crashed.
type PartCrash struct {
	// Server identifies one start of the server, Version is the version of its software.
	Server   string
	Version  string
	BrokeAt  time.Time
	Identity Identity
}

// Identity is what a request is known by.
type Identity struct {
	// Request identifies the request itself across its attempts.
	Request ID
	// Service stands for any prompt part of its service.
	Service ID
	// Parts are the parts of its prompt that other requests may share, in order; empty: it has none.
	Parts []ID
}

// crashedServer is one crash, with the requests that the server had not answered.
type crashedServer struct {
	server, version string
	at              time.Time
	requests        []Identity
	// explained is set if one of the requests has a part that is known to crash servers.
	explained bool
}

// PartCounter tells the prompt part that crashes the servers of a service from the parts of bystanders. It is
// not safe for concurrent use.
//
// A part that crashes each server that begins to answer a request with it has a distinct history: several
// servers crashed while they had it, with different requests, and no request with it was answered meanwhile
// or shortly before, although others of the service were. A part that precedes it in the same prompts shares
// its crashes, so of several suspects the last one in the prompts counts.
type PartCounter struct {
	// service is the ID under which answered holds when any request of the service was answered.
	service  ID
	answered *AnsweredSet
	crashes  []*crashedServer
}

// NewPartCounter returns a counter without crashes. Answered holds when requests with parts were answered, and
// under the ID service when any request of the service was.
func NewPartCounter(service ID, answered *AnsweredSet) *PartCounter {
	return &PartCounter{service: service, answered: answered}
}

// Record counts a crash. IsExplained is set if a part of the request is known to crash servers.
func (c *PartCounter) Record(now time.Time, crash PartCrash, isExplained bool) {
	i := slices.IndexFunc(c.crashes, func(s *crashedServer) bool { return s.server == crash.Server })
	if i < 0 {
		c.expire(now)
		i = len(c.crashes)
		c.crashes = append(c.crashes, &crashedServer{server: crash.Server, version: crash.Version, at: crash.BrokeAt})
	}
	s := c.crashes[i]
	s.explained = s.explained || isExplained
	if len(s.requests) < maxRequests {
		s.requests = append(s.requests, crash.Identity)
	}
}

// expire makes room for one more crash.
func (c *PartCounter) expire(now time.Time) {
	c.crashes = slices.DeleteFunc(c.crashes, func(s *crashedServer) bool { return now.Sub(s.at) > suspectRetention })
	if len(c.crashes) >= maxPartCrashes {
		c.crashes = c.crashes[1:]
	}
}

// MarkPoison records that a part is known to crash servers, which explains the crashes of those that had it.
func (c *PartCounter) MarkPoison(id ID) {
	for _, s := range c.crashes {
		s.explained = s.explained || slices.ContainsFunc(s.requests, func(r Identity) bool { return slices.Contains(r.Parts, id) })
	}
}

// Evaluation is what the crashes say of the parts.
type Evaluation struct {
	// Found is the part that crashes servers; empty if none is told from the others now. Suspect holds the
	// servers and versions that it crashed.
	Found   ID
	Suspect Suspect
	// Counts holds, for each of the given parts, how many servers crashed while they had it since a request
	// with it was last answered, as far as no known part explains it.
	Counts []int
}

// Evaluate tells the part that crashes servers from the others, if that is possible now. The parts are those of
// the crash that was recorded last; without one of them at enough servers, none is found.
func (c *PartCounter) Evaluate(now time.Time, parts []ID) Evaluation {
	unexplained := c.listUnexplained()
	e := Evaluation{}
	for _, id := range parts {
		e.Counts = append(e.Counts, c.countServers(now, id, unexplained))
	}
	if len(parts) == 0 || slices.Max(e.Counts) < partLimit {
		return e
	}
	if !c.answered.Has(now, c.service) {
		return e // nothing is answered, so nothing tells the parts apart
	}
	suspects := c.listSuspects(now, unexplained)
	for i, p := range suspects {
		if p.standsOut(suspects, unexplained) && !slices.ContainsFunc(suspects[:i], func(other *partSuspect) bool { return other.mayExplain(p) }) {
			e.Found, e.Suspect = p.id, p.describe()
			return e
		}
	}
	return e
}

// countServers returns how many servers crashed while they had a part.
func (c *PartCounter) countServers(now time.Time, id ID, unexplained []*crashedServer) int {
	count := 0
	for _, s := range unexplained {
		if c.isSuspect(now, s, id) && slices.ContainsFunc(s.requests, func(r Identity) bool { return slices.Contains(r.Parts, id) }) {
			count++
		}
	}
	return count
}

// isSuspect reports whether a part of a request that a crashed server had may have been the cause: no request with
// the part was answered lately, nor since the crash.
func (c *PartCounter) isSuspect(now time.Time, s *crashedServer, id ID) bool {
	return !c.answered.Has(now, id) && s.at.After(c.answered.LastAt(id))
}

// partSuspect is a part that has not been answered lately, with the servers that crashed while they had it.
type partSuspect struct {
	id      ID
	servers []*crashedServer
	// requests holds, for each of the servers, those requests with the part that it had.
	requests [][]ID
	// depth is the highest position of the part in a prompt.
	depth int
}

// listUnexplained returns the crashes that no known part explains, in order.
func (c *PartCounter) listUnexplained() []*crashedServer {
	list := slices.DeleteFunc(slices.Clone(c.crashes), func(s *crashedServer) bool { return s.explained })
	slices.SortStableFunc(list, func(a, b *crashedServer) int { return a.at.Compare(b.at) })
	return list
}

// countSince returns how many servers crashed since backgroundTime before the first one with the part.
func (p *partSuspect) countSince(unexplained []*crashedServer) int {
	from := p.servers[0].at.Add(-backgroundTime)
	n := slices.IndexFunc(unexplained, func(s *crashedServer) bool { return !s.at.Before(from) })
	return len(unexplained) - n
}

// standsOut reports whether the part was at enough of the servers that crashed, and few other parts were.
func (p *partSuspect) standsOut(suspects []*partSuspect, unexplained []*crashedServer) bool {
	return p.score() >= partLimit && float64(len(p.servers)) >= minPartShare*float64(p.countSince(unexplained)) && p.countRivals(suspects) <= maxRivals
}

// countRivals returns how many other suspects were at more than half as many of the servers.
func (p *partSuspect) countRivals(suspects []*partSuspect) int {
	count := 0
	for _, other := range suspects {
		if other != p && 2*len(other.servers) > len(p.servers) {
			count++
		}
	}
	return count
}

// listSuspects returns the suspects, ordered by depth from the last to the first.
func (c *PartCounter) listSuspects(now time.Time, unexplained []*crashedServer) (suspects []*partSuspect) {
	byID := map[ID]*partSuspect{}
	for _, s := range unexplained {
		for _, request := range s.requests {
			for depth, id := range request.Parts {
				if !c.isSuspect(now, s, id) {
					continue
				}
				p := byID[id]
				if p == nil {
					p = &partSuspect{id: id}
					byID[id] = p
					suspects = append(suspects, p)
				}
				p.add(s, request.Request, depth)
			}
		}
	}
	slices.SortFunc(suspects, func(a, b *partSuspect) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.servers), len(a.servers)), cmp.Compare(a.id, b.id))
	})
	return suspects
}

func (p *partSuspect) add(s *crashedServer, request ID, depth int) {
	p.depth = max(p.depth, depth)
	if len(p.servers) == 0 || p.servers[len(p.servers)-1] != s {
		p.servers = append(p.servers, s)
		p.requests = append(p.requests, nil)
	}
	p.requests[len(p.requests)-1] = append(p.requests[len(p.requests)-1], request)
}

// score returns the number of servers, of which at most maxPerRequest count for the same request.
func (p *partSuspect) score() int {
	perRequest := map[ID]int{}
	score := 0
	for _, requests := range p.requests {
		i := slices.IndexFunc(requests, func(id ID) bool { return perRequest[id] < maxPerRequest })
		if i >= 0 {
			perRequest[requests[i]]++
			score++
		}
	}
	return score
}

// mayExplain reports whether half or more of the crashes of another part, which precedes this one in the
// prompts, may be due to this one.
func (p *partSuspect) mayExplain(other *partSuspect) bool {
	shared := 0
	for _, s := range other.servers {
		if slices.Contains(p.servers, s) {
			shared++
		}
	}
	return p.depth > other.depth && 2*shared >= len(other.servers)
}

func (p *partSuspect) describe() Suspect {
	s := Suspect{}
	for _, server := range p.servers {
		s.Servers = append(s.Servers, server.server)
		if !slices.Contains(s.Versions, server.version) {
			s.Versions = append(s.Versions, server.version)
		}
	}
	return s
}

// Len returns the number of crashes that are kept.
func (c *PartCounter) Len() int { return len(c.crashes) }
