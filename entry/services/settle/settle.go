// Package settle shows the claims of non-idempotent calls to operators and
// lets them settle one whose outcome is unknown.
package settle

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/admapi"
)

const (
	// askTime bounds asking the agent.
	askTime = 2 * time.Second
	// comeBack is when to ask again after an unsure write.
	comeBack = time.Second
)

// Claims is the key-value service as far as claims need it.
type Claims interface {
	// GetClaim returns nil where there is none.
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	// SwapClaim leaves the outcome unknown after an error.
	SwapClaim(ctx context.Context, key string, record claim.Record, index uint64) (bool, error)
}

// Agents asks agents.
type Agents interface {
	AskAgent(ctx context.Context, name string, ask *wire.Ask) (*wire.Told, error)
}

// Service shows and settles claims.
type Service struct {
	claims Claims
	agents Agents
	log    *zap.Logger
}

// NewService returns a service over its parts.
func NewService(claims Claims, agents Agents, log *zap.Logger) *Service {
	return &Service{claims: claims, agents: agents, log: log}
}

// GetClaimByKey returns what the key-value service holds of a caller's key.
func (s *Service) GetClaimByKey(ctx context.Context, team, key string) (admapi.Claim, error) {
	stored, err := s.get(ctx, team, key)
	if err != nil {
		return admapi.Claim{}, err
	}
	return describe(team, key, &stored.Record), nil
}

func (s *Service) get(ctx context.Context, team, key string) (*claim.Stored, error) {
	stored, err := s.claims.GetClaim(ctx, claim.Key(team, key))
	if err != nil {
		return nil, codes.NewResult(codes.StoreUnavailable, "the claim could not be read").WithRetryAfter(comeBack)
	}
	if stored == nil {
		return nil, codes.NewResult(codes.NotFound, "the team has no claim of this key")
	}
	return stored, nil
}

// ResolveClaim settles an open claim as the operator found it. The agent is
// asked first: one that has not started the attempt gives it up for good, and
// one that runs it or has its answer needs no operator.
func (s *Service) ResolveClaim(ctx context.Context, operator, team, key string, r admapi.ClaimResolution) (admapi.Claim, error) {
	stored, err := s.get(ctx, team, key)
	if err != nil {
		return admapi.Claim{}, err
	}
	if stored.Record.State != claim.StateClaimed {
		detail := "the claim is " + string(stored.Record.State) + "; there is nothing to settle"
		return admapi.Claim{}, codes.NewResult(codes.ConfigConflict, detail)
	}
	told := s.ask(ctx, claim.Key(team, key), &stored.Record)
	resolution := claim.Resolution{Operator: operator, Outcome: r.Outcome, Reported: told, InstanceGone: r.InstanceGone}
	record, err := claim.Resolve(stored.Record, resolution, time.Now())
	if err != nil {
		return admapi.Claim{}, newRefusal(told, err)
	}
	// The intent is logged before the write: its answer may be lost, and what
	// an operator decided must be found either way.
	s.record(operator, team, key, told, r)
	if err := s.swap(ctx, claim.Key(team, key), record, stored.Index); err != nil {
		return admapi.Claim{}, err
	}
	settled := describe(team, key, &record)
	settled.AgentReport = string(told)
	return settled, nil
}

func (s *Service) ask(ctx context.Context, key string, record *claim.Record) claim.ReportedState {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	told, err := s.agents.AskAgent(ctx, record.Agent, &wire.Ask{
		ClaimKey:    key,
		Attempt:     record.Attempt,
		Incarnation: record.Incarnation,
	})
	if err != nil {
		return claim.ReportedUnreachable
	}
	return claim.ReportedState(told.GetState())
}

func (s *Service) swap(ctx context.Context, key string, record claim.Record, index uint64) error {
	swapped, err := s.claims.SwapClaim(ctx, key, record, index)
	if err != nil {
		detail := "the write's answer was lost; look at the claim before you ask again"
		return codes.NewResult(codes.ChangeUnknown, detail).WithRetryAfter(comeBack)
	}
	if !swapped {
		return codes.NewResult(codes.ConfigConflict, "the claim moved meanwhile; look at it again")
	}
	return nil
}

func (s *Service) record(operator, team, key string, told claim.ReportedState, r admapi.ClaimResolution) {
	s.log.Info("claim-resolution",
		zap.String("operator", operator),
		zap.String("team", team),
		zap.String("key", key),
		zap.String("outcome", string(r.Outcome)),
		zap.String("agent-says", string(told)),
		zap.Bool("instance-gone", r.InstanceGone),
		zap.String("note", r.Note),
	)
}

// newRefusal says that nothing was settled, which is what its outcome speaks of.
func newRefusal(told claim.ReportedState, err error) error {
	code := codes.OutcomeNotKnown
	if told == claim.ReportedRunning || told == claim.ReportedDone {
		code = codes.InProgress
	}
	return codes.NewResult(code, err.Error()).WithOutcome(codes.OutcomeNotRun)
}

func describe(team, key string, r *claim.Record) admapi.Claim {
	out := admapi.Claim{
		Team:        team,
		Key:         key,
		State:       string(r.State),
		Attempt:     r.Attempt,
		Instance:    r.Agent,
		Incarnation: r.Incarnation,
		ClaimedAt:   r.ClaimedAt,
		ResolvedBy:  r.ResolvedBy,
		Outcome:     r.Outcome,
	}
	if !r.SettledAt.IsZero() {
		out.SettledAt = &r.SettledAt
	}
	if r.Answer != nil {
		out.AnswerStatus = r.Answer.Status
	}
	return out
}
