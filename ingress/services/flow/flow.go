// Package flow serves a request from its admission to its final answer. The caller receives the
// answer of a backend server unchanged, or an error that states whether the request ran.
package flow

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/decide/usual"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/rhash"
)

// Options are the settings of a Server.
type Options struct {
	Views        Views
	Sender       Sender
	StageRunner  StageRunner
	EnginePlacer EnginePlacer
	Screen       Screen
	Origins      Origins
	Meter        Meter
	Log          *zap.Logger
	// Domain and Region locate this ingress. Regions maps failure domains to their regions.
	Domain  string
	Region  string
	Regions map[string]string
	// Retries limits the retries. Cold limits the requests to a cold server.
	Retries Retries
	Cold    cold.Settings
	Peers   Peers
	// Limits holds what servers state about the requests that they take. Admitter admits requests to
	// servers that state a rate.
	Limits   Statements
	Admitter Admitter
	// Stop reports whether the process is stopping; nil: it never does.
	Stop Stop
}

// Server serves requests. It is safe for concurrent use.
type Server struct {
	options Options

	lock sync.Mutex
	// services is keyed by the name of the service.
	services map[string]*serviceState
	// answers holds how long engines take to answer requests that are sent to them, by route.
	answers *usual.Durations
}

// serviceState is what this ingress tracks about one service.
type serviceState struct {
	chooser *place.Chooser
	// deferred holds, by ID, the servers whose rate limit did not allow a request.
	deferred map[string]deferral
}

// NewServer returns a server without backend servers.
func NewServer(options Options) *Server {
	if options.Stop == nil {
		options.Stop = neverStops{}
	}
	return &Server{options: options, services: map[string]*serviceState{}, answers: usual.NewDurations()}
}

// SetView updates the backend servers from a new view.
func (s *Server) SetView(v *state.View) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for name := range v.Servers {
		s.getService(name)
	}
	for name, p := range s.services {
		p.chooser.SetServers(v.Servers[name])
	}
	if v.Table != nil {
		s.answers.Keep(v.Table.HasRoute)
	}
}

// getService returns the state of a service and creates it if necessary. The caller holds the lock.
func (s *Server) getService(service string) *serviceState {
	p := s.services[service]
	if p == nil {
		p = &serviceState{chooser: place.NewChooser(s.options.Regions), deferred: map[string]deferral{}}
		s.services[service] = p
	}
	return p
}

// Request is a caller's request as parsed by the router.
type Request struct {
	site.Request
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Memory accounts for what the request holds. Body is part of it.
	Memory  *memory.Account
	Arrived time.Time
	// Decision is the result of the access check, which was made against View.
	Decision access.Decision
	View     *state.View
}

// exchange is a request in flight.
type exchange struct {
	*Request
	server  *Server
	route   *site.Route
	service string
	// identity is what the request is known by across all its attempts.
	identity poison.Identity
	// trial is set if the request is quarantined and is sent to a single server as a trial.
	trial bool
	// lifetime is that of the context in which the request is served.
	lifetime *lifetime
	// isAnswered is set once the current attempt has been answered for a while.
	isAnswered bool
	log        *zap.Logger
	// deadline is when the request must have its final answer.
	deadline time.Time
	// passed describes the answer that was passed on.
	passed passedEvents
	// software has begun the stream, which may go on only there; nil before the answer has begun.
	software *site.Software
	// versionWaitEnd is until when the request waits for a version of the service; zero if it has not waited.
	versionWaitEnd time.Time
	// reservation is the reserved place at an engine; nil for plain services.
	reservation *assign.Reservation
	// limitWait is how long the caller is to wait if no server takes the request because of rate
	// limits; 0 if these are not the reason.
	limitWait time.Duration
	// tried holds the IDs of the servers that were tried.
	tried []string
	// runs counts the attempts that ran or may have run.
	runs int
	// sends counts all attempts, including those that were refused or could not be sent.
	sends int
	// retryGrantedAt is when a retry was granted that has not been sent yet; zero if there is none.
	retryGrantedAt time.Time
}

// defaultCallerTimeout applies if the caller does not state how long it waits.
const defaultCallerTimeout = 30 * time.Second

// FinalAnswerTimeout returns the time after its arrival at which a request on a route must have its
// final answer. callerTimeout is how long its caller waits; 0: not stated.
func FinalAnswerTimeout(r *site.Route, callerTimeout time.Duration) time.Duration {
	timeout := callerTimeout
	if timeout == 0 {
		timeout = defaultCallerTimeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return timeout
}

// Serve serves one request and writes its final answer.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, q *Request) {
	x := s.newExchange(q)
	defer x.returnRetry()
	ctx, x.lifetime = newLifetime(ctx, s.options.Stop.Answers())
	defer x.lifetime.close()
	if id, quarantined := s.options.Screen.FindQuarantine(x.identity); quarantined {
		x.trial = s.options.Screen.TakeTrial(ctx, id)
	}
	result := x.refuseQuarantined()
	switch {
	case result != nil:
	case x.route.Kind == site.KindStream:
		result = x.serveStream(ctx, w)
	default:
		result = x.servePlain(ctx, w)
	}
	x.finish(ctx, w, result)
}

// refuseQuarantined returns the error for a quarantined request. It returns nil if the request is
// not quarantined or if this is the first attempt of a trial.
func (x *exchange) refuseQuarantined() *codes.Result {
	if x.trial && x.sends == 0 {
		return nil
	}
	id, quarantined := x.server.options.Screen.FindQuarantine(x.identity)
	switch {
	case !quarantined:
		return nil
	case id.IsPart():
		return codes.NewResult(codes.Quarantined, "requests with the prompt part "+string(id)+" crashed the servers that ran them")
	default:
		return codes.NewResult(codes.Quarantined, "request "+string(id)+" crashed the servers that ran it")
	}
}

// serviceKey makes the choice of a service independent of other hashes of attempts.
const serviceKey = "service"

// firstAttempt returns the attempt that brings, or has brought, the first event of the stream.
func (q *Request) firstAttempt() string {
	if q.LastEventID != "" && q.Resumes != "" {
		return q.Resumes
	}
	return q.AttemptID
}

// newExchange returns an exchange for a request. Its service depends on the first attempt only, so that a stream that is taken
// up comes to the service that began it although nobody recalls that.
func (s *Server) newExchange(q *Request) *exchange {
	r := q.Decision.Route
	service := access.PickService(r, rhash.Fraction(serviceKey, q.firstAttempt()))
	return &exchange{
		Request:  q,
		server:   s,
		route:    r,
		service:  service,
		identity: newIdentity(q, service),
		deadline: q.Arrived.Add(FinalAnswerTimeout(r, q.CallerTimeout)),
		log: s.options.Log.With(zap.String("request", q.AttemptID), zap.String("route", r.Name),
			zap.String("service", service), zap.Uint64("config", q.View.Version())),
	}
}

// finish logs the outcome of the request. If no backend server's answer was delivered, it writes
// result as the answer, also to a caller that left: one that has closed only its side of the connection
// would otherwise get the empty success that the HTTP server sends for a handler that writes nothing.
func (x *exchange) finish(ctx context.Context, w http.ResponseWriter, result *codes.Result) {
	took := time.Since(x.Arrived)
	result = x.correctOutcome(result)
	if result == nil {
		x.log.Info("answered", zap.Duration("took", took), zap.Int("sends", x.sends), zap.Strings("servers", x.tried),
			zap.Int("events", x.passed.count), zap.String("first-event", x.passed.firstID), zap.String("last-event", x.passed.lastID),
			zap.String("framing", string(x.passed.framing)))
		x.server.options.Meter.CountAnswer(x.route.Name, "answered", took)
		return
	}
	if ctx.Err() != nil && result.Code == codes.Canceled {
		x.log.Info("caller-left", zap.Duration("took", took), zap.Int("sends", x.sends), zap.Strings("servers", x.tried))
		x.server.options.Meter.CountAnswer(x.route.Name, "caller-left", took)
		WriteResult(w, result)
		return
	}
	x.log.Warn("failed", zap.String("team", x.Decision.Team), zap.Int("rank", int(x.Decision.Rank)), zap.String("code", result.Code.Name()), zap.String("outcome", string(result.Outcome)),
		zap.String("detail", result.Detail), zap.Duration("took", took), zap.Duration("retry-after", result.RetryAfter),
		zap.Int("sends", x.sends), zap.Strings("servers", x.tried))
	x.server.options.Meter.CountAnswer(x.route.Name, result.Code.Name(), took)
	WriteResult(w, result)
}

// correctOutcome replaces a result that states that the request did not run if an earlier attempt
// ran or may have run.
func (x *exchange) correctOutcome(result *codes.Result) *codes.Result {
	if result == nil || x.runs == 0 || result.Outcome != codes.OutcomeNotRun {
		return result
	}
	if result.Code == codes.Draining {
		return result.WithOutcome(codes.OutcomeUnknown).WithRetryAfter(0)
	}
	return codes.NewResult(codes.BackendLost, "an attempt may have run; then: "+result.Detail)
}

// remaining returns the time until the deadline of the request.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

func (x *exchange) newQuery() place.Query {
	return place.Query{
		Domain:      x.server.options.Domain,
		Region:      x.server.options.Region,
		Exclude:     slices.Concat(x.tried, x.listClosed()),
		Constraints: x.constraints(),
		ColdLimit:   x.coldLimit(),
		Team:        x.Decision.Team,
		Rank:        x.Decision.Rank,
		Generation: &place.Generation{
			Parts:           x.Parts,
			PromptTokens:    x.PromptTokens,
			MaxOutputTokens: x.MaxOutputTokens,
			LengthHint:      x.LengthHint,
			Staged:          x.isStaged(),
		},
	}
}

// isStaged reports whether the request needs results of stages.
func (x *exchange) isStaged() bool {
	for i := range min(len(x.route.Stages), len(x.ItemCounts)) {
		if x.ItemCounts[i] > 0 {
			return true
		}
	}
	return false
}

// end records the result of an attempt at its server.
func (x *exchange) end(server site.Server, result place.Result, took time.Duration, load *site.Load) {
	if x.reservation != nil {
		x.reservation.End(result)
		return
	}
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	s.getService(x.service).chooser.End(time.Now(), server.ID, result, took, load)
}
