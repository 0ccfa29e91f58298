package admapi

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Claim shows what is known of a non-idempotent call by its key.
type Claim struct {
	Team        string     `json:"team"`
	Key         string     `json:"key"`
	State       string     `json:"state"`
	Attempt     string     `json:"attempt,omitempty"`
	Instance    string     `json:"instance,omitempty"`
	Incarnation string     `json:"incarnation,omitempty"`
	ClaimedAt   time.Time  `json:"claimed-at"`
	SettledAt   *time.Time `json:"settled-at,omitempty"`
	// AnswerStatus is the backend server's HTTP status of a finished run.
	AnswerStatus int `json:"answer-status,omitempty"`
	// ResolvedBy and Outcome are set once an operator settled the claim.
	ResolvedBy string        `json:"resolved-by,omitempty"`
	Outcome    codes.Outcome `json:"outcome,omitempty"`
	// AgentSays is what the agent answered when it was asked for a resolution.
	AgentSays string `json:"agent-says,omitempty"`
}

// ClaimResolution settles a claim whose outcome is unknown.
type ClaimResolution struct {
	// Outcome is "ran" or "not-run", as the operator found it at the backend server.
	Outcome codes.Outcome `json:"outcome"`
	// Note is written to the entry's log with the operator's name.
	Note string `json:"note"`
	// InstanceGone is the operator's word that the claim's instance no longer exists.
	InstanceGone bool `json:"instance-gone,omitempty"`
}

// DrainChange takes an agent out of every choice, or lets it in again.
type DrainChange struct {
	ChangeID string `json:"change-id"`
	// Undo lets the agent in again.
	Undo bool `json:"undo,omitempty"`
	// Force drains also the last agent of a service that gets work.
	Force bool `json:"force,omitempty"`
}
