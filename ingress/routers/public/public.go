// Package public is the HTTP front of an ingress. In: callers' connections.
// Out: requests for the flow service, and refusals of what cannot be read or
// is not allowed.
package public

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/flow"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// Codec reads the headers of a request.
type Codec interface {
	ReadRequest(h http.Header) site.Request
	// StripRequest removes what a caller must not set.
	StripRequest(h http.Header)
	// WriteRefusal marks a refusal with the attempt that it is for.
	WriteRefusal(h http.Header, id string)
}

// Views tells what is known of the deployment.
type Views interface {
	View() *state.View
}

// Flow serves a request that is let through.
type Flow interface {
	Serve(ctx context.Context, w http.ResponseWriter, q *flow.Request)
}

// Doorman knows whether the process is stopping.
type Doorman interface {
	AdmitWork(id string) bool
	// AdmitLastResort is asked for work that no other ingress takes and that ends within bound.
	AdmitLastResort(id string, bound time.Duration) bool
	EndWork(id string)
	IsLeaving() bool
}

// Peers knows the other ingresses.
type Peers interface {
	// IsAlone tells whether none of them takes new requests.
	IsAlone() bool
}

// Store knows how well the platform's store answers.
type Store interface {
	// OwnSilence returns how long the store has not answered this ingress, from its start at the earliest.
	OwnSilence() time.Duration
}

// Options are the settings of a Router.
type Options struct {
	Peers   Peers
	Store   Store
	Codec   Codec
	Views   Views
	Flow    Flow
	Doorman Doorman
	Log     *zap.Logger
}

// Router reads requests and checks whether they may be served.
type Router struct {
	options Options
	count   atomic.Uint64
}

// NewRouter returns a router.
func NewRouter(options Options) *Router {
	return &Router{options: options}
}

const (
	// defaultBody bounds a body before a configuration says so.
	defaultBody = 4 << 20
	// notReadyPause is told to callers before the first configuration is known, when the
	// store answers: it comes with one of the next answers.
	notReadyPause = 500 * time.Millisecond
	// outagePause is told in place of that when the store has been silent for outageAfter,
	// many times what an answer takes. An outage lasts for seconds; callers that have one
	// retry left must not use it up while it does, and follow a pause for up to a third
	// of the time that they have left.
	outagePause = 2 * time.Second
	outageAfter = 400 * time.Millisecond
	// drainingPause is told to callers of a stopping process: another one takes them at once.
	drainingPause = 50 * time.Millisecond
	// alonePause is told where no other one does: a stop and a start take seconds, and
	// callers follow a pause for up to a third of the time that they have left.
	alonePause = 2 * time.Second
)

// ServeHTTP answers one request.
func (t *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request := t.options.Codec.ReadRequest(r.Header)
	work := fmt.Sprintf("%s/%d", request.AttemptID, t.count.Add(1))
	admitted := t.options.Doorman.AdmitWork(work)
	if t.options.Doorman.IsLeaving() {
		w.Header().Set("Connection", "close")
	}
	if !admitted && !t.options.Peers.IsAlone() {
		t.refuse(w, r, request, codes.NewResult(codes.Draining, "stopping").WithRetryAfter(drainingPause))
		return
	}
	defer t.options.Doorman.EndWork(work)
	q, result := t.read(w, r, request, arrived)
	if result == nil && !admitted && !t.admitLast(work, q) {
		result = codes.NewResult(codes.Draining, "stopping, as all others").WithRetryAfter(alonePause)
	}
	if result != nil {
		t.refuse(w, r, request, result)
		return
	}
	t.options.Flow.Serve(r.Context(), w, q)
}

// admitLast takes a request of a plain service while all ingresses are stopping. It has
// its final answer by its route's time; a stream that has begun has no such bound.
func (t *Router) admitLast(work string, q *flow.Request) bool {
	route := q.Decision.Route
	bound := route.Timeout
	if q.CallerTimeout > 0 && (bound == 0 || q.CallerTimeout < bound) {
		bound = q.CallerTimeout
	}
	return route.Kind != site.KindStream && bound > 0 && t.options.Doorman.AdmitLastResort(work, bound)
}

// read checks the request and takes its body. The check comes first: what is
// not allowed is refused before its body is awaited.
func (t *Router) read(w http.ResponseWriter, r *http.Request, request site.Request, arrived time.Time) (*flow.Request, *codes.Result) {
	view := t.options.Views.View()
	if view.Table == nil {
		return nil, t.refuseUnready()
	}
	target := r.RequestURI
	path, _, _ := strings.Cut(target, "?")
	grant := view.Table.Check(r.Host, path, request.Key)
	switch grant.Verdict {
	case access.NoRoute:
		return nil, codes.NewResult(codes.UnknownRoute, "no route for "+r.Host+path)
	case access.UnknownKey:
		return nil, codes.NewResult(codes.BadToken, "the key is of no team")
	}
	limit := view.Table.Config().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, describeBody(err)
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
		Arrived:  arrived,
		Decision: grant,
		View:     view,
	}, nil
}

// refuseUnready tells when to come back to an ingress that has no configuration yet.
func (t *Router) refuseUnready() *codes.Result {
	if silence := t.options.Store.OwnSilence(); silence > outageAfter {
		detail := fmt.Sprintf("no configuration yet, and no answer of the store for %v", silence.Round(time.Millisecond))
		return codes.NewResult(codes.NotReady, detail).WithRetryAfter(outagePause)
	}
	return codes.NewResult(codes.NotReady, "no configuration yet").WithRetryAfter(notReadyPause)
}

func describeBody(err error) *codes.Result {
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return codes.NewResult(codes.BodyTooLarge, "the body is too long")
	}
	return codes.NewResult(codes.BadRequest, "the body ended early")
}

func (t *Router) refuse(w http.ResponseWriter, r *http.Request, request site.Request, result *codes.Result) {
	t.options.Log.Info("not-admitted", zap.String("request", request.AttemptID), zap.String("host", r.Host),
		zap.String("path", r.URL.Path), zap.String("code", result.Code.Name()), zap.String("detail", result.Detail),
		zap.Uint64("config", t.options.Views.View().Version()))
	t.options.Codec.WriteRefusal(w.Header(), request.AttemptID)
	flow.WriteResult(w, result)
}
