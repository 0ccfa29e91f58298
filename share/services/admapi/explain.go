package admapi

import (
	"verbenaroad.example/share/models/config"
)

// Explanation describes, stage by stage, where work of a team would be sent and why.
type Explanation struct {
	Revision uint64             `json:"revision"`
	Team     string             `json:"team"`
	Stages   []StageExplanation `json:"stages"`
}

// StageExplanation describes the choice for one stage of a pipeline, or for direct calls of a
// service.
type StageExplanation struct {
	// Pipeline and Stage are empty for direct calls.
	Pipeline string              `json:"pipeline,omitempty"`
	Stage    string              `json:"stage,omitempty"`
	Service  string              `json:"service"`
	Servers  []ServerExplanation `json:"servers"`
}

// ServerExplanation describes how the rules and the routing policy rate one backend server.
type ServerExplanation struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	// Eligible is set if the backend server may be chosen now. Rank is its position among the eligible
	// ones, from 1; 0 if it is not eligible.
	Eligible bool `json:"chosen"`
	Rank     int  `json:"rank,omitempty"`
	// Reason is why the backend server is not eligible.
	Reason string `json:"reason,omitempty"`
	// Score is Wait + SlowStartPenalty - Affinity - Preference with route.PolicyDeadline; the other
	// policies leave out Affinity and Preference. The lowest score ranks first.
	Score            config.Duration `json:"score"`
	Wait             config.Duration `json:"wait"`
	SlowStartPenalty config.Duration `json:"slow"`
	Affinity         config.Duration `json:"affinity"`
	Preference       config.Duration `json:"preference"`
	// Rules are the verdicts of the rules that apply to the team and stage, in the order of the
	// configuration.
	Rules []RuleVerdict `json:"rules"`
}

// RuleVerdict is the effect of one rule on a backend server.
type RuleVerdict struct {
	Rule    string        `json:"rule"`
	Effect  config.Effect `json:"effect"`
	Matched bool          `json:"matched"`
	// Drops is set if this rule excludes the backend server.
	Drops  bool `json:"drops,omitempty"`
	Weight int  `json:"weight,omitempty"`
}
