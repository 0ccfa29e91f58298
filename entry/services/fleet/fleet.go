// Package fleet knows the agents: it keeps the sessions to the agents that
// the routers want and gives traffic the agent and session for each attempt.
// In: the instance list, heartbeats, ends of calls. Out: choices and sessions.
package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// ErrFleet is the class of errors of this package.
var ErrFleet = errs.Class("fleet") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	matchCacheSize = 4096
)

// List is the platform's lagging list of instances.
type List interface {
	FindInstances(ctx context.Context, role member.Role) ([]member.Instance, error)
}

// Watcher is told what heartbeats and the list say of the configuration.
type Watcher interface {
	OnPeerHeartbeat(peer string, beat *wire.Beat, notBefore time.Time)
	OnPeerDisconnected(peer string)
	OnInstances(instances []member.Instance)
	// AnswerFetch serves an agent that asks for configuration.
	AnswerFetch(fetch *wire.Fetch) *wire.Chunks
}

// Options are the settings of a Fleet.
type Options struct {
	// Self is this entry.
	Self member.Instance
	// Link is the template of the sessions' settings.
	Link link.Options
	// ListEvery is the time between two reads of the list.
	ListEvery time.Duration
	// Route returns a router's settings for a service.
	Route   func(service string) route.Settings
	List    List
	Watcher Watcher
	Log     *zap.Logger
}

// Fleet owns the sessions to agents and one router for each service.
type Fleet struct {
	options Options
	// wake asks the control loop to look at the wanted sessions again.
	wake chan struct{}

	lock sync.Mutex
	// services holds one router for each service that the list or a request named.
	services map[string]*service
	// peers holds the agents of the list, by name.
	peers map[string]*peer
	// entries is the number of live entries, itself included; at least 1.
	entries int
	// entryNames are those on the list.
	entryNames []string
	// retired counts the bytes of sessions that have ended, by region.
	crossRetired uint64
}

// service is the routing state of one service.
type service struct {
	lock sync.Mutex
	// router and matches are guarded by lock.
	router  *route.Router
	matches *match.Cache
	// revision is the configuration that matches was compiled for.
	revision uint64
	random   *rand.Rand
}

// NewFleet returns a fleet without agents.
func NewFleet(options Options) *Fleet {
	return &Fleet{
		options:  options,
		wake:     make(chan struct{}, 1),
		services: map[string]*service{},
		peers:    map[string]*peer{},
		entries:  1,
	}
}

// Start keeps the fleet until the context ends.
func (f *Fleet) Start(ctx context.Context) {
	go f.loop(ctx)
}

// ChooseOptions say what a choice depends on.
type ChooseOptions struct {
	Service string
	// Snapshot holds the rules.
	Snapshot *config.Snapshot
	Caller   config.Labels
	Stage    config.Labels
	Budget   time.Duration
	// Priority is the call's class; agents let higher classes pass.
	Priority config.Priority
	Prefixes []route.Prefix
	Exclude  []string
}

// Attempt is a chosen agent with the session to it.
type Attempt struct {
	Choice  route.Choice
	Session *link.Session
}

// ChooseAgent returns the agent that the next attempt goes to, and counts the attempt as sent.
func (f *Fleet) ChooseAgent(now time.Time, options ChooseOptions) (Attempt, *codes.Result) {
	s := f.getService(options.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.adoptRules(options.Snapshot); err != nil {
		return Attempt{}, codes.NewResult(codes.Internal, err.Error()).WithOutcome(codes.OutcomeNotRun)
	}
	before := s.router.SubsetVersion()
	choice, err := s.router.Choose(now, s.request(options), s.random)
	if s.router.SubsetVersion() != before {
		f.wakeLoop()
	}
	if err != nil {
		return Attempt{}, codes.NewResult(codes.NoBackend, err.Error())
	}
	session := f.getSession(choice.Name)
	if session == nil {
		s.router.OnSession(now, choice.Name, route.SessionDown, choice.Incarnation)
		return Attempt{}, codes.NewResult(codes.NoBackend, "session to "+choice.Name+" just ended")
	}
	s.router.OnSent(now, choice.Name)
	return Attempt{Choice: choice, Session: session}, nil
}

// PredictWait returns the queue delay and service time that the next attempt
// would meet; nothing is counted as sent.
func (f *Fleet) PredictWait(now time.Time, options ChooseOptions) (wait, run time.Duration, refusal *codes.Result) {
	s := f.getService(options.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.adoptRules(options.Snapshot); err != nil {
		return 0, 0, codes.NewResult(codes.Internal, err.Error()).WithOutcome(codes.OutcomeNotRun)
	}
	choice, err := s.router.Choose(now, s.request(options), s.random)
	if err != nil {
		return 0, 0, codes.NewResult(codes.NoBackend, err.Error())
	}
	return waitOf(options.Priority, choice), choice.ServiceTime, nil
}

// waitOf returns the queue delay that admission counts for a class. What the
// entry counts as ahead holds lower classes too, which agents let wait: urgent
// work would be refused for the batch work that it overtakes. Its own class is
// left to the agents, which refuse in time what cannot start.
func waitOf(priority config.Priority, choice route.Choice) time.Duration {
	switch priority {
	case config.PriorityUrgent:
		return 0
	case config.PriorityNormal:
		return min(choice.Wait, choice.ReportedWait)
	default:
		return choice.Wait
	}
}

// request is the routing request of the options; adoptRules goes before it.
func (s *service) request(options ChooseOptions) route.Request {
	return route.Request{
		Filter:   s.matches.Select(options.Caller, options.Stage),
		Budget:   options.Budget,
		Prefixes: options.Prefixes,
		Exclude:  options.Exclude,
	}
}

// EndAttempt tells the router how an attempt ended; each chosen attempt is ended once.
func (f *Fleet) EndAttempt(now time.Time, service string, ended route.CallResult) {
	s := f.getService(service)
	s.lock.Lock()
	defer s.lock.Unlock()
	before := s.router.SubsetVersion()
	s.router.OnEnded(now, ended)
	if s.router.SubsetVersion() != before {
		f.wakeLoop()
	}
}

// Explain returns why each agent of a service would or would not be chosen.
func (f *Fleet) Explain(now time.Time, options ChooseOptions) ([]route.Explanation, error) {
	s := f.getService(options.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.adoptRules(options.Snapshot); err != nil {
		return nil, err
	}
	return s.router.Explain(now, s.request(options)), nil
}

// CountEntries returns the number of live entries.
func (f *Fleet) CountEntries() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.entries
}

func (f *Fleet) getService(name string) *service {
	f.lock.Lock()
	defer f.lock.Unlock()
	s := f.services[name]
	if s == nil {
		s = &service{
			router: route.New(f.options.Route(name)),
			random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // balancing need not be unguessable
		}
		f.services[name] = s
	}
	return s
}

// adoptRules compiles the rules of a newer snapshot once.
func (s *service) adoptRules(snapshot *config.Snapshot) error {
	if s.matches != nil && s.revision == snapshot.Revision {
		return nil
	}
	rules, err := match.Compile(snapshot.Set.Rules)
	if err != nil {
		return ErrFleet.Wrap(err)
	}
	s.matches = match.NewCache(rules, matchCacheSize)
	s.revision = snapshot.Revision
	return nil
}

func (f *Fleet) wakeLoop() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
