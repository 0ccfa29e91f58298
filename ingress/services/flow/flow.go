// Package flow takes one request from its admission to its final answer. In:
// a caller's request. Out: the backend server's answer unchanged, or a refusal
// that says whether the request ran.
package flow

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/pieces"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// Views tells what is known of the deployment.
type Views interface {
	View() *state.View
}

// Sender sends one attempt.
type Sender interface {
	Send(ctx context.Context, r reach.Request) (*reach.Reply, error)
	// Warm opens a connection ahead for the next attempt at a server.
	Warm(address netip.AddrPort)
}

// Maker has the results of stages made.
type Maker interface {
	ProduceChain(ctx context.Context, c pieces.Chain) (*pieces.Results, *codes.Result)
}

// Desk gives requests to engines their places.
type Desk interface {
	// Place returns nil where no engine takes the request.
	Place(ctx context.Context, service string, q place.Query) *assign.Reservation
}

// Peers tells which ingresses can be reached.
type Peers interface {
	// Rank lists them by their score for a key.
	Rank(key string) []string
	Self() string
}

// Screen knows the requests that crash the servers that run them.
type Screen interface {
	// IsQuarantined tells whether a request is to reach no server.
	IsQuarantined(id poison.ID) bool
	// TakeTrial tells whether a quarantined request is to be sent to one server after all.
	TakeTrial(ctx context.Context, id poison.ID) bool
	// NoteBroken notes an attempt that broke off its server, NoteServed a request that was answered whole.
	NoteBroken(id poison.ID, server site.Server, sent time.Time)
	NoteServed(id poison.ID)
}

// Meter counts what is served.
type Meter interface {
	CountAnswer(route, outcome string, took time.Duration)
	CountFirstEvent(route string, took time.Duration)
	CountRepeat(service, reason string)
}

// Options are the settings of a Server.
type Options struct {
	Views  Views
	Sender Sender
	Maker  Maker
	Desk   Desk
	Screen Screen
	Meter  Meter
	Log    *zap.Logger
	// Domain and Region are where this ingress stands, Regions where each failure domain does.
	Domain  string
	Region  string
	Regions map[string]string
	// Repeats bounds what is sent once more, Cold what reaches a cold server.
	Repeats budget.Settings
	Cold    cold.Settings
	Peers   Peers
}

// Server serves requests; its methods may be used by many goroutines.
type Server struct {
	options Options

	lock sync.Mutex
	// pools are by the name of their service.
	pools map[string]*pool
	// ingresses is the highest number of them seen lately.
	ingresses int
}

// pool is what this ingress knows of one service.
type pool struct {
	chooser *place.Chooser
	repeats *budget.Budget
}

// NewServer returns a server that knows no backend servers.
func NewServer(options Options) *Server {
	return &Server{options: options, pools: map[string]*pool{}}
}

// SetRepeats takes a new bound of repeats.
func (s *Server) SetRepeats(settings budget.Settings) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.options.Repeats = settings
	for _, p := range s.pools {
		p.repeats.SetSettings(settings)
	}
}

// TakeView takes the backend servers of a new view.
func (s *Server) TakeView(v *state.View) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ingresses = max(s.ingresses, len(v.Ingresses))
	for name := range v.Servers {
		s.getPool(name)
	}
	for name, p := range s.pools {
		p.chooser.SetServers(v.Servers[name])
	}
}

// getPool returns what is known of a service; called under the lock.
func (s *Server) getPool(service string) *pool {
	p := s.pools[service]
	if p == nil {
		p = &pool{chooser: place.NewChooser(s.options.Regions), repeats: budget.NewBudget(s.options.Repeats)}
		s.pools[service] = p
	}
	return p
}

// Request is what the router read of a caller's request.
type Request struct {
	site.Request
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// Grant is what the request may do, under the view that it was checked with.
	Grant access.Decision
	View  *state.View
}

// exchange is one request under way.
type exchange struct {
	*Request
	server  *Server
	route   *site.Route
	service string
	// digest is the same for all attempts of a request.
	digest poison.ID
	// trial is set where a quarantined request is sent to one server.
	trial bool
	log   *zap.Logger
	// ends is when the request must have its final answer.
	ends time.Time
	// seat is the place at an engine; nil for plain services.
	seat *assign.Reservation
	// tried holds the servers that had the request.
	tried []string
	// runs counts the attempts that ran or may have.
	runs int
	// sends counts what was sent to the service, refused attempts included.
	sends int
}

// defaultPatience stands for that of a caller that does not say how long it waits.
const defaultPatience = 30 * time.Second

// Serve answers one request.
func (s *Server) Serve(ctx context.Context, w http.ResponseWriter, q *Request) {
	x := s.newExchange(q)
	x.trial = s.options.Screen.IsQuarantined(x.digest) && s.options.Screen.TakeTrial(ctx, x.digest)
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

// refuseQuarantined returns the answer to a request that crashes servers; nil for any other.
func (x *exchange) refuseQuarantined() *codes.Result {
	if x.trial && x.sends == 0 || !x.server.options.Screen.IsQuarantined(x.digest) {
		return nil
	}
	return codes.NewResult(codes.Quarantined, "request "+string(x.digest)+" crashed the servers that ran it")
}

func (s *Server) newExchange(q *Request) *exchange {
	r := q.Grant.Route
	patience := q.CallerTimeout
	if patience == 0 {
		patience = defaultPatience
	}
	if r.Timeout > 0 {
		patience = min(patience, r.Timeout)
	}
	service := access.PickService(r, rand.Float64()) //nolint:gosec // a share of traffic, no secret
	path, _, _ := strings.Cut(q.Target, "?")
	return &exchange{
		Request: q,
		server:  s,
		route:   r,
		service: service,
		digest:  poison.NewID(q.Grant.Team, q.Host, path, q.Body),
		ends:    q.Arrived.Add(patience),
		log: s.options.Log.With(zap.String("request", q.AttemptID), zap.String("route", r.Name),
			zap.String("service", service), zap.Uint64("config", q.View.Version())),
	}
}

// finish answers what got no answer of a backend server, and logs the outcome.
func (x *exchange) finish(ctx context.Context, w http.ResponseWriter, result *codes.Result) {
	took := time.Since(x.Arrived)
	result = x.tellRuns(result)
	if result == nil {
		x.log.Info("answered", zap.Duration("took", took), zap.Int("sends", x.sends), zap.Strings("servers", x.tried))
		x.server.options.Meter.CountAnswer(x.route.Name, "answered", took)
		return
	}
	if ctx.Err() != nil && result.Code == codes.Canceled {
		x.log.Info("caller-left", zap.Duration("took", took), zap.Int("sends", x.sends), zap.Strings("servers", x.tried))
		x.server.options.Meter.CountAnswer(x.route.Name, "caller-left", took)
		return
	}
	x.log.Warn("failed", zap.String("code", result.Code.Name()), zap.String("outcome", string(result.Outcome)),
		zap.String("detail", result.Detail), zap.Duration("took", took), zap.Duration("retry-after", result.RetryAfter),
		zap.Int("sends", x.sends), zap.Strings("servers", x.tried))
	x.server.options.Meter.CountAnswer(x.route.Name, result.Code.Name(), took)
	WriteResult(w, result)
}

// tellRuns keeps a refusal true: after an attempt that ran or may have, whatever
// ended the request later, it is not answered as one that did not run.
func (x *exchange) tellRuns(result *codes.Result) *codes.Result {
	if result == nil || x.runs == 0 || result.Outcome != codes.OutcomeNotRun {
		return result
	}
	return codes.NewResult(codes.BackendLost, "an attempt may have run; then: "+result.Detail)
}

// left returns how long the request still has.
func (x *exchange) left() time.Duration { return time.Until(x.ends) }

// pick chooses the next backend server of a plain service and counts the request there.
func (x *exchange) pick() (site.Server, bool) {
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	p := s.getPool(x.service)
	now := time.Now()
	server, found := p.chooser.Pick(now, x.newQuery())
	if found {
		p.chooser.Start(now, server.ID)
	}
	return server, found
}

func (x *exchange) newQuery() place.Query {
	return place.Query{
		Domain:    x.server.options.Domain,
		Region:    x.server.options.Region,
		Exclude:   x.tried,
		Residency: x.residency(),
		ColdLimit: x.coldLimit(),
		Generation: &place.Generation{
			Parts:           x.Parts,
			PromptTokens:    x.PromptTokens,
			MaxOutputTokens: x.MaxOutputTokens,
			Staged:          x.isStaged(),
		},
	}
}

// isStaged tells whether results are to be made for the request.
func (x *exchange) isStaged() bool {
	for i := range min(len(x.route.Stages), len(x.ItemCounts)) {
		if x.ItemCounts[i] > 0 {
			return true
		}
	}
	return false
}

// mayRepeat takes one further arrival from the budget that all ingresses share.
func (x *exchange) mayRepeat(reason string) bool {
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	if !s.getPool(x.service).repeats.TakeRetries(time.Now(), 1, s.ingresses) {
		x.log.Info("repeat-denied", zap.String("reason", reason), zap.Int("ingresses", s.ingresses))
		return false
	}
	s.options.Meter.CountRepeat(x.service, reason)
	return true
}

func (x *exchange) countRequest() {
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	s.getPool(x.service).repeats.CountRequest(time.Now())
}

// end notes how an attempt ended at its server.
func (x *exchange) end(server site.Server, result place.Result, took time.Duration, load *site.Load) {
	if x.seat != nil {
		x.seat.End(result)
		return
	}
	s := x.server
	s.lock.Lock()
	defer s.lock.Unlock()
	s.getPool(x.service).chooser.End(time.Now(), server.ID, result, took, load)
}
