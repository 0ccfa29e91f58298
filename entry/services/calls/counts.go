package calls

import (
	"sync"
	"sync/atomic"
	"time"

	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/share/modules/wire"
)

// Counts are the counters of all calls since the process started.
type Counts struct {
	sent    atomic.Uint64
	retries atomic.Uint64
	resends atomic.Uint64
	dropped atomic.Uint64
	// crossBytes counts the bytes of calls' bodies sent to other regions and of answers received
	// from there.
	crossBytes atomic.Uint64

	lock sync.Mutex
	// stages holds the resource use of each stage of each service, by "service/stage", guarded by
	// lock.
	stages map[string]*StageUse
}

// StageUse is the resource use of one stage.
type StageUse struct {
	Runs   uint64  `json:"runs"`
	Cost   float64 `json:"cost"`
	Tokens uint64  `json:"tokens"`
	// BusySeconds is the time that calls took at backend servers, QueueSeconds their time in
	// agents' queues.
	BusySeconds  float64 `json:"busy-seconds"`
	QueueSeconds float64 `json:"queue-seconds"`
}

// Report is a copy of the counters.
type Report struct {
	Sent       uint64              `json:"sent"`
	Retries    uint64              `json:"retries"`
	Resends    uint64              `json:"resends"`
	Dropped    uint64              `json:"dropped"`
	CrossBytes uint64              `json:"cross-region-bytes"`
	Stages     map[string]StageUse `json:"stages"`
}

// NewCounts returns counters at zero.
func NewCounts() *Counts {
	return &Counts{stages: map[string]*StageUse{}}
}

// GetReport returns a copy of the counters.
func (c *Counts) GetReport() Report {
	c.lock.Lock()
	defer c.lock.Unlock()
	stages := make(map[string]StageUse, len(c.stages))
	for name, use := range c.stages {
		stages[name] = *use
	}
	return Report{
		Sent:       c.sent.Load(),
		Retries:    c.retries.Load(),
		Resends:    c.resends.Load(),
		Dropped:    c.dropped.Load(),
		CrossBytes: c.crossBytes.Load(),
		Stages:     stages,
	}
}

func (c *Counts) record(call *Call, chosen *fleet.Attempt, end *wire.End, received uint64) {
	if chosen.Choice.CrossRegion {
		c.crossBytes.Add(uint64(len(call.Body)) + received)
	}
	if end == nil || end.GetServiceNanos() == 0 {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	name := call.Service + "/" + call.Stage
	use := c.stages[name]
	if use == nil {
		use = &StageUse{}
		c.stages[name] = use
	}
	use.Runs++
	use.Cost += call.Cost
	use.Tokens += end.GetTokens()
	use.BusySeconds += time.Duration(end.GetServiceNanos()).Seconds()
	use.QueueSeconds += time.Duration(end.GetQueueNanos()).Seconds()
}
