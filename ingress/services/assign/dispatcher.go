package assign

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/encode"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

// Peers is the connection to the other ingresses.
type Peers interface {
	// Rank lists the reachable ingresses in the order of their score for a key. The first one is
	// the placer that the key stands for.
	Rank(key string) []string
	// RankIn is Rank among the ingresses of a region, or all if the region is empty or has none.
	RankIn(region, key string) []string
	// Self is the name of this ingress.
	Self() string
	// Assign asks the named ingress to place a request.
	Assign(ctx context.Context, name string, a *wire.Assign) (*link.Assignment, error)
}

// Views provides the current view of the deployment.
type Views interface {
	View() *state.View
}

const (
	// assignTimeout limits how long another ingress may take to place a request: a round trip
	// between regions plus processing time.
	assignTimeout = 300 * time.Millisecond
	// keyPrefix precedes the service in the key by which its placer is chosen, so that placers are
	// chosen independently of batchers of other services.
	keyPrefix = "engines/"
)

// Dispatcher has each request placed by the placer of its service.
type Dispatcher struct {
	peers  Peers
	views  Views
	placer *Placer
	log    *zap.Logger

	lock sync.Mutex
	// hints stores, by service, at which engines this ingress's requests were placed.
	hints map[string]*place.Hints
	// informed is, by service, the name of the placer that received these hints last.
	informed map[string]string
}

// NewDispatcher returns a Dispatcher. It uses placer for the services whose placer is this
// ingress, and as a fallback if another placer cannot be reached.
func NewDispatcher(peers Peers, views Views, placer *Placer, log *zap.Logger) *Dispatcher {
	return &Dispatcher{
		peers: peers, views: views, placer: placer, log: log,
		hints: map[string]*place.Hints{}, informed: map[string]string{},
	}
}

// Place reserves an engine of a service for a request. If no engine accepts the request, it returns
// nil and, if that is because of rate limits, how long the caller is to wait.
func (d *Dispatcher) Place(ctx context.Context, service string, q place.Query) (r *Reservation, retryAfter time.Duration) {
	r, retryAfter = d.reserve(ctx, service, q)
	if r == nil {
		return nil, retryAfter
	}
	r.WasCold = r.server.IsCold(time.Now())
	_, r.WasLimited = d.placer.limits.Find(&r.server)
	if q.Generation != nil {
		d.recordHints(service, q.Generation.Parts, r.server.ID)
	}
	return r, 0
}

func (d *Dispatcher) reserve(ctx context.Context, service string, q place.Query) (*Reservation, time.Duration) {
	ranked := d.rankPlacers(service)
	if len(ranked) == 0 || ranked[0] == d.peers.Self() {
		return d.placeLocally(service, q)
	}
	reservation, retryAfter, err := d.placeAtPeer(ctx, ranked[0], service, q)
	if err == nil {
		return reservation, retryAfter
	}
	d.forgetInformed(service)
	d.log.Warn("placer-lost", zap.String("service", service), zap.String("ingress", ranked[0]), logs.Err(err))
	q.IsFallback = true
	return d.placeLocally(service, q)
}

func (d *Dispatcher) placeLocally(service string, q place.Query) (*Reservation, time.Duration) {
	d.placer.MergeHints(service, d.takeUnsentHints(service, d.peers.Self()))
	return d.placer.Place(service, q)
}

func (d *Dispatcher) recordHints(service string, parts []site.PromptPart, engineID string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	hints := d.hints[service]
	if hints == nil {
		hints = place.NewHints()
		d.hints[service] = hints
	}
	hints.Record(time.Now(), parts, engineID)
}

// takeUnsentHints returns the hints that a placer needs before it places its first request of a
// service, and records that it received them. A placer that received them last needs none, because
// it has placed all requests of this ingress since then.
func (d *Dispatcher) takeUnsentHints(service, placer string) []place.CacheHint {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.informed[service] == placer {
		return nil
	}
	d.informed[service] = placer
	hints := d.hints[service]
	if hints == nil {
		return nil
	}
	recent := hints.Recent(time.Now())
	d.log.Info("placer-changed", zap.String("service", service), zap.String("ingress", placer), zap.Int("cache-hints", len(recent)))
	return recent
}

// forgetInformed makes the next request send the hints again, because the call to the placer that
// received them last has failed.
func (d *Dispatcher) forgetInformed(service string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.informed, service)
}

func (d *Dispatcher) placeAtPeer(ctx context.Context, name, service string, q place.Query) (*Reservation, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	request := &wire.Assign{Service: service, Domain: q.Domain, Region: q.Region, Exclude: q.Exclude, Residency: encode.Residency(q.Constraints.Residency), Software: encode.Software(q.Constraints.Software), Withheld: q.Constraints.Withheld}
	if g := q.Generation; g != nil {
		request.PromptTokens = uint32(g.PromptTokens)       //nolint:gosec // read as a small number
		request.MaxOutputTokens = uint32(g.MaxOutputTokens) //nolint:gosec // read as a small number
		request.Staged = g.Staged
		for _, p := range g.Parts {
			request.Parts = append(request.Parts, &wire.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)}) //nolint:gosec // as above
		}
	}
	now := time.Now()
	for _, h := range d.takeUnsentHints(service, name) {
		request.CacheHints = append(request.CacheHints, &wire.CacheHint{Part: h.Part, ServerId: h.EngineID, AgeNanos: int64(now.Sub(h.LastUsed))})
	}
	assignment, err := d.peers.Assign(ctx, name, request)
	if err != nil {
		return nil, 0, err
	}
	answer := assignment.Answer
	if answer.GetServerId() == "" && answer.GetRetryAfterNanos() > 0 {
		assignment.Close()
		return nil, time.Duration(answer.GetRetryAfterNanos()), nil
	}
	server, found := FindServer(d.views.View(), service, answer.GetServerId())
	// A placer of an earlier program version does not know all constraints.
	if !found || !q.Constraints.Allow(&server, d.placer.regions[server.Domain]) {
		assignment.Close()
		q.IsFallback = true
		reservation, retryAfter := d.placer.Place(service, q)
		return reservation, retryAfter, nil
	}
	return &Reservation{server: server, PlacedBy: name, Wait: time.Duration(answer.GetWaitNanos()), FetchFrom: answer.GetFetchServerId(), remote: assignment}, 0, nil
}

// FindServer returns the server of a service with the given ID, if it accepts new work.
func FindServer(v *state.View, service, id string) (site.Server, bool) {
	for _, s := range v.Servers[service] {
		if s.ID == id {
			return s, true
		}
	}
	return site.Server{}, false
}

// ServeAssign places a request for another ingress and records its progress until the request or
// the stream ends.
func (d *Dispatcher) ServeAssign(stream net.Conn, reader *wire.Reader, a *wire.Assign) {
	if a.GetServerId() != "" {
		d.serveAdmit(stream, a)
		return
	}
	d.placer.MergeHints(a.GetService(), decodeHints(a))
	reservation, retryAfter := d.placer.Place(a.GetService(), decodeQuery(a))
	answer := &wire.Assigned{RetryAfterNanos: int64(retryAfter)}
	if reservation != nil {
		answer.ServerId = reservation.Server().ID
		answer.WaitNanos = int64(reservation.Wait)
		answer.FetchServerId = reservation.FetchFrom
	}
	if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Assigned{Assigned: answer}}); err != nil {
		d.log.Info("answer-lost", logs.Err(err))
	}
	if reservation == nil {
		return
	}
	// Releases the reservation if the stream ends before a result, for example because the other
	// ingress has failed.
	defer reservation.End(place.ResultCanceled)
	for {
		frame, err := reader.Next()
		if err != nil || frame.GetProgress() == nil {
			return
		}
		progress := frame.GetProgress()
		switch progress.GetState() {
		case stateSent:
			reservation.MarkSent()
		case stateAnswering:
			reservation.markAnswering(progress.GetPace())
		default:
			reservation.End(place.Result(progress.GetState()))
			return
		}
	}
}

func decodeHints(a *wire.Assign) []place.CacheHint {
	now := time.Now()
	hints := make([]place.CacheHint, 0, len(a.GetCacheHints()))
	for _, h := range a.GetCacheHints() {
		at := now.Add(-time.Duration(h.GetAgeNanos()))
		hints = append(hints, place.CacheHint{Part: h.GetPart(), EngineID: h.GetServerId(), LastUsed: at})
	}
	return hints
}

func decodeQuery(a *wire.Assign) place.Query {
	g := &place.Generation{
		PromptTokens: int(a.GetPromptTokens()), MaxOutputTokens: int(a.GetMaxOutputTokens()), Staged: a.GetStaged(),
	}
	for _, p := range a.GetParts() {
		g.Parts = append(g.Parts, site.PromptPart{ID: p.GetId(), Tokens: int(p.GetTokens())})
	}
	return place.Query{
		Domain: a.GetDomain(), Region: a.GetRegion(), Exclude: a.GetExclude(), Generation: g,
		Constraints: site.Constraints{Residency: encode.ReadResidency(a.GetResidency()), Software: encode.ReadSoftware(a.GetSoftware()), Withheld: a.GetWithheld()},
	}
}
