package admapi

import (
	"verbenaroad.example/share/models/config"
)

// Explanation tells why work of a team would go where, stage by stage.
type Explanation struct {
	Revision uint64             `json:"revision"`
	Team     string             `json:"team"`
	Stages   []StageExplanation `json:"stages"`
}

// StageExplanation tells of one stage of a pipeline, or of the direct calls of a service.
type StageExplanation struct {
	// Pipeline and Stage are empty for direct calls.
	Pipeline string              `json:"pipeline,omitempty"`
	Stage    string              `json:"stage,omitempty"`
	Service  string              `json:"service"`
	Servers  []ServerExplanation `json:"servers"`
}

// ServerExplanation tells what the rules and the policy say of one backend server.
type ServerExplanation struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Chosen is set for those that may be taken now; Rank is their order, from 1.
	Chosen bool `json:"chosen"`
	Rank   int  `json:"rank,omitempty"`
	// Reason says why it may not be taken.
	Reason string `json:"reason,omitempty"`
	// Score is Wait + Slow - Affinity - Preference; the least goes first.
	Score      config.Duration `json:"score"`
	Wait       config.Duration `json:"wait"`
	Slow       config.Duration `json:"slow"`
	Affinity   config.Duration `json:"affinity"`
	Preference config.Duration `json:"preference"`
	// Rules are those that apply to the team and stage, in the order of the configuration.
	Rules []RuleVerdict `json:"rules"`
}

// RuleVerdict tells what one rule did to a backend server.
type RuleVerdict struct {
	Rule    string        `json:"rule"`
	Effect  config.Effect `json:"effect"`
	Matched bool          `json:"matched"`
	// Drops is set where this rule bars the backend server.
	Drops  bool `json:"drops,omitempty"`
	Weight int  `json:"weight,omitempty"`
}
