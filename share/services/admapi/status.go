package admapi

import (
	"verbenaroad.example/share/models/config"
)

// Status describes the system as one entry observes it.
type Status struct {
	Instance string `json:"instance"`
	Revision uint64 `json:"revision"`
	// ConfirmedAge is the time since the key-value service confirmed the revision; negative: never.
	ConfirmedAge config.Duration `json:"confirmed-age"`
	// Readiness is "ready", or the reason why the entry accepts no work.
	Readiness string           `json:"use"`
	Instances []InstanceStatus `json:"instances"`
	Pools     []PoolStatus     `json:"pools"`
	Teams     []TeamUsage      `json:"teams"`
	Stages    []StageUsage     `json:"stages"`
	Results   []ResultCount    `json:"results"`
}

// InstanceState is the state of an instance as the entry that answers observes it.
type InstanceState string

// The states of an instance.
const (
	// StateListed is another entry, or an agent without a session to the entry that answers.
	StateListed InstanceState = "listed"
	// StateConnected is the entry that answers, or an agent whose heartbeats it receives.
	StateConnected InstanceState = "connected"
	// StateDrained is an agent that an operator drained.
	StateDrained InstanceState = "drained"
	// StateLeaving is an instance that reports in its heartbeat, or whose list entry shows, that it is
	// stopping.
	StateLeaving InstanceState = "leaving"
)

// InstanceStatus describes an instance known to the entry.
type InstanceStatus struct {
	Name    string        `json:"name"`
	Role    string        `json:"role"`
	Service string        `json:"service,omitempty"`
	Region  string        `json:"region"`
	Domain  string        `json:"domain"`
	State   InstanceState `json:"state"`
	// Revision, Running, Queued, Slots and Wait are from the last heartbeat; 0 without a session. For
	// the entry that answers, Revision is its own.
	Revision uint64          `json:"revision"`
	Running  int             `json:"running"`
	Queued   int             `json:"queued"`
	Slots    int             `json:"slots"`
	Wait     config.Duration `json:"wait"`
}

// PoolStatus describes the entry's share of a pool's committed amount over a window, in cost units.
// Used plus Idle is Committed.
type PoolStatus struct {
	Name      string          `json:"name"`
	Window    config.Duration `json:"window"`
	Committed float64         `json:"committed"`
	Used      float64         `json:"used"`
	Idle      float64         `json:"idle"`
	Beyond    float64         `json:"beyond"`
	// CommittedSpend is owed whether the committed amount was used or not; BeyondSpend is owed in
	// addition. Both are in the deployment's currency.
	CommittedSpend float64 `json:"committed-spend"`
	BeyondSpend    float64 `json:"beyond-spend"`
}

// TeamUsage is the amount of a pool that a team's work in a stage used over the window, in cost
// units.
type TeamUsage struct {
	Pool string `json:"pool"`
	// Stage is "pipeline/stage", or the name of the service for direct calls.
	Stage  string  `json:"stage"`
	Team   string  `json:"team"`
	Used   float64 `json:"used"`
	Beyond float64 `json:"beyond"`
}

// StageUsage sums up the runs of a stage since the entry started.
type StageUsage struct {
	// Stage is "service/stage".
	Stage  string  `json:"stage"`
	Runs   uint64  `json:"runs"`
	Cost   float64 `json:"cost"`
	Tokens uint64  `json:"tokens"`
	// Busy is the time that backend servers worked, Queued the time that runs waited in agents'
	// queues.
	Busy   config.Duration `json:"busy"`
	Queued config.Duration `json:"queued"`
}

// ResultCount is the number of the entry's requests since its start that ended with a result code.
type ResultCount struct {
	Name  string `json:"name"`
	Count uint64 `json:"count"`
}
