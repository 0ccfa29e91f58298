// Package public is the HTTP handler of an ingress for callers. It reads a request, checks whether it
// is allowed and passes it to the flow service. It refuses requests that cannot be read or are not
// allowed.
package public

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// Codec reads and writes the system's own headers.
type Codec interface {
	ReadRequest(h http.Header) site.Request
	// StripRequest removes the headers that a caller must not set.
	StripRequest(h http.Header)
	// WriteRefusal adds the id of the refused attempt to the headers of the answer.
	WriteRefusal(h http.Header, id string)
}

// Views provides the current view of the deployment.
type Views interface {
	View() *state.View
}

// Flow serves an admitted request.
type Flow interface {
	Serve(ctx context.Context, w http.ResponseWriter, q *flow.Request)
}

// Admission decides which requests run while the process is stopping.
type Admission interface {
	// AdmitWork reports whether a request may run. A request that may run delays the stop until
	// EndWork is called with its id.
	AdmitWork(id string) bool
	// AdmitLastResort reports whether a request that AdmitWork refused may run after all, because
	// no other ingress takes it. The request ends within limit.
	AdmitLastResort(id string, limit time.Duration) bool
	EndWork(id string)
	// IsLeaving reports whether the process is stopping.
	IsLeaving() bool
	// Sends returns a context that ends when requests are no longer sent to backend servers.
	Sends() context.Context
}

// Peers provides the state of the other ingresses.
type Peers interface {
	// IsAlone reports whether no other ingress takes new requests.
	IsAlone() bool
}

// StoreStatus reports whether the platform's store responds.
type StoreStatus interface {
	// OwnSilence returns the time since the store last answered this ingress, or since this ingress
	// started if the store has never answered it.
	OwnSilence() time.Duration
}

// Options are the settings of a Router.
type Options struct {
	Peers       Peers
	StoreStatus StoreStatus
	Codec       Codec
	Views       Views
	Flow        Flow
	Admission   Admission
	// Memory limits what all requests hold together.
	Memory *memory.Budget
	Log    *zap.Logger
}

// Router reads requests, checks whether they are allowed, and serves or refuses them.
type Router struct {
	options Options
	// count is the number of requests so far. It makes the ids for Admission unique.
	count atomic.Uint64
}

// NewRouter returns a router.
func NewRouter(options Options) *Router {
	return &Router{options: options}
}

const (
	// defaultBodyLimit is the size limit of a body if the configuration sets none.
	defaultBodyLimit = 4 << 20
	// startRetryAfter is the Retry-After of an ingress that has no configuration yet while the store
	// answers: one of the next answers will contain the configuration.
	startRetryAfter = 500 * time.Millisecond
	// outageRetryAfter is used in place of startRetryAfter if the store has not answered for
	// outageThreshold, many times the usual response time. An outage lasts for seconds, and a caller
	// with one retry left must not spend it during the outage. Callers respect a Retry-After of up to
	// a third of their remaining time.
	outageRetryAfter = 2 * time.Second
	outageThreshold  = 400 * time.Millisecond
	// memoryRetryAfter is the Retry-After of an ingress without memory for the body of a request. Most
	// requests end within a second, and another ingress may take the next attempt.
	memoryRetryAfter = 300 * time.Millisecond
)

// ServeHTTP serves or refuses one request. It panics if the answer breaks off; the HTTP server then closes the connection.
func (t *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	setLinger(r, lingerReset)
	t.serve(w, r)
	setLinger(r, lingerClose)
}

func (t *Router) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request := t.options.Codec.ReadRequest(r.Header)
	workID := fmt.Sprintf("%s/%d", request.AttemptID, t.count.Add(1))
	admitted := t.options.Admission.AdmitWork(workID)
	answer := &leavingWriter{ResponseWriter: w, admission: t.options.Admission}
	if !admitted && !t.options.Peers.IsAlone() {
		t.refuse(answer, r, request, access.Decision{}, codes.NewResult(codes.Draining, "stopping").WithRetryAfter(flow.StoppingRetryAfter(false)))
		return
	}
	defer t.options.Admission.EndWork(workID)
	account := t.options.Memory.NewAccount()
	defer account.Close()
	q, decision, result := t.read(w, r, request, arrived, account)
	if result == nil && !admitted && !t.admitLastResort(workID, q) {
		result = codes.NewResult(codes.Draining, "stopping, as all others").WithRetryAfter(flow.StoppingRetryAfter(true))
	}
	if result != nil {
		t.refuse(answer, r, request, decision, result)
		return
	}
	t.options.Flow.Serve(r.Context(), answer, q)
}

// leavingWriter asks the caller to close its connection if the process is stopping when the answer begins.
//
// Guards against a caller that keeps its connection after an answer to a request from before the stop, and sends the next
// one when the connection is closed.
type leavingWriter struct {
	http.ResponseWriter
	admission Admission
}

// WriteHeader implements http.ResponseWriter.
func (w *leavingWriter) WriteHeader(status int) {
	if w.admission.IsLeaving() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// admitLastResort reports whether a request may run although all ingresses are stopping. Only
// requests with a time limit can be admitted: such a request has its final answer within the timeout
// of its route or of its caller. A stream that has begun has no such limit.
func (t *Router) admitLastResort(workID string, q *flow.Request) bool {
	route := q.Decision.Route
	limit := route.Timeout
	if q.CallerTimeout > 0 && (limit == 0 || q.CallerTimeout < limit) {
		limit = q.CallerTimeout
	}
	return route.Kind != site.KindStream && limit > 0 && t.options.Admission.AdmitLastResort(workID, limit)
}

// read checks whether a request is allowed and reads its body. It also returns the decision. A request that is not allowed is
// refused before its body is read.
func (t *Router) read(
	w http.ResponseWriter, r *http.Request, request site.Request, arrived time.Time, account *memory.Account,
) (*flow.Request, access.Decision, *codes.Result) {
	view := t.options.Views.View()
	if view.Table == nil {
		return nil, access.Decision{}, t.refuseUnready()
	}
	target := r.RequestURI
	path, _, _ := strings.Cut(target, "?")
	decision := view.Table.Check(r.Host, path, request.Key)
	switch decision.Verdict {
	case access.NoRoute:
		return nil, decision, codes.NewResult(codes.UnknownRoute, "no route for "+r.Host+path)
	case access.UnknownKey:
		return nil, decision, codes.NewResult(codes.BadToken, "the key is of no team")
	}
	limit := view.Table.Config().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	reader := &bodyReader{
		account: account, control: http.NewResponseController(w), limit: limit, stop: t.options.Admission.Sends(),
		until: arrived.Add(flow.FinalAnswerTimeout(decision.Route, request.CallerTimeout)),
	}
	body, err := reader.read(w, r)
	if err != nil {
		// The connection must not wait for the rest of the body.
		w.Header().Set("Connection", "close")
		return nil, decision, t.refuseBody(err)
	}
	header := r.Header.Clone()
	flow.StripConnection(header)
	t.options.Codec.StripRequest(header)
	return &flow.Request{
		Request:  request,
		Method:   r.Method,
		Target:   target,
		Host:     r.Host,
		Header:   header,
		Body:     body,
		Memory:   account,
		Arrived:  arrived,
		Decision: decision,
		View:     view,
	}, decision, nil
}

// refuseUnready returns the refusal of an ingress that has no configuration yet.
func (t *Router) refuseUnready() *codes.Result {
	if silence := t.options.StoreStatus.OwnSilence(); silence > outageThreshold {
		detail := fmt.Sprintf("no configuration yet, and no answer of the store for %v", silence.Round(time.Millisecond))
		return codes.NewResult(codes.NotReady, detail).WithRetryAfter(outageRetryAfter)
	}
	return codes.NewResult(codes.NotReady, "no configuration yet").WithRetryAfter(startRetryAfter)
}

// refuse answers a request that is not passed to Flow. The decision is empty if access was not checked.
func (t *Router) refuse(w http.ResponseWriter, r *http.Request, request site.Request, d access.Decision, result *codes.Result) {
	t.options.Log.Info("not-admitted", zap.String("request", request.AttemptID), zap.String("team", d.Team), zap.Int("rank", int(d.Rank)), zap.String("host", r.Host),
		zap.String("path", r.URL.Path), zap.String("code", result.Code.Name()), zap.String("detail", result.Detail),
		zap.Uint64("config", t.options.Views.View().Version()))
	t.options.Codec.WriteRefusal(w.Header(), request.AttemptID)
	flow.WriteResult(w, result)
}
