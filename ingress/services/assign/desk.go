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

// Peers reaches the other ingresses.
type Peers interface {
	// Rank lists the ingresses that can be reached, the one that places for a key first.
	Rank(key string) []string
	Self() string
	Assign(ctx context.Context, name string, a *wire.Assign) (*link.Assignment, error)
}

// Views tells what is known of the deployment.
type Views interface {
	View() *state.View
}

const (
	// askTimeout bounds asking another ingress: a way between regions and back, and some work there.
	askTimeout = 300 * time.Millisecond
	// keyPrefix has the ingress that places for a service chosen apart from those that batch.
	keyPrefix = "engines/"
)

// Desk gives each request a seat, from the ingress that places for its service.
type Desk struct {
	peers  Peers
	views  Views
	placer *Placer
	log    *zap.Logger

	lock sync.Mutex
	// hints and told are by service: where its requests went, and which ingress
	// that places was told so.
	hints map[string]*place.Hints
	told  map[string]string
}

// NewDesk returns a desk; placer places for the services that fall to this ingress.
func NewDesk(peers Peers, views Views, placer *Placer, log *zap.Logger) *Desk {
	return &Desk{
		peers: peers, views: views, placer: placer, log: log,
		hints: map[string]*place.Hints{}, told: map[string]string{},
	}
}

// Place returns a seat, or nil where no engine takes the request.
func (d *Desk) Place(ctx context.Context, service string, q place.Query) *Seat {
	seat := d.ask(ctx, service, q)
	if seat != nil {
		seat.WasCold = seat.server.IsCold(time.Now())
	}
	if seat != nil && q.Generation != nil {
		d.noteSeat(service, q.Generation.Parts, seat.Server().ID)
	}
	return seat
}

func (d *Desk) ask(ctx context.Context, service string, q place.Query) *Seat {
	ranked := d.peers.Rank(keyPrefix + service)
	if len(ranked) == 0 || ranked[0] == d.peers.Self() {
		return d.placeHere(service, q)
	}
	seat, err := d.askPeer(ctx, ranked[0], service, q)
	if err == nil {
		return seat
	}
	d.forgetTold(service)
	d.log.Warn("placer-lost", zap.String("service", service), zap.String("ingress", ranked[0]), logs.Err(err))
	q.IsFallback = true
	return d.placeHere(service, q)
}

func (d *Desk) placeHere(service string, q place.Query) *Seat {
	d.placer.Learn(service, d.takeHints(service, d.peers.Self()))
	return d.placer.Place(service, q)
}

func (d *Desk) noteSeat(service string, parts []site.PromptPart, engineID string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	hints := d.hints[service]
	if hints == nil {
		hints = place.NewHints()
		d.hints[service] = hints
	}
	hints.Record(time.Now(), parts, engineID)
}

// takeHints returns what an ingress that begins to place is to be told; nothing for one
// that was told already, since it has seen all requests from then on.
func (d *Desk) takeHints(service, placer string) []place.CacheHint {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.told[service] == placer {
		return nil
	}
	d.told[service] = placer
	hints := d.hints[service]
	if hints == nil {
		return nil
	}
	recent := hints.Recent(time.Now())
	d.log.Info("placer-changed", zap.String("service", service), zap.String("ingress", placer), zap.Int("cache-hints", len(recent)))
	return recent
}

// forgetTold has a placer that was lost told once more.
func (d *Desk) forgetTold(service string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.told, service)
}

func (d *Desk) askPeer(ctx context.Context, name, service string, q place.Query) (*Seat, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ask := &wire.Assign{Service: service, Domain: q.Domain, Region: q.Region, Exclude: q.Exclude, Residency: encode.Residency(q.Residency)}
	if g := q.Generation; g != nil {
		ask.PromptTokens = uint32(g.PromptTokens)       //nolint:gosec // read as a small number
		ask.MaxOutputTokens = uint32(g.MaxOutputTokens) //nolint:gosec // read as a small number
		ask.Staged = g.Staged
		for _, p := range g.Parts {
			ask.Parts = append(ask.Parts, &wire.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)}) //nolint:gosec // as above
		}
	}
	now := time.Now()
	for _, s := range d.takeHints(service, name) {
		ask.CacheHints = append(ask.CacheHints, &wire.CacheHint{Part: s.Part, ServerId: s.EngineID, AgeNanos: int64(now.Sub(s.LastUsed))})
	}
	got, err := d.peers.Assign(ctx, name, ask)
	if err != nil {
		return nil, err
	}
	server, found := FindServer(d.views.View(), service, got.Answer.GetServerId())
	if !found {
		got.Close()
		q.IsFallback = true
		return d.placer.Place(service, q), nil
	}
	return &Seat{server: server, By: name, Wait: time.Duration(got.Answer.GetWaitNanos()), FetchFrom: got.Answer.GetFetchServerId(), remote: got}, nil
}

// FindServer returns a server that takes new work.
func FindServer(v *state.View, service, id string) (site.Server, bool) {
	for _, s := range v.Servers[service] {
		if s.ID == id {
			return s, true
		}
	}
	return site.Server{}, false
}

// ServeAssign places a request for another ingress and follows it until its end.
func (d *Desk) ServeAssign(stream net.Conn, reader *wire.Reader, a *wire.Assign) {
	d.placer.Learn(a.GetService(), decodeHints(a))
	seat := d.placer.Place(a.GetService(), decodeQuery(a))
	answer := &wire.Assigned{}
	if seat != nil {
		answer.ServerId = seat.Server().ID
		answer.WaitNanos = int64(seat.Wait)
		answer.FetchServerId = seat.FetchFrom
	}
	if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Assigned{Assigned: answer}}); err != nil {
		d.log.Info("answer-lost", logs.Err(err))
	}
	if seat == nil {
		return
	}
	// A stream that ends without a word, as with its ingress, frees the seat too.
	defer seat.Ended(place.ResultCanceled)
	for {
		frame, err := reader.Next()
		if err != nil || frame.GetProgress() == nil {
			return
		}
		switch told := frame.GetProgress().GetState(); told {
		case stateSent:
			seat.Sent()
		case stateBegun:
			seat.Begun()
		default:
			seat.Ended(place.Result(told))
			return
		}
	}
}

func decodeHints(a *wire.Assign) []place.CacheHint {
	now := time.Now()
	hints := make([]place.CacheHint, 0, len(a.GetCacheHints()))
	for _, s := range a.GetCacheHints() {
		at := now.Add(-time.Duration(s.GetAgeNanos()))
		hints = append(hints, place.CacheHint{Part: s.GetPart(), EngineID: s.GetServerId(), LastUsed: at})
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
		Residency: encode.ReadResidency(a.GetResidency()),
	}
}
