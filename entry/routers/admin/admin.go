// Package admin is the HTTP router of the operators' API.
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

// Changes are the commands on the configuration.
type Changes interface {
	Apply(ctx context.Context, o change.ApplyOptions) head.Answer
	SetLabels(ctx context.Context, author change.Author, l admapi.LabelChange) head.Answer
}

// Lookups are the queries of the configuration.
type Lookups interface {
	FindDocuments(kind config.Kind, name string) (admapi.Config, error)
	FindAcceptedChanges(ctx context.Context) ([]config.AcceptedChange, error)
	GetAcceptedChange(ctx context.Context, change string) (*config.AcceptedChange, error)
}

// Snapshots gives the configuration in force, which holds the operators.
type Snapshots interface {
	// Snapshot returns nil while there is none.
	Snapshot() *config.Snapshot
}

// Statuses shows the system as this entry sees it.
type Statuses interface {
	GetStatus(ctx context.Context) (admapi.Status, error)
}

// Drains takes an instance out of every choice, and lets it in again.
type Drains interface {
	SetDrain(ctx context.Context, author change.Author, instance string, c admapi.DrainChange) head.Answer
}

// Explanations tell why work would go where.
type Explanations interface {
	Explain(ctx context.Context, q explan.Query) (admapi.Explanation, error)
}

// Claims shows and settles claims of non-idempotent calls.
type Claims interface {
	GetClaimByKey(ctx context.Context, team, key string) (admapi.Claim, error)
	ResolveClaim(ctx context.Context, operator, team, key string, r admapi.ClaimResolution) (admapi.Claim, error)
}

// Event is one handled request, for the log.
type Event struct {
	RequestID string
	Operator  string
	Method    string
	Path      string
	Status    int
	Duration  time.Duration
}

// Options hold what the router needs.
type Options struct {
	Changes      Changes
	Lookups      Lookups
	Snapshots    Snapshots
	Statuses     Statuses
	Drains       Drains
	Explanations Explanations
	Claims       Claims
	// BootstrapSHA256 is the digest of the token that counts while no configuration exists; empty: none.
	BootstrapSHA256 string
	// Log is called after each request; nil: not at all.
	Log func(Event)
}

// Router serves the admin API.
type Router struct {
	options Options
	mux     *http.ServeMux
}

// NewRouter returns the router; parts left out of the options answer "not found".
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

// route is one entry of the table of routes.
type route struct {
	pattern string
	role    config.Role
	handle  func(w http.ResponseWriter, c *call)
}

// routes is the one table of the API.
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
		{"/", config.RoleRead, r.getNothing},
	}
}
