package status

import (
	"context"
	"maps"
	"slices"
	"time"

	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/share/decide/spend"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/services/admapi"
)

// Configuration returns the configuration in force in this process.
type Configuration interface {
	// Snapshot returns nil if the process has no configuration yet.
	Snapshot() *config.Snapshot
	// GetRevision returns the revision in force and the age of its confirmation.
	GetRevision(now time.Time) (uint64, time.Duration)
}

// Accounts returns the spend accounts of the pools.
type Accounts interface {
	FindReports(now time.Time) []spend.Report
}

// Options are the dependencies of a Service.
type Options struct {
	// Self is this entry's name. Its own row takes the revision from this process, not from a
	// heartbeat.
	Self          string
	View          *InstanceView
	Configuration Configuration
	Accounts      Accounts
	// Ready returns nil if the entry accepts requests, or an error with the reason why not.
	Ready func() error
	// Calls and Results return the entry's own counters since the process started.
	Calls   func() calls.Report
	Results func() map[string]uint64
}

// Service answers status queries.
type Service struct {
	options Options
}

// NewService returns a service with the given dependencies.
func NewService(options Options) *Service {
	return &Service{options: options}
}

// GetStatus returns the entry's current view of the system.
func (s *Service) GetStatus(context.Context) (admapi.Status, error) {
	now := time.Now()
	revision, age := s.options.Configuration.GetRevision(now)
	status := admapi.Status{
		Instance:     s.options.Self,
		Revision:     revision,
		ConfirmedAge: config.Duration(age.Round(time.Millisecond)),
		Readiness:    "ready",
	}
	if err := s.options.Ready(); err != nil {
		status.Readiness = err.Error()
	}
	snapshot := s.options.Configuration.Snapshot()
	for _, instance := range s.options.View.FindInstances() {
		status.Instances = append(status.Instances, s.instanceStatus(&instance, snapshot, revision))
	}
	s.addPools(&status, now)
	s.addStages(&status)
	return status, nil
}

func (s *Service) instanceStatus(i *member.Instance, snapshot *config.Snapshot, own uint64) admapi.InstanceStatus {
	out := admapi.InstanceStatus{
		Name:    i.Name,
		Role:    string(i.Role),
		Service: i.Service,
		Region:  i.Region,
		Domain:  i.Domain,
		State:   admapi.StateListed,
	}
	if i.Name == s.options.Self {
		out.State = admapi.StateConnected
		out.Revision = own
	}
	heartbeat := s.options.View.getHeartbeat(i.Name)
	if heartbeat != nil {
		load := heartbeat.GetLoad()
		out.State = admapi.StateConnected
		out.Revision = heartbeat.GetRevision()
		out.Running = int(load.GetRunning())
		out.Queued = int(load.GetQueued())
		out.Slots = int(load.GetSlots())
		out.Wait = config.Duration(time.Duration(load.GetWaitNanos()).Round(time.Microsecond))
	}
	if snapshot != nil && i.Role == member.RoleAgent && change.IsDrained(snapshot, i.Name) {
		out.State = admapi.StateDrained
	}
	if i.Leaving || heartbeat.GetLeaving() {
		out.State = admapi.StateLeaving
	}
	return out
}

func (s *Service) addPools(status *admapi.Status, now time.Time) {
	for _, r := range s.options.Accounts.FindReports(now) {
		status.Pools = append(status.Pools, admapi.PoolStatus{
			Name:           r.Pool,
			Window:         config.Duration(r.Span),
			Committed:      r.Committed,
			Used:           r.Used,
			Idle:           r.Idle,
			Beyond:         r.Beyond,
			CommittedSpend: r.CommittedSpend,
			BeyondSpend:    r.BeyondSpend,
		})
		for _, l := range r.Lines {
			use := admapi.TeamUsage{Pool: r.Pool, Stage: l.Stage, Team: l.Team, Used: l.Used, Beyond: l.Beyond}
			status.Teams = append(status.Teams, use)
		}
	}
}

func (s *Service) addStages(status *admapi.Status) {
	stages := s.options.Calls().Stages
	for _, name := range slices.Sorted(maps.Keys(stages)) {
		use := stages[name]
		status.Stages = append(status.Stages, admapi.StageUsage{
			Stage:  name,
			Runs:   use.Runs,
			Cost:   use.Cost,
			Tokens: use.Tokens,
			Busy:   toDuration(use.BusySeconds),
			Queued: toDuration(use.QueueSeconds),
		})
	}
	results := s.options.Results()
	for _, name := range slices.Sorted(maps.Keys(results)) {
		status.Results = append(status.Results, admapi.ResultCount{Name: name, Count: results[name]})
	}
}

func toDuration(seconds float64) config.Duration {
	return config.Duration(time.Duration(seconds * float64(time.Second)).Round(time.Millisecond))
}
