// Package caller is the HTTP API for callers: pipelines and plain services.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
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

// The headers of the API beside the usual ones.
const (
	HeaderDeadline  = "Verbena-Deadline"
	HeaderPriority  = "Verbena-Priority"
	HeaderRequestID = "Verbena-Request-Id"
	HeaderKey       = "Idempotency-Key"
)

const (
	bearer          = "Bearer "
	eventStream     = "text/event-stream"
	maxKeyBytes     = 255
	maxHeaderBytes  = 4096
	maxHeadersBytes = 32 << 10
	requestIDBytes  = 12
	minimumDeadline = time.Millisecond
)

// Doorman admits work unless the instance is draining, and is told when it ends.
type Doorman interface {
	AdmitWork(id string) bool
	EndWork(id string)
}

// Options are the parts of a Router.
type Options struct {
	Configuration calls.Configuration
	Walker        *walk.Walker
	Direct        *direct.Caller
	Doorman       Doorman
	Tracer        *spans.Tracer
	Log           *zap.Logger
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int
}

// Router serves the API.
type Router struct {
	options Options
	results *Results
}

// NewRouter returns the router.
func NewRouter(options Options) *Router {
	return &Router{options: options, results: NewResults()}
}

// GetResults returns the figures of the API.
func (r *Router) GetResults() *Results { return r.results }

// NewHandler returns the API's routes.
func (r *Router) NewHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}", r.serve(r.servePipeline))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.serve(r.serveService))
	mux.HandleFunc("/v1/services/{service}", r.serveUnknown) // else the mux redirects it to the path with a slash
	mux.HandleFunc("/", r.serveUnknown)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !isPlainPath(request.URL.Path) {
			r.serveUnknown(w, request)
			return
		}
		mux.ServeHTTP(w, request)
	})
}

// isPlainPath tells whether the mux leaves the path alone. It redirects any
// other, and a caller that follows may send its order a second time.
func isPlainPath(given string) bool {
	if !strings.HasPrefix(given, "/") {
		return false
	}
	return strings.TrimSuffix(path.Clean(given), "/") == strings.TrimSuffix(given, "/")
}

// visit is one request on its way through the API.
type visit struct {
	id       string
	writer   http.ResponseWriter
	request  *http.Request
	snapshot *config.Snapshot
	team     *config.Team
	priority config.Priority
	// deadline is what the caller asked for; 0: the default of what is called.
	deadline time.Duration
	started  time.Time
	body     []byte
}

type handler func(ctx context.Context, v *visit) *codes.Result

func (r *Router) serveUnknown(w http.ResponseWriter, request *http.Request) {
	v := &visit{id: newRequestID(), writer: w, request: request, started: time.Now()}
	w.Header().Set(HeaderRequestID, v.id)
	r.finish(v, codes.NewResult(codes.UnknownRoute, "see docs/CALLER-API.md for methods and paths"))
}

// Refuse answers what the server could not hand to the router.
func (r *Router) Refuse(reason httpd.Reason, detail string) (status int, body []byte) {
	result := codes.NewResult(httpd.CodeOf(reason), detail)
	r.results.add(result)
	body, err := json.Marshal(newErrorBody(newRequestID(), result))
	if err != nil {
		body = nil
	}
	return codes.GetEntry(result.Code).Status, body
}

// serve does what all routes share: identity, limits, tracing and the final result.
func (r *Router) serve(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		v := &visit{id: newRequestID(), writer: w, request: request, started: time.Now()}
		w.Header().Set(HeaderRequestID, v.id)
		if !r.options.Doorman.AdmitWork(v.id) {
			w.Header().Set("Connection", "close")
			r.writeResult(v, codes.NewResult(codes.Draining, "the instance is stopping"))
			return
		}
		defer r.options.Doorman.EndWork(v.id)
		ctx := r.options.Tracer.Extract(request.Context(), request.Header.Get("traceparent"))
		ctx, span := r.options.Tracer.Start(ctx, "entry.request", attribute.String("request-id", v.id))
		defer span.End()
		result := r.identify(ctx, v)
		if result == nil {
			result = next(ctx, v)
		}
		r.finish(v, result)
		if result != nil {
			span.SetAttributes(attribute.Int("code", int(result.Code)))
		}
	}
}

// identify reads who calls, and with what deadline and priority.
func (r *Router) identify(ctx context.Context, v *visit) *codes.Result {
	snapshot, refusal := r.options.Configuration.GetUsable(ctx)
	if refusal != nil {
		return refusal
	}
	v.snapshot = snapshot
	if result := checkHeaders(v.request.Header); result != nil {
		return result
	}
	token, found := strings.CutPrefix(v.request.Header.Get("Authorization"), bearer)
	if !found {
		return codes.NewResult(codes.BadToken, "send the team's token as Authorization: Bearer")
	}
	v.team = snapshot.GetTeamByToken(token)
	if v.team == nil {
		return codes.NewResult(codes.BadToken, "no team has this token")
	}
	if result := v.readPriority(); result != nil {
		return result
	}
	if result := v.readDeadline(); result != nil {
		return result
	}
	return r.readBody(v)
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
	if len(header.Get(HeaderKey)) > maxKeyBytes {
		return codes.NewResult(codes.HeaderTooLarge, HeaderKey+" is longer than 255 bytes")
	}
	return nil
}

// readPriority lets a caller ask for its team's class or a lower one.
func (v *visit) readPriority() *codes.Result {
	v.priority = v.team.Priority
	asked := config.Priority(v.request.Header.Get(HeaderPriority))
	switch asked {
	case "":
		return nil
	case config.PriorityUrgent, config.PriorityNormal, config.PriorityBatch:
	default:
		return codes.NewResult(codes.BadRequest, HeaderPriority+": want urgent, normal or batch")
	}
	if asked.Rank() > v.team.Priority.Rank() {
		v.priority = asked
	}
	return nil
}

func (v *visit) readDeadline() *codes.Result {
	text := v.request.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline < minimumDeadline {
		return codes.NewResult(codes.BadDeadline, HeaderDeadline+": want a duration such as 2500ms")
	}
	v.deadline = deadline
	return nil
}

// deadlineAt returns when the answer must be there; a caller may shorten the default, not lengthen it.
func (v *visit) deadlineAt(most time.Duration) time.Time {
	if v.deadline > 0 && (most <= 0 || v.deadline < most) {
		most = v.deadline
	}
	return v.started.Add(most)
}

func (r *Router) readBody(v *visit) *codes.Result {
	limit := int64(r.options.MaxBodyBytes)
	if v.request.ContentLength > limit {
		return codes.NewResult(codes.BodyTooLarge, "the body is over the limit")
	}
	body, err := io.ReadAll(io.LimitReader(v.request.Body, limit+1))
	if err != nil {
		return codes.NewResult(codes.BadRequest, err.Error())
	}
	if int64(len(body)) > limit {
		return codes.NewResult(codes.BodyTooLarge, "the body is over the limit")
	}
	v.body = body
	return nil
}

func newRequestID() string {
	id := make([]byte, requestIDBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// accepts tells whether the caller wants server-sent events.
func (v *visit) acceptsEvents() bool {
	return strings.Contains(v.request.Header.Get("Accept"), eventStream)
}
