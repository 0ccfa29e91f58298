// Package caller is the HTTP router of the API for callers. It serves requests of pipelines and
// calls of plain services.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/direct"
	"verbenaroad.example/entry/services/walk"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/httpd"
	"verbenaroad.example/share/modules/spans"
)

// The request headers with which a caller sets the deadline, priority and idempotency key, and the
// response header with the id of the request.
const (
	HeaderDeadline       = "Verbena-Deadline"
	HeaderPriority       = "Verbena-Priority"
	HeaderRequestID      = "Verbena-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	bearerPrefix    = "Bearer "
	eventStreamType = "text/event-stream"
	maxKeyBytes     = 255
	// maxHeaderBytes limits one header value, maxHeadersBytes the names and values of all headers.
	maxHeaderBytes  = 4096
	maxHeadersBytes = 32 << 10
	requestIDBytes  = 12
	minDeadline     = time.Millisecond
)

// Admission decides which requests run while the process is stopping.
type Admission interface {
	// AdmitWork reports whether a request may run. A request that may run delays the stop until
	// EndWork is called with its id.
	AdmitWork(id string) bool
	EndWork(id string)
	// Answers returns a context that ends when answers must end, shortly before the process does.
	Answers() context.Context
}

// Options are the dependencies and settings of a Router.
type Options struct {
	Configuration calls.Configuration
	Walker        *walk.Walker
	Direct        *direct.Caller
	Admission     Admission
	Tracer        *spans.Tracer
	Log           *zap.Logger
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int
}

// Router authenticates the requests of callers, passes them to the walker or the direct caller, and
// writes the answers.
type Router struct {
	options Options
	results *Results
}

// NewRouter returns a router.
func NewRouter(options Options) *Router {
	return &Router{options: options, results: NewResults()}
}

// GetResults returns the counts of requests by result code.
func (r *Router) GetResults() *Results { return r.results }

// NewHandler returns a handler that serves all paths of the API.
func (r *Router) NewHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}", r.serve(r.servePipeline))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.serve(r.serveService))
	mux.HandleFunc("/v1/services/{service}", r.serveUnknownRoute) // without it the mux redirects to the path with a slash
	mux.HandleFunc("/", r.serveUnknownRoute)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !isCanonicalPath(request.URL.Path) {
			r.serveUnknownRoute(w, request)
			return
		}
		mux.ServeHTTP(w, request)
	})
}

// isCanonicalPath reports whether the path is in canonical form, with or without a trailing slash.
// The mux redirects all other paths, and a client that follows the redirect may send a
// non-idempotent request a second time.
func isCanonicalPath(requestPath string) bool {
	if !strings.HasPrefix(requestPath, "/") {
		return false
	}
	return strings.TrimSuffix(path.Clean(requestPath), "/") == strings.TrimSuffix(requestPath, "/")
}

// exchange is one request with its response writer.
type exchange struct {
	id       string
	writer   http.ResponseWriter
	request  *http.Request
	snapshot *config.Snapshot
	team     *config.Team
	priority config.Priority
	// deadline is the duration that the caller set; 0: the default of the pipeline or service.
	deadline time.Duration
	started  time.Time
	body     []byte
}

// handler serves one request. It returns nil if it has written the answer, else the result with
// which the request ends. finish writes that result unless its detail is sentInEndEvent.
type handler func(ctx context.Context, x *exchange) *codes.Result

// serveUnknownRoute answers a request whose method or path is not part of the API.
func (r *Router) serveUnknownRoute(w http.ResponseWriter, request *http.Request) {
	x := &exchange{id: newRequestID(), writer: w, request: request, started: time.Now()}
	w.Header().Set(HeaderRequestID, x.id)
	r.finish(x, codes.NewResult(codes.UnknownRoute, "see docs/CALLER-API.md for methods and paths"))
}

// Refuse returns the answer to a request that the HTTP server refused before it reached the router.
func (r *Router) Refuse(reason httpd.Reason, detail string) (status int, body []byte) {
	result := codes.NewResult(httpd.CodeOf(reason), detail)
	r.results.add(result)
	body, err := json.Marshal(newErrorBody(newRequestID(), result))
	if err != nil {
		body = nil
	}
	return codes.GetEntry(result.Code).Status, body
}

// serve returns the HTTP handler of a route. It does what all routes have in common: admission,
// tracing, authentication, limits and the final result.
func (r *Router) serve(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		x := &exchange{id: newRequestID(), writer: w, request: request, started: time.Now()}
		w.Header().Set(HeaderRequestID, x.id)
		if !r.options.Admission.AdmitWork(x.id) {
			w.Header().Set("Connection", "close")
			r.writeResult(x, codes.NewResult(codes.Draining, "the instance is stopping"))
			return
		}
		defer r.options.Admission.EndWork(x.id)
		ctx := r.options.Tracer.Extract(request.Context(), request.Header.Get("traceparent"))
		ctx, span := r.options.Tracer.Start(ctx, "entry.request", attribute.String("request-id", x.id))
		defer span.End()
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		defer context.AfterFunc(r.options.Admission.Answers(), func() { cancel(errStopping) })()
		result := r.prepare(ctx, x)
		if result == nil {
			result = describeStop(ctx, next(ctx, x))
		}
		r.finish(x, result)
		if result != nil {
			span.SetAttributes(attribute.Int("code", int(result.Code)))
		}
	}
}

// errStopping is the cause of the end of a request that the process can't serve to its end.
var errStopping = errors.New("the instance stops")

// describeStop replaces the result of a request that was canceled because the process stops: its caller is still waiting. It
// returns any other result unchanged.
func describeStop(ctx context.Context, result *codes.Result) *codes.Result {
	if result == nil || result.Code != codes.Canceled || !errors.Is(context.Cause(ctx), errStopping) {
		return result
	}
	if result.Outcome == codes.OutcomeNotRun {
		return codes.NewResult(codes.Draining, "the instance stopped before the request ran")
	}
	return codes.NewResult(codes.BackendLost, "the instance stopped before the answer was complete")
}

// prepare authenticates the team and reads the priority, the deadline and the body. It returns a
// result if the request is refused.
func (r *Router) prepare(ctx context.Context, x *exchange) *codes.Result {
	snapshot, refusal := r.options.Configuration.GetUsable(ctx)
	if refusal != nil {
		return refusal
	}
	x.snapshot = snapshot
	if result := checkHeaders(x.request.Header); result != nil {
		return result
	}
	token, found := strings.CutPrefix(x.request.Header.Get("Authorization"), bearerPrefix)
	if !found {
		return codes.NewResult(codes.BadToken, "send the team's token as Authorization: Bearer")
	}
	x.team = snapshot.GetTeamByToken(token)
	if x.team == nil {
		return codes.NewResult(codes.BadToken, "no team has this token")
	}
	if result := x.readPriority(); result != nil {
		return result
	}
	if result := x.readDeadline(); result != nil {
		return result
	}
	return r.readBody(x)
}

func checkHeaders(header http.Header) *codes.Result {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value)
			if len(value) > maxHeaderBytes || total > maxHeadersBytes {
				return codes.NewResult(codes.HeaderTooLarge, name+" is too long")
			}
		}
	}
	if len(header.Get(HeaderIdempotencyKey)) > maxKeyBytes {
		return codes.NewResult(codes.HeaderTooLarge, HeaderIdempotencyKey+" is longer than 255 bytes")
	}
	return nil
}

// readPriority sets the priority to the requested one if that is lower than the team's, and to the
// team's otherwise.
func (x *exchange) readPriority() *codes.Result {
	x.priority = x.team.Priority
	requested := config.Priority(x.request.Header.Get(HeaderPriority))
	switch requested {
	case "":
		return nil
	case config.PriorityUrgent, config.PriorityNormal, config.PriorityBatch:
	default:
		return codes.NewResult(codes.BadRequest, HeaderPriority+": want urgent, normal or batch")
	}
	if requested.Rank() > x.team.Priority.Rank() {
		x.priority = requested
	}
	return nil
}

func (x *exchange) readDeadline() *codes.Result {
	text := x.request.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline < minDeadline {
		return codes.NewResult(codes.BadDeadline, HeaderDeadline+": want a duration such as 2500ms")
	}
	x.deadline = deadline
	return nil
}

// deadlineAt returns the time by which the request must be answered. limit is the default duration
// of the pipeline or service; a caller can shorten it but not extend it.
func (x *exchange) deadlineAt(limit time.Duration) time.Time {
	if x.deadline > 0 && (limit <= 0 || x.deadline < limit) {
		limit = x.deadline
	}
	return x.started.Add(limit)
}

func (r *Router) readBody(x *exchange) *codes.Result {
	limit := int64(r.options.MaxBodyBytes)
	if x.request.ContentLength > limit {
		return codes.NewResult(codes.BodyTooLarge, "the body is over the limit")
	}
	body, err := io.ReadAll(io.LimitReader(x.request.Body, limit+1))
	if err != nil {
		return codes.NewResult(codes.BadRequest, err.Error())
	}
	if int64(len(body)) > limit {
		return codes.NewResult(codes.BodyTooLarge, "the body is over the limit")
	}
	x.body = body
	return nil
}

func newRequestID() string {
	id := make([]byte, requestIDBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// acceptsEvents reports whether the caller accepts server-sent events.
func (x *exchange) acceptsEvents() bool {
	return strings.Contains(x.request.Header.Get("Accept"), eventStreamType)
}
