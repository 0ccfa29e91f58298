// Package config holds the operators' configuration: typed documents, the
// snapshot that decisions read, and the checks a change must pass.
package config

import (
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// ErrConfig is the class of errors of this package.
var ErrConfig = errs.Class("config") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Kind names a sort of document.
type Kind string

// The kinds of documents, in the order in which they are listed.
const (
	KindTeam     Kind = "team"
	KindPipeline Kind = "pipeline"
	KindService  Kind = "service"
	KindRule     Kind = "rule"
	KindPool     Kind = "pool"
	KindOperator Kind = "operator"
	KindLimits   Kind = "limits"
)

// Kinds returns every kind in listing order.
func Kinds() []Kind {
	return []Kind{KindTeam, KindPipeline, KindService, KindRule, KindPool, KindOperator, KindLimits}
}

// Duration is a time.Duration written as text such as "4s" in TOML and JSON.
type Duration time.Duration

// UnmarshalText reads a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return ErrConfig.New("duration %s: want a number with a unit such as 250ms", strconv.Quote(string(text)))
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration {
	return time.Duration(d)
}

// Priority is a class of work; a higher class goes first.
type Priority string

// The priority classes, highest first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityBatch  Priority = "batch"
)

// Rank returns 0 for the highest class; an unknown class ranks as normal.
func (p Priority) Rank() int {
	switch p {
	case PriorityUrgent:
		return 0
	case PriorityBatch:
		return 2
	default:
		return 1
	}
}

// Labels are the keys and values that selectors match.
type Labels map[string]string

// Team is a customer of the system; its callers carry its token.
type Team struct {
	// Name is unique among teams.
	Name string `toml:"name" json:"name"`
	// TokenSHA256 holds hex digests of the accepted tokens; two allow a change of token without a gap.
	TokenSHA256 []string `toml:"token-sha256" json:"token-sha256"`
	// Priority is the highest class the team's requests may ask for, and their default.
	Priority Priority `toml:"priority" json:"priority"`
	// Weight is the share in fair queueing against other teams of the class; at least 0.01.
	Weight float64 `toml:"weight" json:"weight"`
	// Rate is the limit in cost units per second over the whole system; 0: none.
	Rate float64 `toml:"rate" json:"rate,omitempty"`
	// Burst is how many cost units may be saved up; at least Rate when Rate is set.
	Burst float64 `toml:"burst" json:"burst,omitempty"`
	// Labels are matched by the caller selectors of rules, with team=<name> added.
	Labels Labels `toml:"labels" json:"labels,omitempty"`
}

// StageKind says how a stage's request and answer are made.
type StageKind string

// The stage kinds.
const (
	StageEncode   StageKind = "encode"
	StageRetrieve StageKind = "retrieve"
	StageRerank   StageKind = "rerank"
	StageGenerate StageKind = "generate"
)

// Stage is one step of a pipeline.
type Stage struct {
	// Name is unique within its pipeline.
	Name string `toml:"name" json:"name"`
	// Kind decides the call's shape.
	Kind StageKind `toml:"kind" json:"kind"`
	// Service names the service that runs the stage.
	Service string `toml:"service" json:"service"`
	// Model is passed to the backend server.
	Model string `toml:"model" json:"model,omitempty"`
	// Limit is the number of documents (retrieve, rerank) or tokens (generate).
	Limit int `toml:"limit" json:"limit,omitempty"`
	// Labels are matched by the stage selectors of rules, with stage, kind and pipeline added.
	Labels Labels `toml:"labels" json:"labels,omitempty"`
}

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	// Name is unique among pipelines.
	Name string `toml:"name" json:"name"`
	// Deadline is the default and the longest that a caller may ask for.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// Stages run in order; one to eight.
	Stages []Stage `toml:"stage" json:"stage"`
}

// ServiceKind says what stands behind a service's agents.
type ServiceKind string

// The service kinds.
const (
	ServiceEngine ServiceKind = "engine"
	ServicePool   ServiceKind = "pool"
	ServicePlain  ServiceKind = "plain"
)

// ServiceRoute is a call that a plain service offers to callers.
type ServiceRoute struct {
	// Method is an HTTP method.
	Method string `toml:"method" json:"method"`
	// Path is matched whole, or as a prefix when it ends in "/".
	Path string `toml:"path" json:"path"`
	// Idempotent is false where a second run would do harm; such calls need an Idempotency-Key.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
}

// Service is a set of interchangeable backend servers, each behind its agent.
type Service struct {
	// Name is unique among services.
	Name string `toml:"name" json:"name"`
	// Kind says what the backend servers are.
	Kind ServiceKind `toml:"kind" json:"kind"`
	// Deadline is the default and the longest for direct calls.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// RetryShare is the share of calls that may be retries, 0 to 1.
	RetryShare float64 `toml:"retry-share" json:"retry-share,omitempty"`
	// Routes are the calls open to callers; none for engines and pools used by stages only.
	Routes []ServiceRoute `toml:"route" json:"route,omitempty"`
	// Pool names the committed-spend pool that its runs count against; may be empty.
	Pool string `toml:"pool" json:"pool,omitempty"`
	// CheckpointLess engines cannot resume a preempted stream; their runs are never preempted.
	CheckpointLess bool `toml:"checkpoint-less" json:"checkpoint-less,omitempty"`
}

// Effect is what a rule does to the backend servers that it matches.
type Effect string

// The effects of a rule.
const (
	// EffectRequire drops every backend server that does not match.
	EffectRequire Effect = "require"
	// EffectPrefer adds the rule's weight to those that match.
	EffectPrefer Effect = "prefer"
	// EffectForbid drops every backend server that matches.
	EffectForbid Effect = "forbid"
)

// Rule says which work may run where and in what order of preference.
type Rule struct {
	// Name is unique among rules.
	Name string `toml:"name" json:"name"`
	// Caller, Stage and Server are label selectors in the Kubernetes syntax; an empty one matches all.
	Caller string `toml:"caller" json:"caller,omitempty"`
	Stage  string `toml:"stage" json:"stage,omitempty"`
	Server string `toml:"server" json:"server"`
	// Effect is applied where Caller and Stage match.
	Effect Effect `toml:"effect" json:"effect"`
	// Weight counts for EffectPrefer: 1 to 100.
	Weight int `toml:"weight" json:"weight,omitempty"`
}

// Pool is capacity with a minimum spend that is owed whether used or not.
type Pool struct {
	// Name is unique among pools.
	Name string `toml:"name" json:"name"`
	// Committed is the amount paid for, in cost units per second.
	Committed float64 `toml:"committed" json:"committed"`
	// Price is paid per committed cost unit; BeyondPrice per unit beyond it, in the deployment's currency.
	Price       float64 `toml:"price" json:"price"`
	BeyondPrice float64 `toml:"beyond-price" json:"beyond-price"`
	// BeyondPriority is the lowest class that may spend beyond the committed amount.
	BeyondPriority Priority `toml:"beyond-priority" json:"beyond-priority"`
}

// Role is what an operator may do.
type Role string

// The roles of operators.
const (
	RoleRead   Role = "read"
	RoleChange Role = "change"
)

// Operator may use the admin API.
type Operator struct {
	// Name is unique among operators and is written into the history.
	Name string `toml:"name" json:"name"`
	// TokenSHA256 is the hex digest of the operator's token.
	TokenSHA256 string `toml:"token-sha256" json:"token-sha256"`
	// Role bounds what the operator may do.
	Role Role `toml:"role" json:"role"`
}

// Limits holds the settings of the whole deployment; one document, named "deployment".
type Limits struct {
	// Name is always "deployment".
	Name string `toml:"name" json:"name"`
	// StaleAfter is how long a process serves without a confirmed configuration; 0: for ever.
	StaleAfter Duration `toml:"stale-after" json:"stale-after"`
	// ClaimRetention is how long the answer of a finished non-idempotent call can be had again.
	ClaimRetention Duration `toml:"claim-retention" json:"claim-retention"`
	// RegionOrder lists, for each region, the others from near to far; a missing region is equally far.
	RegionOrder map[string][]string `toml:"region-order" json:"region-order,omitempty"`
}

// Set is a whole configuration, or the documents of one change.
type Set struct {
	Teams     []Team     `toml:"team" json:"team,omitempty"`
	Pipelines []Pipeline `toml:"pipeline" json:"pipeline,omitempty"`
	Services  []Service  `toml:"service" json:"service,omitempty"`
	Rules     []Rule     `toml:"rule" json:"rule,omitempty"`
	Pools     []Pool     `toml:"pool" json:"pool,omitempty"`
	Operators []Operator `toml:"operator" json:"operator,omitempty"`
	Limits    []Limits   `toml:"limits" json:"limits,omitempty"`
}
