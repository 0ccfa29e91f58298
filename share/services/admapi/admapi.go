// Package admapi defines the JSON documents of the admin API, which entry and vctl share.
package admapi

import (
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

// BodyName is the file name in the problems that are reported for a request's TOML body.
const BodyName = "body"

// MaxChanges limits the number of changes listed in one answer, so that a first configuration of
// 19,000 teams does not fill the server's write buffer.
const MaxChanges = 2000

// TruncateChanges returns the first MaxChanges changes and the number of omitted ones.
func TruncateChanges(changes []config.FieldChange) (truncated []config.FieldChange, omitted int) {
	if len(changes) <= MaxChanges {
		return changes, 0
	}
	return changes[:MaxChanges], len(changes) - MaxChanges
}

// Error is the body of every answer that reports a failure.
type Error struct {
	Code    codes.Code    `json:"code"`
	Name    string        `json:"name"`
	Outcome codes.Outcome `json:"outcome"`
	Detail  string        `json:"detail"`
	// RetryAfter is how long the client should wait before a retry; empty: not specified.
	RetryAfter config.Duration  `json:"retry-after,omitempty"`
	RequestID  string           `json:"request-id"`
	Problems   []config.Problem `json:"problems,omitempty"`
	// ChangeID, Revision and Changes describe the submitted change. On a conflict, Revision is the
	// revision that came first and Changes lists what was changed since the submission's base.
	ChangeID string               `json:"change-id,omitempty"`
	Revision uint64               `json:"revision,omitempty"`
	Changes  []config.FieldChange `json:"changes,omitempty"`
	// ChangesOmitted is the number of changes beyond MaxChanges.
	ChangesOmitted int `json:"changes-omitted,omitempty"`
}

// ChangeResult is the answer to a change that was accepted, or checked in a dry run.
type ChangeResult struct {
	Verdict  string               `json:"verdict"`
	ChangeID string               `json:"change-id"`
	Revision uint64               `json:"revision"`
	Changes  []config.FieldChange `json:"changes"`
	// ChangesOmitted is the number of changes beyond MaxChanges.
	ChangesOmitted int `json:"changes-omitted,omitempty"`
}

// Config is the answer to a query for configuration documents.
type Config struct {
	Revision  uint64     `json:"revision"`
	Documents config.Set `json:"documents"`
}

// History is the answer to a query for the last accepted changes, newest first.
type History struct {
	Changes []config.AcceptedChange `json:"moves"`
}

// LabelChange is a request to set and remove labels of a team or of a stage of a pipeline.
type LabelChange struct {
	ChangeID string      `json:"change-id"`
	Base     uint64      `json:"base,omitempty"`
	Kind     config.Kind `json:"kind"`
	Name     string      `json:"name"`
	// Stage is the name of the stage if Kind is pipeline.
	Stage  string        `json:"stage,omitempty"`
	Set    config.Labels `json:"set,omitempty"`
	Remove []string      `json:"remove,omitempty"`
}
