// Package fleet keeps sessions to the agents that the routers select, and chooses the agent and
// session for each attempt. Its decisions are based on the instance list, heartbeats and the
// results of attempts.
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
	// matchCacheSize is the number of label combinations for which matched rules are cached per
	// service.
	matchCacheSize = 4096
)

// List is the platform's list of instances. It may be out of date.
type List interface {
	FindInstances(ctx context.Context, role member.Role) ([]member.Instance, error)
}

// Watcher is notified of heartbeats, ended sessions and updates of the instance list, for the
// distribution of the configuration.
type Watcher interface {
	OnPeerHeartbeat(peer string, heartbeat *wire.Beat, notBefore time.Time)
	OnPeerDisconnected(peer string)
	OnInstances(instances []member.Instance)
	// AnswerFetch answers an agent's request for configuration.
	AnswerFetch(fetch *wire.Fetch) *wire.Chunks
}

// Options are the settings of a Fleet.
type Options struct {
	// Self is this entry.
	Self member.Instance
	// Link holds the settings of all sessions; the fleet adds its own callbacks.
	Link link.Options
	// ListInterval is the interval at which the list is read.
	ListInterval time.Duration
	// Route returns the settings of a service's router.
	Route   func(service string) route.Settings
	List    List
	Watcher Watcher
	Log     *zap.Logger
}

// Fleet owns the sessions to agents and one router for each service.
type Fleet struct {
	options Options
	// wake makes the control loop reconcile the sessions again.
	wake chan struct{}

	lock sync.Mutex
	// services holds one router for each service that occurs in the list or in a request.
	services map[string]*service
	// peers holds the listed agents by name, and unlisted ones while their session is open.
	peers map[string]*peer
	// entries is the number of listed entries, this one included; at least 1.
	entries int
	// entryNames are the names of the listed entries.
	entryNames []string
	// closedCrossBytes counts the bytes of ended sessions to other regions.
	closedCrossBytes uint64
}

// service is the routing state of one service.
type service struct {
	lock sync.Mutex
	// router and matches are guarded by lock.
	router  *route.Router
	matches *match.Cache
	// revision is the configuration revision whose rules matches was compiled from.
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

// Start starts the control loop, which runs until the context ends and then closes all sessions.
func (f *Fleet) Start(ctx context.Context) {
	go f.loop(ctx)
}

// ChooseOptions are the inputs of a choice.
type ChooseOptions struct {
	Service string
	// Snapshot is the configuration whose rules apply.
	Snapshot *config.Snapshot
	Caller   config.Labels
	Stage    config.Labels
	Budget   time.Duration
	// Priority is the call's priority. Agents run calls of higher priority first.
	Priority config.Priority
	Prefixes []route.Prefix
	Exclude  []string
}

// Attempt is a chosen agent and the session to it.
type Attempt struct {
	Choice  route.Choice
	Session *link.Session
}

// ChooseAgent returns the agent for the next attempt and counts the attempt as sent. The caller
// must end it with EndAttempt.
func (f *Fleet) ChooseAgent(now time.Time, options ChooseOptions) (Attempt, *codes.Result) {
	s := f.getService(options.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.updateRules(options.Snapshot); err != nil {
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

// PredictWait returns the expected queue delay and service time of the next attempt. It counts
// nothing as sent.
func (f *Fleet) PredictWait(now time.Time, options ChooseOptions) (wait, run time.Duration, refusal *codes.Result) {
	s := f.getService(options.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.updateRules(options.Snapshot); err != nil {
		return 0, 0, codes.NewResult(codes.Internal, err.Error()).WithOutcome(codes.OutcomeNotRun)
	}
	choice, err := s.router.Choose(now, s.request(options), s.random)
	if err != nil {
		return 0, 0, codes.NewResult(codes.NoBackend, err.Error())
	}
	return admissionWait(options.Priority, choice), choice.ServiceTime, nil
}

// admissionWait returns the queue delay that admission assumes for a call of the given priority.
// For batch calls it is the entry's own estimate, which includes calls of every priority. With that
// estimate, urgent calls would be refused because of batch calls that they overtake in the agents'
// queues. For urgent calls the delay is 0, so that even urgent calls queued ahead are not counted:
// agents refuse early the calls that cannot start in time. For normal calls it is the lower one of
// the entry's estimate and the agent's report.
func admissionWait(priority config.Priority, choice route.Choice) time.Duration {
	switch priority {
	case config.PriorityUrgent:
		return 0
	case config.PriorityNormal:
		return min(choice.Wait, choice.ReportedWait)
	default:
		return choice.Wait
	}
}

// request returns the routing request for the options. The caller must call updateRules first.
func (s *service) request(options ChooseOptions) route.Request {
	return route.Request{
		Filter:   s.matches.Select(options.Caller, options.Stage),
		Budget:   options.Budget,
		Prefixes: options.Prefixes,
		Exclude:  options.Exclude,
	}
}

// EndAttempt reports the result of an attempt to the router. It must be called once for each
// attempt that ChooseAgent returns.
func (f *Fleet) EndAttempt(now time.Time, service string, result route.CallResult) {
	s := f.getService(service)
	s.lock.Lock()
	defer s.lock.Unlock()
	before := s.router.SubsetVersion()
	s.router.OnEnded(now, result)
	if s.router.SubsetVersion() != before {
		f.wakeLoop()
	}
}

// Explain returns for each agent of a service why it would or would not be chosen.
func (f *Fleet) Explain(now time.Time, options ChooseOptions) ([]route.Explanation, error) {
	s := f.getService(options.Service)
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.updateRules(options.Snapshot); err != nil {
		return nil, err
	}
	return s.router.Explain(now, s.request(options)), nil
}

// CountEntries returns the number of listed entries, this one included; at least 1.
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

// updateRules compiles the rules of the snapshot unless those of its revision are compiled already.
func (s *service) updateRules(snapshot *config.Snapshot) error {
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
