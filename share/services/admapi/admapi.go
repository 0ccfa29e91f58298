// Package admapi holds the JSON documents of the admin API, which the server
// and vctl share.
package admapi

import (
	"time"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

// BodyName is the file name under which problems of a request's TOML body are reported.
const BodyName = "body"

// MaxChanges bounds the changes listed in one answer, so that a first
// configuration of 19,000 teams doesn't fill the server's write buffer.
const MaxChanges = 2000

// CutChanges returns the first MaxChanges and how many were left out.
func CutChanges(changes []config.Change) (cut []config.Change, omitted int) {
	if len(changes) <= MaxChanges {
		return changes, 0
	}
	return changes[:MaxChanges], len(changes) - MaxChanges
}

// Error is the body of every answer that is no success.
type Error struct {
	Code    codes.Code    `json:"code"`
	Name    string        `json:"name"`
	Outcome codes.Outcome `json:"outcome"`
	Detail  string        `json:"detail"`
	// RetryAfter is when to come back; empty: no advice.
	RetryAfter config.Duration  `json:"retry-after,omitempty"`
	RequestID  string           `json:"request-id"`
	Problems   []config.Problem `json:"problems,omitempty"`
	// ChangeID, Revision and Changes tell of a change: on conflict the winner's revision and what it changed.
	ChangeID string          `json:"change-id,omitempty"`
	Revision uint64          `json:"revision,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"`
	// ChangesOmitted counts those beyond MaxChanges.
	ChangesOmitted int `json:"changes-omitted,omitempty"`
}

// ChangeResult is the answer to an accepted or checked change.
type ChangeResult struct {
	Verdict  string          `json:"verdict"`
	ChangeID string          `json:"change-id"`
	Revision uint64          `json:"revision"`
	Changes  []config.Change `json:"changes"`
	// ChangesOmitted counts those beyond MaxChanges.
	ChangesOmitted int `json:"changes-omitted,omitempty"`
}

// Config is the answer to a query for documents.
type Config struct {
	Revision  uint64     `json:"revision"`
	Documents config.Set `json:"documents"`
}

// History is the answer to a query for the last moves, newest first.
type History struct {
	Moves []config.Move `json:"moves"`
}

// LabelChange sets and removes labels of a team or of a pipeline's stage.
type LabelChange struct {
	ChangeID string      `json:"change-id"`
	Base     uint64      `json:"base,omitempty"`
	Kind     config.Kind `json:"kind"`
	Name     string      `json:"name"`
	// Stage names the stage where Kind is pipeline.
	Stage  string        `json:"stage,omitempty"`
	Set    config.Labels `json:"set,omitempty"`
	Remove []string      `json:"remove,omitempty"`
}

// Status shows the system as one entry sees it.
type Status struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	// ConfirmedAge is how long ago the key-value service confirmed the revision; negative: never.
	ConfirmedAge config.Duration  `json:"confirmed-age"`
	Use          string           `json:"use"`
	Instances    []InstanceStatus `json:"instances"`
	Pools        []PoolStatus     `json:"pools"`
	Stages       []StageStatus    `json:"stages"`
}

// InstanceStatus shows an instance known to the entry.
type InstanceStatus struct {
	Name     string          `json:"name"`
	Role     string          `json:"role"`
	Service  string          `json:"service,omitempty"`
	Region   string          `json:"region"`
	Domain   string          `json:"domain"`
	State    string          `json:"state"`
	Revision uint64          `json:"revision"`
	Running  int             `json:"running"`
	Queued   int             `json:"queued"`
	Slots    int             `json:"slots"`
	Wait     config.Duration `json:"wait"`
}

// PoolStatus shows committed capacity in cost units per second.
type PoolStatus struct {
	Name      string  `json:"name"`
	Committed float64 `json:"committed"`
	Used      float64 `json:"used"`
	Idle      float64 `json:"idle"`
	Beyond    float64 `json:"beyond"`
}

// StageStatus shows what was done for a team's stage since the entry started.
type StageStatus struct {
	Team     string  `json:"team"`
	Pipeline string  `json:"pipeline"`
	Stage    string  `json:"stage"`
	Calls    uint64  `json:"calls"`
	Met      uint64  `json:"met"`
	Cost     float64 `json:"cost"`
}

// Explanation tells why a stage's work of a team would go where.
type Explanation struct {
	Revision uint64              `json:"revision"`
	Team     string              `json:"team"`
	Pipeline string              `json:"pipeline"`
	Stage    string              `json:"stage"`
	Servers  []ServerExplanation `json:"servers"`
}

// ServerExplanation tells what the rules and the policy say of one backend server.
type ServerExplanation struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Chosen is set for those that may be taken, Rank is their order.
	Chosen bool            `json:"chosen"`
	Rank   int             `json:"rank,omitempty"`
	Score  float64         `json:"score"`
	Wait   config.Duration `json:"wait"`
	Rules  []RuleVerdict   `json:"rules"`
}

// RuleVerdict tells what one rule did to a backend server.
type RuleVerdict struct {
	Rule    string        `json:"rule"`
	Effect  config.Effect `json:"effect"`
	Matched bool          `json:"matched"`
	Detail  string        `json:"detail,omitempty"`
}

// Claim shows what is known of a non-idempotent call by its key.
type Claim struct {
	Team        string     `json:"team"`
	Key         string     `json:"key"`
	State       string     `json:"state"`
	Attempt     string     `json:"attempt,omitempty"`
	Instance    string     `json:"instance,omitempty"`
	Incarnation string     `json:"incarnation,omitempty"`
	Service     string     `json:"service,omitempty"`
	Time        *time.Time `json:"time,omitempty"`
	// ResolvedBy and Note are set once an operator settled the claim.
	ResolvedBy string `json:"resolved-by,omitempty"`
	Note       string `json:"note,omitempty"`
}

// ClaimResolution settles a claim whose outcome is unknown.
type ClaimResolution struct {
	// Outcome is "ran" or "not-run", as the operator found it at the backend server.
	Outcome codes.Outcome `json:"outcome"`
	Note    string        `json:"note"`
}

// Drain is the answer to a drain.
type Drain struct {
	Instance string `json:"instance"`
	State    string `json:"state"`
	Running  int    `json:"running"`
}
