package admapi

import (
	"verbenaroad.example/share/models/config"
)

// Status shows the system as one entry sees it.
type Status struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	// ConfirmedAge is how long ago the key-value service confirmed the revision; negative: never.
	ConfirmedAge config.Duration `json:"confirmed-age"`
	// Use is "ready", or why the entry takes no work.
	Use       string           `json:"use"`
	Instances []InstanceStatus `json:"instances"`
	Pools     []PoolStatus     `json:"pools"`
	Teams     []TeamUse        `json:"teams"`
	Stages    []StageUse       `json:"stages"`
	Results   []ResultCount    `json:"results"`
}

// InstanceState says whether an instance gets new work from the entry that answers.
type InstanceState string

// The states of an instance.
const (
	// StateListed is an entry, or an agent without a session to the entry that answers.
	StateListed InstanceState = "listed"
	// StateConnected is an agent whose heartbeats come.
	StateConnected InstanceState = "connected"
	// StateDrained is an agent that an operator took out.
	StateDrained InstanceState = "drained"
	// StateLeaving is an instance that stops by itself or that the list shows as leaving.
	StateLeaving InstanceState = "leaving"
)

// InstanceStatus shows an instance known to the entry.
type InstanceStatus struct {
	Name    string        `json:"name"`
	Role    string        `json:"role"`
	Service string        `json:"service,omitempty"`
	Region  string        `json:"region"`
	Domain  string        `json:"domain"`
	State   InstanceState `json:"state"`
	// Revision and the load are from the last heartbeat; 0 without a session.
	Revision uint64          `json:"revision"`
	Running  int             `json:"running"`
	Queued   int             `json:"queued"`
	Slots    int             `json:"slots"`
	Wait     config.Duration `json:"wait"`
}

// PoolStatus shows the entry's share of a committed amount over a window, in cost units. Used plus Idle is Committed.
type PoolStatus struct {
	Name      string          `json:"name"`
	Window    config.Duration `json:"window"`
	Committed float64         `json:"committed"`
	Used      float64         `json:"used"`
	Idle      float64         `json:"idle"`
	Beyond    float64         `json:"beyond"`
	// CommittedSpend is owed whether used or not; BeyondSpend comes on top, both in the deployment's currency.
	CommittedSpend float64 `json:"committed-spend"`
	BeyondSpend    float64 `json:"beyond-spend"`
}

// TeamUse shows what a team's work in a stage used of a pool over the window, in cost units.
type TeamUse struct {
	Pool string `json:"pool"`
	// Stage is pipeline/stage, or the service of direct calls.
	Stage  string  `json:"stage"`
	Team   string  `json:"team"`
	Used   float64 `json:"used"`
	Beyond float64 `json:"beyond"`
}

// StageUse shows what was done for a stage since the entry started.
type StageUse struct {
	// Stage is service/stage.
	Stage  string  `json:"stage"`
	Runs   uint64  `json:"runs"`
	Cost   float64 `json:"cost"`
	Tokens uint64  `json:"tokens"`
	// Busy is the time that backend servers ran, Queued the time in agents' queues.
	Busy   config.Duration `json:"busy"`
	Queued config.Duration `json:"queued"`
}

// ResultCount counts the entry's requests that ended with a result code since it started.
type ResultCount struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
}
