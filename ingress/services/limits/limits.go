// Package limits tracks what backend servers state in their answers about the requests that they take:
// a rate limit, that they leave, or a pause. It counts the requests to servers with a rate limit. The
// ingresses tell each other the limits with their heartbeats.
package limits

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/avail"
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

// Meter records metrics of rate limits.
type Meter interface {
	// CountLimitedSend counts a request that is sent to a server with a rate limit.
	CountLimitedSend(service string)
	// SetLimitedServers sets the number of servers with a rate limit.
	SetLimitedServers(n int)
	// SetClosedServers sets the numbers of servers that leave and that are paused.
	SetClosedServers(leaving, paused int)
}

// Options are the settings of a Registry.
type Options struct {
	Meter Meter
	Log   *zap.Logger
	// OnLeaving, if set, is called once a server has said that it leaves.
	OnLeaving func()
}

// Registry holds what the backend servers state. It counts the requests that this ingress places at
// servers with a rate limit, or batches for them, on behalf of all ingresses. It is safe for concurrent
// use.
type Registry struct {
	meter     Meter
	log       *zap.Logger
	onLeaving func()

	// hasLimits is set while any server has a limit. Without one, requests are not delayed by lock.
	hasLimits atomic.Bool
	// hasClosed is set while any server leaves or is paused, for the same reason.
	hasClosed atomic.Bool

	lock    sync.Mutex
	limiter *quota.Limiter
	closed  *avail.Table
	// unread holds the names of the headers that were reported as not read, at most maxUnread.
	unread map[string]bool
	view   *state.View
	// servers holds the servers in the view by ID. It is nil until it is needed: views of large
	// deployments change often while no server states anything.
	servers map[string]site.Server
}

// NewRegistry returns a registry without statements.
func NewRegistry(o Options) *Registry {
	if o.OnLeaving == nil {
		o.OnLeaving = func() {}
	}
	return &Registry{
		meter: o.Meter, log: o.Log, onLeaving: o.OnLeaving, limiter: quota.NewLimiter(), closed: avail.NewTable(), unread: map[string]bool{},
		view: &state.View{},
	}
}

// SetView forgets what servers that are no longer in the view have stated.
func (r *Registry) SetView(v *state.View) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.view, r.servers = v, nil
	if r.limiter.IsEmpty() && r.closed.IsEmpty() {
		return
	}
	live := map[string]bool{}
	for id := range r.getServers() {
		live[id] = true
	}
	now := time.Now()
	r.limiter.Retain(now, live)
	r.countLimits()
	r.closed.Retain(now, live)
	r.countClosed(now)
}

// getServers returns the servers in the view by ID, with those that leave. The caller holds the lock.
func (r *Registry) getServers() map[string]site.Server {
	if r.servers != nil {
		return r.servers
	}
	r.servers = map[string]site.Server{}
	for service, servers := range r.view.Servers {
		for _, s := range servers {
			s.Service = service
			r.servers[s.ID] = s
		}
	}
	for _, s := range r.view.Leaving {
		r.servers[s.ID] = s
	}
	return r.servers
}

// countLimits updates the number of servers with a limit. The caller holds the lock.
func (r *Registry) countLimits() {
	n := r.limiter.CountLimits()
	r.hasLimits.Store(n > 0)
	r.meter.SetLimitedServers(n)
}

// ObserveSend records that a request is sent to a server. Request is the ID of the attempt, or empty
// for a call that produces results of stages.
func (r *Registry) ObserveSend(server site.Server, request string) {
	perSecond, limited := r.Find(&server)
	if !limited {
		return
	}
	r.meter.CountLimitedSend(server.Service)
	r.log.Info("limited-send", zap.String("server", server.ID), zap.String("service", server.Service),
		zap.String("request", request), zap.Float64("per-second", perSecond))
}

// ObserveAnswer records what an answer of a server states about its rate.
func (r *Registry) ObserveAnswer(server site.Server, a site.Answer) {
	if server.ID == "" || a.Status == http.StatusMisdirectedRequest {
		return // it is not known which server has answered, or another one now has the address
	}
	r.reportUnread(&server, a)
	r.observeClosure(&server, a)
	// A refusal, or a failure without the server's signature, may come from something in front of the
	// server that does not know its limit.
	withdraws := !a.NotRun && (a.Signed || a.Status < http.StatusMultipleChoices)
	if a.RateLimit.State == site.RateUnlimited && !withdraws {
		return
	}
	r.lock.Lock()
	changed := r.limiter.Observe(time.Now(), &server, a.RateLimit)
	if changed {
		r.countLimits()
	}
	r.lock.Unlock()
	if a.RateLimit.State == site.RateUnreadable {
		r.log.Warn("server-limit-unreadable", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("request", a.AttemptID))
	}
	if changed {
		r.log.Info("server-limit", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.Stringer("per-second", a.RateLimit), zap.String("request", a.AttemptID), zap.String("source", "answer"))
	}
}

// Find returns the requests per second that a server takes from all ingresses together.
func (r *Registry) Find(server *site.Server) (perSecond float64, limited bool) {
	if !r.hasLimits.Load() {
		return 0, false
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.limiter.Find(server)
}

// Allows reports whether a request to the server may be reserved now.
func (r *Registry) Allows(now time.Time, server *site.Server) bool {
	if !r.hasLimits.Load() {
		return true
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.limiter.Allows(now, server)
}

// NextAt returns when the rate of the server allows the next request.
func (r *Registry) NextAt(now time.Time, server *site.Server) time.Time {
	if !r.hasLimits.Load() {
		return now
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.limiter.NextAt(now, server)
}

// Reserve counts a request that is to be sent to the server.
func (r *Registry) Reserve(now time.Time, server *site.Server) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limiter.Reserve(now, server)
}

// MarkSent records that a reserved request is sent.
func (r *Registry) MarkSent(server *site.Server) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limiter.MarkSent(server)
}

// Cancel drops the reservation of a request that will not be sent.
func (r *Registry) Cancel(now time.Time, server *site.Server) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.limiter.Cancel(now, server)
}

// Take counts a request that an ingress sends to the server at once. If the limit does not allow it,
// Take returns how long the ingress is to wait before it asks again.
func (r *Registry) Take(now time.Time, server *site.Server, ingress string) (granted bool, retryAfter time.Duration) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.limiter.AllowsRetry(now, server) {
		return false, r.limiter.ScheduleRetry(now, server, ingress)
	}
	r.limiter.Reserve(now, server)
	r.limiter.MarkSent(server)
	r.limiter.RecordRetry(server, ingress)
	return true, 0
}

// ScheduleReturn returns how long a caller that was refused because of the limits of the given servers
// is to wait.
func (r *Registry) ScheduleReturn(now time.Time, servers []*site.Server) (wait time.Duration, limited bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.limiter.ScheduleReturn(now, servers)
}
