// Package config holds the configuration that operators maintain: its typed documents, the snapshot
// that requests are decided on, and the checks that a change must pass.
package config

import (
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// ErrConfig is the class of errors of this package.
var ErrConfig = errs.Class("config") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Kind is the type of a configuration document.
type Kind string

// The kinds of documents, in the order in which Kinds lists them.
const (
	KindTeam     Kind = "team"
	KindPipeline Kind = "pipeline"
	KindService  Kind = "service"
	KindRule     Kind = "rule"
	KindPool     Kind = "pool"
	KindOperator Kind = "operator"
	KindLimits   Kind = "limits"
)

// Kinds returns all kinds in the order in which documents are listed, compared and encoded.
func Kinds() []Kind {
	return []Kind{KindTeam, KindPipeline, KindService, KindRule, KindPool, KindOperator, KindLimits}
}

// Duration is a time.Duration that TOML and JSON represent as text, for example "4s".
type Duration time.Duration

// UnmarshalText parses a duration, for example "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return ErrConfig.New("duration %s: want a number with a unit such as 250ms", strconv.Quote(string(text)))
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Value returns d as a time.Duration.
func (d Duration) Value() time.Duration {
	return time.Duration(d)
}

// Priority is the priority class of a request. Higher classes are served first.
type Priority string

// The priority classes, highest first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityBatch  Priority = "batch"
)

// Rank returns 0 for the highest class and larger numbers for lower ones. An unknown class ranks as
// normal.
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

// Labels are the keys and values that label selectors match.
type Labels map[string]string

// Team is a customer of the system. Its callers authenticate with one of its tokens.
type Team struct {
	// Name is unique among teams.
	Name string `toml:"name" json:"name"`
	// TokenSHA256 holds the SHA-256 digests of the accepted tokens in hex. With two of them a team
	// can replace its token without an interruption.
	TokenSHA256 []string `toml:"token-sha256" json:"token-sha256"`
	// Priority is the highest class that the team's requests may ask for, and their default.
	Priority Priority `toml:"priority" json:"priority"`
	// Weight is the team's weight in fair queueing among the teams of the same class. The minimum
	// is 0.01.
	Weight float64 `toml:"weight" json:"weight"`
	// Rate limits the team's cost units per second over the whole system. 0 means no limit.
	Rate float64 `toml:"rate" json:"rate,omitempty"`
	// Burst is the largest number of unused cost units that can accumulate. It is at least Rate if
	// Rate is set.
	Burst float64 `toml:"burst" json:"burst,omitempty"`
	// Labels are matched by the caller selectors of rules, together with team=<name>.
	Labels Labels `toml:"labels" json:"labels,omitempty"`
}

// StageKind determines the form of a stage's request and answer.
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
	// Kind determines the form of the call.
	Kind StageKind `toml:"kind" json:"kind"`
	// Service is the name of the service that runs the stage.
	Service string `toml:"service" json:"service"`
	// Model is the model name that is passed to the backend server.
	Model string `toml:"model" json:"model,omitempty"`
	// Limit is the number of documents (retrieve, rerank) or the largest number of tokens (generate)
	// to return. 0 selects the default.
	Limit int `toml:"limit" json:"limit,omitempty"`
	// Labels are matched by the stage selectors of rules, together with the labels stage, kind and
	// pipeline.
	Labels Labels `toml:"labels" json:"labels,omitempty"`
}

// Pipeline is a sequence of stages that share one deadline.
type Pipeline struct {
	// Name is unique among pipelines.
	Name string `toml:"name" json:"name"`
	// Deadline is the default deadline and the longest that a caller may ask for.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// Stages run in the given order. There are one to eight of them.
	Stages []Stage `toml:"stage" json:"stage"`
}

// ServiceKind is the kind of backend server behind a service's agents.
type ServiceKind string

// The service kinds.
const (
	ServiceEngine ServiceKind = "engine"
	ServicePool   ServiceKind = "pool"
	ServicePlain  ServiceKind = "plain"
)

// ServiceRoute is an HTTP route that a service offers to callers.
type ServiceRoute struct {
	// Method is the HTTP method.
	Method string `toml:"method" json:"method"`
	// Path must match the complete request path, or a prefix of it if Path ends in "/".
	Path string `toml:"path" json:"path"`
	// Idempotent is false if running a call twice would do harm. Such calls need an Idempotency-Key.
	Idempotent bool `toml:"idempotent" json:"idempotent"`
}

// Service is a set of interchangeable backend servers, each behind its agent.
type Service struct {
	// Name is unique among services.
	Name string `toml:"name" json:"name"`
	// Kind is the kind of the backend servers.
	Kind ServiceKind `toml:"kind" json:"kind"`
	// Deadline is the default and the longest deadline of direct calls.
	Deadline Duration `toml:"deadline" json:"deadline"`
	// RetryShare is the share of calls that may be retries, 0 to 1. 0 selects the default share.
	RetryShare float64 `toml:"retry-share" json:"retry-share,omitempty"`
	// Routes are the routes open to callers. Engines and pools that only run stages have none.
	Routes []ServiceRoute `toml:"route" json:"route,omitempty"`
	// Pool is the name of the committed-spend pool that the service's runs are charged to. It may be
	// empty.
	Pool string `toml:"pool" json:"pool,omitempty"`
	// CheckpointLess marks engines that cannot resume a preempted stream. Their runs must not be
	// preempted.
	CheckpointLess bool `toml:"checkpoint-less" json:"checkpoint-less,omitempty"`
}

// Effect is the effect of a rule on the choice of backend servers.
type Effect string

// The effects of a rule.
const (
	// EffectRequire excludes every backend server that does not match.
	EffectRequire Effect = "require"
	// EffectPrefer adds the rule's weight to the preference for every backend server that matches.
	EffectPrefer Effect = "prefer"
	// EffectForbid excludes every backend server that matches.
	EffectForbid Effect = "forbid"
)

// Rule determines which backend servers may run certain work, or are preferred for it.
type Rule struct {
	// Name is unique among rules.
	Name string `toml:"name" json:"name"`
	// Caller, Stage and Server are label selectors in the Kubernetes syntax. An empty one matches
	// everything.
	Caller string `toml:"caller" json:"caller,omitempty"`
	Stage  string `toml:"stage" json:"stage,omitempty"`
	Server string `toml:"server" json:"server"`
	// Effect is applied to the work that Caller and Stage match.
	Effect Effect `toml:"effect" json:"effect"`
	// Weight is the weight of EffectPrefer, 1 to 100. It is 0 for other effects.
	Weight int `toml:"weight" json:"weight,omitempty"`
}

// Pool is capacity with a committed minimum spend, which is owed whether or not the capacity is
// used.
type Pool struct {
	// Name is unique among pools.
	Name string `toml:"name" json:"name"`
	// Committed is the amount paid for, in cost units per second.
	Committed float64 `toml:"committed" json:"committed"`
	// Price is the price of a committed cost unit, and BeyondPrice that of a unit beyond the committed
	// amount, in the deployment's currency.
	Price       float64 `toml:"price" json:"price"`
	BeyondPrice float64 `toml:"beyond-price" json:"beyond-price"`
	// BeyondPriority is the lowest priority class that may spend beyond the committed amount.
	BeyondPriority Priority `toml:"beyond-priority" json:"beyond-priority"`
}

// Role determines what an operator may do.
type Role string

// The roles of operators.
const (
	RoleRead   Role = "read"
	RoleChange Role = "change"
)

// Operator is a user of the admin API.
type Operator struct {
	// Name is unique among operators and is recorded in the history of changes.
	Name string `toml:"name" json:"name"`
	// TokenSHA256 is the SHA-256 digest of the operator's token in hex.
	TokenSHA256 string `toml:"token-sha256" json:"token-sha256"`
	// Role determines what the operator may do.
	Role Role `toml:"role" json:"role"`
}

// Limits holds the settings of the whole deployment. There is one such document, named
// "deployment".
type Limits struct {
	// Name is always "deployment".
	Name string `toml:"name" json:"name"`
	// StaleAfter is how long a process continues to serve after its configuration was last confirmed.
	// 0 means indefinitely.
	StaleAfter Duration `toml:"stale-after" json:"stale-after"`
	// ClaimRetention is how long the answer of a finished non-idempotent call is kept for retries with
	// the same Idempotency-Key.
	ClaimRetention Duration `toml:"claim-retention" json:"claim-retention"`
	// RegionOrder lists, for each region, the other regions from the nearest to the farthest. Regions
	// that are not listed count as farther than those, and as equally far among themselves.
	RegionOrder map[string][]string `toml:"region-order" json:"region-order,omitempty"`
}

// Set is a complete configuration, or the documents of one change.
type Set struct {
	Teams     []Team     `toml:"team" json:"team,omitempty"`
	Pipelines []Pipeline `toml:"pipeline" json:"pipeline,omitempty"`
	Services  []Service  `toml:"service" json:"service,omitempty"`
	Rules     []Rule     `toml:"rule" json:"rule,omitempty"`
	Pools     []Pool     `toml:"pool" json:"pool,omitempty"`
	Operators []Operator `toml:"operator" json:"operator,omitempty"`
	Limits    []Limits   `toml:"limits" json:"limits,omitempty"`
}
