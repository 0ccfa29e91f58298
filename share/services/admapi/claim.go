package admapi

import (
	"time"

	"verbenaroad.example/share/modules/codes"
)

// Claim describes the state of a non-idempotent call, identified by its key.
type Claim struct {
	Team        string     `json:"team"`
	Key         string     `json:"key"`
	State       string     `json:"state"`
	Attempt     string     `json:"attempt,omitempty"`
	Instance    string     `json:"instance,omitempty"`
	Incarnation string     `json:"incarnation,omitempty"`
	ClaimedAt   time.Time  `json:"claimed-at"`
	SettledAt   *time.Time `json:"settled-at,omitempty"`
	// AnswerStatus is the backend server's HTTP status; 0 if no answer is recorded.
	AnswerStatus int `json:"answer-status,omitempty"`
	// ResolvedBy and Outcome are set if an operator settled the claim.
	ResolvedBy string        `json:"resolved-by,omitempty"`
	Outcome    codes.Outcome `json:"outcome,omitempty"`
	// AgentReport is the state that the agent reported when an operator settled the claim.
	AgentReport string `json:"agent-says,omitempty"`
}

// ClaimResolution is a request to settle a claim whose outcome is unknown.
type ClaimResolution struct {
	// Outcome is "ran" or "not-run", as the operator found at the backend server.
	Outcome codes.Outcome `json:"outcome"`
	// Note is written to the entry's log with the operator's name.
	Note string `json:"note"`
	// InstanceGone is the operator's assurance that the claim's instance no longer exists.
	InstanceGone bool `json:"instance-gone,omitempty"`
}

// DrainChange is a request to drain an agent, so that it gets no new work, or to end its drain.
type DrainChange struct {
	ChangeID string `json:"change-id"`
	// Undo ends the drain.
	Undo bool `json:"undo,omitempty"`
	// Force drains the agent even if it is the last one of its service that gets work.
	Force bool `json:"force,omitempty"`
}
