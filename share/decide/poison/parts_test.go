package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
)

const (
	// maxFindTime is how long after the fifth crash a part must be found. It leaves time to tell all
	// ingresses, which takes less than the four seconds that requests may go on reaching servers.
	maxFindTime = 2 * time.Second
	// simulationStep is the resolution of the simulations, answerTime how long an answer has come when its
	// request counts as answered.
	simulationStep = 10 * time.Millisecond
	answerTime     = 250 * time.Millisecond
)

var serviceID = poison.NewPartID("engines", "") //nolint:gochecknoglobals // a constant in all but syntax

// simulation is a service whose servers crash on a prompt part and for other reasons, with requests that share
// first parts and sessions.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	counter *poison.PartCounter
	// answered holds the parts that were answered at each ingress. The first one counts.
	answered []*poison.AnsweredSet
	servers  []*simulatedServer
	// firsts and sessions are the numbers of first parts and of sessions.
	firsts, sessions int
	// steadyRate, crashingRate and otherCrashRate are requests, requests with the part and other crashes per
	// second.
	steadyRate, crashingRate, otherCrashRate float64
	// firstOfCrashing is the first part of the requests with the crashing part; empty: any.
	firstOfCrashing poison.ID
	starts, lastID  int
	crashes         []time.Time
	found           []poison.ID
	foundAt         time.Time
	// withdrawn counts the parts that were found although an ingress knows that they were answered.
	withdrawn int
}

type simulatedServer struct {
	name     string
	downTo   time.Time
	requests []*simulatedRequest
}

type simulatedRequest struct {
	identity poison.Identity
	// answersAt is when the answer begins, or when the server crashes if crashes is set.
	answersAt time.Time
	crashes   bool
	// sends counts the servers that had it, ingress is the number of the ingress that sent it.
	sends, ingress int
}

const crashing = poison.ID("part-crashing")

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for range 3 + s.random.IntN(10) {
		s.answered = append(s.answered, poison.NewAnsweredSet())
	}
	s.counter = poison.NewPartCounter(serviceID, s.answered[0])
	for range 6 + s.random.IntN(30) {
		s.servers = append(s.servers, &simulatedServer{})
		s.startServer(len(s.servers) - 1)
	}
	s.firsts, s.sessions = 1+s.random.IntN(40), 20+s.random.IntN(200)
	s.steadyRate = 10 + 70*s.random.Float64()
	s.otherCrashRate = 0.5 * s.random.Float64()
	return s
}

// startServer starts a server anew, under another name.
func (s *simulation) startServer(n int) {
	s.starts++
	s.servers[n].name = fmt.Sprint("s", s.starts)
}

func (s *simulation) isDue(perSecond float64) bool {
	return s.random.Float64() < perSecond*simulationStep.Seconds()
}

func (s *simulation) newRequest(isCrashing bool) *simulatedRequest {
	s.lastID++
	session := s.random.IntN(s.sessions)
	first := poison.ID(fmt.Sprint("part-first", session%s.firsts))
	second := poison.ID(fmt.Sprint("part-session", session))
	if isCrashing {
		second = crashing
		if s.firstOfCrashing != "" {
			first = s.firstOfCrashing
		}
	}
	return &simulatedRequest{
		identity: poison.Identity{Request: poison.ID(fmt.Sprint("r", s.lastID)), Parts: []poison.ID{first, second}},
		crashes:  isCrashing, ingress: s.random.IntN(len(s.answered)),
	}
}

// send sends a request to a server that is up, if there is one.
func (s *simulation) send(r *simulatedRequest) {
	r.sends++
	r.answersAt = s.now.Add(time.Duration(100+s.random.IntN(500)) * time.Millisecond)
	for range 4 * len(s.servers) {
		server := s.servers[s.random.IntN(len(s.servers))]
		if s.now.After(server.downTo) {
			server.requests = append(server.requests, r)
			return
		}
	}
}

// crash crashes a server for three seconds. Its unanswered requests are reported and sent once more.
func (s *simulation) crash(n int) {
	server := s.servers[n]
	if !s.now.After(server.downTo) {
		return
	}
	server.downTo = s.now.Add(3 * time.Second)
	requests := server.requests
	server.requests = nil
	for _, r := range requests {
		if !r.crashes && s.now.Sub(r.answersAt) >= answerTime {
			continue
		}
		s.report(server, r)
		if r.sends < 2 {
			s.send(r)
		}
	}
	s.startServer(n)
}

// report tells the counter of a crash, and when the ingress of the request last had its parts answered.
func (s *simulation) report(server *simulatedServer, r *simulatedRequest) {
	for _, id := range append([]poison.ID{serviceID}, r.identity.Parts...) {
		if at := s.answered[r.ingress].LastAt(id); !at.IsZero() {
			s.answered[0].Add(at, id, site.Software{})
		}
	}
	isKnown := slices.ContainsFunc(r.identity.Parts, func(id poison.ID) bool { return slices.Contains(s.found, id) })
	s.counter.Record(s.now, poison.PartCrash{Server: server.name, Version: "v1", BrokeAt: s.now, Identity: r.identity}, isKnown)
	id := s.counter.Evaluate(s.now, r.identity.Parts).Found
	if id == "" {
		return
	}
	if slices.ContainsFunc(s.answered, func(known *poison.AnsweredSet) bool { return known.Has(s.now, id) }) {
		s.withdrawn++
		s.answered[0].Add(s.now, id, site.Software{})
		return
	}
	s.counter.MarkPoison(id)
	s.found = append(s.found, id)
	s.foundAt = s.now
}

// step advances the time.
func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	if s.isDue(s.steadyRate) {
		s.send(s.newRequest(false))
	}
	if s.isDue(s.crashingRate) && !slices.Contains(s.found, crashing) {
		s.send(s.newRequest(true))
	}
	if s.isDue(s.otherCrashRate) {
		s.crash(s.random.IntN(len(s.servers)))
	}
	for n, server := range s.servers {
		s.advance(n, server)
	}
}

// advance ends the requests of a server that have been answered, and crashes it if one of them does so.
func (s *simulation) advance(n int, server *simulatedServer) {
	for _, r := range server.requests {
		if r.crashes && s.now.After(r.answersAt) {
			s.crashes = append(s.crashes, s.now)
			s.crash(n)
			return
		}
	}
	server.requests = slices.DeleteFunc(server.requests, func(r *simulatedRequest) bool {
		answered := s.now.Sub(r.answersAt) >= answerTime
		if answered {
			for _, id := range append([]poison.ID{serviceID}, r.identity.Parts...) {
				s.answered[r.ingress].Add(s.now, id, site.Software{})
			}
		}
		return answered && s.now.Sub(r.answersAt) >= time.Second
	})
}

func (s *simulation) run(d time.Duration) {
	for ends := s.now.Add(d); s.now.Before(ends); {
		s.step()
	}
}

// Guards against a part that crashes servers and is not found soon, and against the quarantine of the parts beside
// it: the first parts, of which there may be few, and those of sessions.
func TestCrashingPartIsToldFromOthers(t *testing.T) {
	for seed := range uint64(100) {
		s := newSimulation(seed)
		s.run(20 * time.Second)
		s.crashingRate = 0.3 + 4*s.random.Float64()
		if s.random.IntN(2) == 0 {
			s.firstOfCrashing = "part-first0"
		}
		s.run(40 * time.Second)
		if !slices.Equal(s.found, []poison.ID{crashing}) {
			t.Errorf("seed %d: %v found, %d withdrawn, %d crashes", seed, s.found, s.withdrawn, len(s.crashes))
			continue
		}
		if len(s.crashes) >= 5 && s.foundAt.Sub(s.crashes[4]) > maxFindTime {
			t.Errorf("seed %d: found %v after the fifth crash", seed, s.foundAt.Sub(s.crashes[4]))
		}
	}
}

// Guards against the quarantine of parts because servers crash for other reasons, one by one or many at once, or
// because no request is answered any more.
func TestNoPartIsFoundIfServersCrashForOtherReasons(t *testing.T) {
	for seed := range uint64(40) {
		s := newSimulation(seed)
		s.otherCrashRate = 3 * s.random.Float64()
		s.run(20 * time.Second)
		for n := range s.servers {
			if s.random.IntN(3) > 0 {
				s.crash(n)
			}
		}
		s.run(10 * time.Second)
		for range 400 {
			s.crash(s.random.IntN(len(s.servers)))
			s.run(100 * time.Millisecond)
		}
		if len(s.found) > 0 {
			t.Errorf("seed %d: %v found", seed, s.found)
		}
		t.Logf("seed %d: %d withdrawn", seed, s.withdrawn)
	}
}

// Guards against the quarantine of a session because one of its requests crashes each server that runs it.
func TestRequestThatCrashesServersDoesNotCondemnItsParts(t *testing.T) {
	is := is.New(t)
	answered := poison.NewAnsweredSet()
	answered.Add(start, serviceID, site.Software{})
	c := poison.NewPartCounter(serviceID, answered)
	for n := range 6 {
		c.Record(start, poison.PartCrash{
			Server: fmt.Sprint("s", n), Version: "v1", BrokeAt: after(time.Duration(n) * time.Second),
			Identity: poison.Identity{Request: "r", Parts: []poison.ID{"part-a"}},
		}, false)
	}
	is.Equal(c.Evaluate(after(6*time.Second), []poison.ID{"part-a"}).Found, poison.ID(""))
	for n := range 3 {
		recordCrash(c, 7+n, "part-a")
	}
	e := c.Evaluate(after(9*time.Second), []poison.ID{"part-a", "part-b"})
	is.Equal(e.Found, poison.ID("part-a"))
	is.Equal(e.Counts, []int{9, 0})
	is.Equal(len(e.Suspect.Servers), 9)
	is.Equal(e.Suspect.Versions, []string{"v1"})
}

// recordCrash records the crash of a server while it had a new request with the given parts.
func recordCrash(c *poison.PartCounter, server int, parts ...poison.ID) {
	c.Record(start, poison.PartCrash{
		Server: fmt.Sprint("s", server), Version: "v1", BrokeAt: after(time.Duration(server) * time.Second),
		Identity: poison.Identity{Request: poison.ID(fmt.Sprint("r", server)), Parts: parts},
	}, false)
}

// Guards against the quarantine of a first part that precedes the crashing one in each prompt, and was at one more
// server that crashed.
func TestPartThatPrecedesTheCrashingOneIsNotFound(t *testing.T) {
	is := is.New(t)
	answered := poison.NewAnsweredSet()
	answered.Add(start, serviceID, site.Software{})
	c := poison.NewPartCounter(serviceID, answered)
	recordCrash(c, 0, "part-first", "part-session")
	for n := range 4 {
		recordCrash(c, 1+n, "part-first", crashing)
	}
	is.Equal(c.Evaluate(after(5*time.Second), []poison.ID{"part-first", crashing}).Found, poison.ID(""))
	recordCrash(c, 5, "part-first", crashing)
	is.Equal(c.Evaluate(after(6*time.Second), []poison.ID{"part-first", crashing}).Found, crashing)
	c.MarkPoison(crashing)
	recordCrash(c, 6, "part-first", "part-session")
	is.Equal(c.Evaluate(after(7*time.Second), []poison.ID{"part-first", "part-session"}).Found, poison.ID(""))
}

// Guards against the quarantine of all parts while no request of a service is answered, for instance since its
// software crashes whatever it is sent.
func TestNoPartIsFoundWhileNothingIsAnswered(t *testing.T) {
	is := is.New(t)
	answered := poison.NewAnsweredSet()
	answered.Add(start.Add(-poison.AnsweredTime), serviceID, site.Software{})
	c := poison.NewPartCounter(serviceID, answered)
	for n := range 9 {
		recordCrash(c, n, "part-first")
	}
	is.Equal(c.Evaluate(after(9*time.Second), []poison.ID{"part-first"}).Found, poison.ID(""))
	answered.Add(after(9*time.Second), serviceID, site.Software{})
	is.Equal(c.Evaluate(after(9*time.Second), []poison.ID{"part-first"}).Found, poison.ID("part-first"))
}

// Guards against a counter and a set that grow without a limit.
func TestPartCounterIsBounded(t *testing.T) {
	answered := poison.NewAnsweredSet()
	c := poison.NewPartCounter(serviceID, answered)
	for n := range 20_000 {
		now := after(time.Duration(n) * time.Millisecond)
		id := poison.ID(fmt.Sprint("part-", n))
		answered.Add(now, id, site.Software{})
		c.Record(now, poison.PartCrash{Server: fmt.Sprint("s", n), BrokeAt: now, Identity: poison.Identity{Request: id, Parts: []poison.ID{id}}}, false)
	}
	if c.Len() > 128 || answered.Len() > 2*2048 {
		t.Errorf("%d crashes and %d parts are kept", c.Len(), answered.Len())
	}
}

// BenchmarkEvaluate measures an evaluation in the middle of a series of crashes: of the parts of a bystander, and
// of one that was at many servers.
func BenchmarkEvaluate(b *testing.B) {
	answered := poison.NewAnsweredSet()
	answered.Add(start, serviceID, site.Software{})
	c := poison.NewPartCounter(serviceID, answered)
	for n := range 128 * 14 {
		c.Record(start, poison.PartCrash{Server: fmt.Sprint("s", n/14), BrokeAt: start, Identity: poison.Identity{
			Request: poison.ID(fmt.Sprint("r", n)), Parts: []poison.ID{poison.ID(fmt.Sprint("part-first", n%20)), poison.ID(fmt.Sprint("part-session", n%1000))},
		}}, false)
	}
	for name, part := range map[string]poison.ID{"bystander": "part-session7", "at many servers": "part-first7"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c.Evaluate(start, []poison.ID{part})
			}
		})
	}
}

// Guards against an answer that protects a part from suspicion after the software that gave it is gone.
func TestAnswersOfSoftwareThatNoServerRunsAreForgotten(t *testing.T) {
	is := is.New(t)
	answered := poison.NewAnsweredSet()
	answered.Add(start, "a", site.Software{Service: "engines", Version: "v1"})
	answered.Add(start, "b", site.Software{Service: "engines", Version: "v2"})
	answered.Add(start, "c", site.Software{})
	answered.Forget(func(s site.Software) bool { return s.Version != "v1" })
	is.True(!answered.Has(start, "a"))
	is.True(answered.Has(start, "b"))
	is.True(answered.Has(start, "c"))
}
