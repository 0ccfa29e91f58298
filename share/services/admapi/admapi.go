// Package admapi holds the JSON documents of the admin API, which the server
// and vctl share.
package admapi

import (
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

// BodyName is the file name under which problems of a request's TOML body are reported.
const BodyName = "body"

// MaxChanges bounds the changes listed in one answer, so that a first
// configuration of 19,000 teams doesn't fill the server's write buffer.
const MaxChanges = 2000

// CutChanges returns the first MaxChanges and how many were left out.
func CutChanges(changes []config.FieldChange) (cut []config.FieldChange, omitted int) {
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
	ChangeID string               `json:"change-id,omitempty"`
	Revision uint64               `json:"revision,omitempty"`
	Changes  []config.FieldChange `json:"changes,omitempty"`
	// ChangesOmitted counts those beyond MaxChanges.
	ChangesOmitted int `json:"changes-omitted,omitempty"`
}

// ChangeResult is the answer to an accepted or checked change.
type ChangeResult struct {
	Verdict  string               `json:"verdict"`
	ChangeID string               `json:"change-id"`
	Revision uint64               `json:"revision"`
	Changes  []config.FieldChange `json:"changes"`
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
	Moves []config.AcceptedChange `json:"moves"`
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
