// Package admin is the HTTP router of the admin API, which operators use.
package admin

import (
	"context"
	"net/http"
	"time"

	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/entry/services/explan"
	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

// Changes changes the configuration.
type Changes interface {
	Apply(ctx context.Context, o change.ApplyOptions) head.Answer
	SetLabels(ctx context.Context, author change.Author, l admapi.LabelChange) head.Answer
}

// Lookups queries the configuration and its history.
type Lookups interface {
	FindDocuments(kind config.Kind, name string) (admapi.Config, error)
	FindAcceptedChanges(ctx context.Context) ([]config.AcceptedChange, error)
	GetAcceptedChange(ctx context.Context, change string) (*config.AcceptedChange, error)
}

// Snapshots provides the configuration in force, which includes the operators and their tokens.
type Snapshots interface {
	// Snapshot returns nil while this process has no configuration.
	Snapshot() *config.Snapshot
}

// Statuses provides the status of the system as observed by this entry.
type Statuses interface {
	GetStatus(ctx context.Context) (admapi.Status, error)
}

// Drains drains instances, so that no work is routed to them, and undoes drains.
type Drains interface {
	SetDrain(ctx context.Context, author change.Author, instance string, c admapi.DrainChange) head.Answer
}

// Explanations explains how work would be routed.
type Explanations interface {
	Explain(ctx context.Context, q explan.Query) (admapi.Explanation, error)
}

// Claims reads and resolves claims of non-idempotent calls.
type Claims interface {
	GetClaimByKey(ctx context.Context, team, key string) (admapi.Claim, error)
	ResolveClaim(ctx context.Context, operator, team, key string, r admapi.ClaimResolution) (admapi.Claim, error)
}

// Event describes one handled request for the log.
type Event struct {
	RequestID string
	Operator  string
	Method    string
	Path      string
	Status    int
	Duration  time.Duration
}

// Options are the dependencies and settings of a Router. Statuses, Drains, Explanations and Claims
// may be nil; the router then refuses the requests that need them.
type Options struct {
	Changes      Changes
	Lookups      Lookups
	Snapshots    Snapshots
	Statuses     Statuses
	Drains       Drains
	Explanations Explanations
	Claims       Claims
	// BootstrapSHA256 is the SHA-256 digest in hex of the bootstrap token, which is valid while no
	// configuration exists; empty: there is no bootstrap token.
	BootstrapSHA256 string
	// Log is called after each request; nil: requests are not logged.
	Log func(Event)
}

// Router authorizes the requests of operators and passes them to the services.
type Router struct {
	options Options
	mux     *http.ServeMux
}

// NewRouter returns a router.
func NewRouter(o Options) *Router {
	o.fillStubs()
	r := &Router{options: o, mux: http.NewServeMux()}
	for _, route := range r.routes() {
		r.mux.Handle(route.pattern, r.guard(route))
	}
	return r
}

// ServeHTTP serves one request.
func (r *Router) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mux.ServeHTTP(w, q)
}

// route is one method and path of the API.
type route struct {
	pattern string
	// role is config.RoleChange if only operators with that role may use the route.
	role   config.Role
	handle func(w http.ResponseWriter, c *call)
}

// routes returns all routes of the API.
func (r *Router) routes() []route {
	return []route{
		{"PUT /admin/v1/changes/{id}", config.RoleChange, r.putChange},
		{"GET /admin/v1/changes/{id}", config.RoleRead, r.getChange},
		{"POST /admin/v1/labels", config.RoleChange, r.postLabels},
		{"GET /admin/v1/config", config.RoleRead, r.getConfig},
		{"GET /admin/v1/config/{kind}", config.RoleRead, r.getConfig},
		{"GET /admin/v1/config/{kind}/{name}", config.RoleRead, r.getConfig},
		{"GET /admin/v1/history", config.RoleRead, r.getHistory},
		{"GET /admin/v1/status", config.RoleRead, r.getStatus},
		{"GET /admin/v1/explain", config.RoleRead, r.getExplanation},
		{"POST /admin/v1/drains/{instance}", config.RoleChange, r.postDrain},
		{"GET /admin/v1/claims/{team}/{key}", config.RoleRead, r.getClaim},
		{"POST /admin/v1/claims/{team}/{key}", config.RoleChange, r.postClaim},
		{"/", config.RoleRead, r.refuseUnknownRoute},
	}
}
