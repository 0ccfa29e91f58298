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

// Configuration is the one in force in this process.
type Configuration interface {
	// Snapshot returns nil while there is none.
	Snapshot() *config.Snapshot
	GetRevision(now time.Time) (uint64, time.Duration)
}

// Accounts are the pools' accounts.
type Accounts interface {
	FindReports(now time.Time) []spend.Report
}

// Options are the parts of a Service.
type Options struct {
	// Self names this entry; its row takes its figures from the process itself.
	Self          string
	Board         *Board
	Configuration Configuration
	Accounts      Accounts
	// Ready says why the entry takes no work; nil: it takes work.
	Ready func() error
	// Calls and Results give the entry's own counts since its start.
	Calls   func() calls.Report
	Results func() map[string]uint64
}

// Service answers the query for the status.
type Service struct {
	options Options
}

// NewService returns a service over its parts.
func NewService(options Options) *Service {
	return &Service{options: options}
}

// GetStatus returns what the entry sees now.
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
	for _, instance := range s.options.Board.FindInstances() {
		status.Instances = append(status.Instances, s.describe(&instance, snapshot, revision))
	}
	s.addPools(&status, now)
	s.addStages(&status)
	return status, nil
}

func (s *Service) describe(i *member.Instance, snapshot *config.Snapshot, own uint64) admapi.InstanceStatus {
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
	beat := s.options.Board.getBeat(i.Name)
	if beat != nil {
		load := beat.GetLoad()
		out.State = admapi.StateConnected
		out.Revision = beat.GetRevision()
		out.Running = int(load.GetRunning())
		out.Queued = int(load.GetQueued())
		out.Slots = int(load.GetSlots())
		out.Wait = config.Duration(time.Duration(load.GetWaitNanos()).Round(time.Microsecond))
	}
	if snapshot != nil && i.Role == member.RoleAgent && change.IsDrained(snapshot, i.Name) {
		out.State = admapi.StateDrained
	}
	if i.Leaving || beat.GetLeaving() {
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
