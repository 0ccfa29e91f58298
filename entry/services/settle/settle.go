// Package settle shows operators the claims of non-idempotent calls and lets them settle a claim
// whose outcome is unknown.
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
	// tombstoneTimeout is the time limit of a tombstone request to the agent.
	tombstoneTimeout = 2 * time.Second
	// retryAfter is the Retry-After of a result after a read or write that the key-value service
	// did not answer.
	retryAfter = time.Second
)

// Claims reads and writes claims in the key-value service.
type Claims interface {
	// GetClaim returns nil if the key has no claim.
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	// SwapClaim reports whether it replaced the record. After an error the record may or may not
	// have been replaced.
	SwapClaim(ctx context.Context, key string, record claim.Record, index uint64) (bool, error)
}

// Agents sends requests to agents.
type Agents interface {
	// RequestTombstone tombstones an attempt that has not started, so that the agent never starts
	// it, and returns the attempt's state.
	RequestTombstone(ctx context.Context, name string, ask *wire.Ask) (*wire.Told, error)
}

// Service shows and settles claims.
type Service struct {
	claims Claims
	agents Agents
	log    *zap.Logger
}

// NewService returns a service that uses the given claims and agents.
func NewService(claims Claims, agents Agents, log *zap.Logger) *Service {
	return &Service{claims: claims, agents: agents, log: log}
}

// GetClaimByKey returns the claim of a caller's key from the key-value service.
func (s *Service) GetClaimByKey(ctx context.Context, team, key string) (admapi.Claim, error) {
	stored, err := s.readClaim(ctx, team, key)
	if err != nil {
		return admapi.Claim{}, err
	}
	return newClaim(team, key, &stored.Record), nil
}

func (s *Service) readClaim(ctx context.Context, team, key string) (*claim.Stored, error) {
	stored, err := s.claims.GetClaim(ctx, claim.Key(team, key))
	if err != nil {
		return nil, codes.NewResult(codes.StoreUnavailable, "the claim could not be read").WithRetryAfter(retryAfter)
	}
	if stored == nil {
		return nil, codes.NewResult(codes.NotFound, "the team has no claim of this key")
	}
	return stored, nil
}

// ResolveClaim settles an open claim with the outcome that the operator found. It first sends the
// agent a tombstone request. An agent that has not started the attempt then never starts it. If the
// agent is running the attempt or has its answer, no operator is needed and the resolution is
// refused.
func (s *Service) ResolveClaim(ctx context.Context, operator, team, key string, r admapi.ClaimResolution) (admapi.Claim, error) {
	stored, err := s.readClaim(ctx, team, key)
	if err != nil {
		return admapi.Claim{}, err
	}
	if stored.Record.State != claim.StateClaimed {
		detail := "the claim is " + string(stored.Record.State) + "; there is nothing to settle"
		return admapi.Claim{}, codes.NewResult(codes.ConfigConflict, detail)
	}
	reported := s.requestTombstone(ctx, claim.Key(team, key), &stored.Record)
	resolution := claim.Resolution{Operator: operator, Outcome: r.Outcome, Reported: reported, InstanceGone: r.InstanceGone}
	record, err := claim.Resolve(stored.Record, resolution, time.Now())
	if err != nil {
		return admapi.Claim{}, newRefusal(reported, err)
	}
	// The resolution is logged before the write: the write's answer may be lost, and the operator's
	// decision must be on record in any case.
	s.logResolution(operator, team, key, reported, r)
	if err := s.swap(ctx, claim.Key(team, key), record, stored.Index); err != nil {
		return admapi.Claim{}, err
	}
	settled := newClaim(team, key, &record)
	settled.AgentReport = string(reported)
	return settled, nil
}

func (s *Service) requestTombstone(ctx context.Context, key string, record *claim.Record) claim.ReportedState {
	ctx, cancel := context.WithTimeout(ctx, tombstoneTimeout)
	defer cancel()
	reported, err := s.agents.RequestTombstone(ctx, record.Agent, &wire.Ask{
		ClaimKey:    key,
		Attempt:     record.Attempt,
		Incarnation: record.Incarnation,
	})
	if err != nil {
		return claim.ReportedUnreachable
	}
	return claim.ReportedState(reported.GetState())
}

func (s *Service) swap(ctx context.Context, key string, record claim.Record, index uint64) error {
	swapped, err := s.claims.SwapClaim(ctx, key, record, index)
	if err != nil {
		detail := "the write's answer was lost; look at the claim before you ask again"
		return codes.NewResult(codes.ChangeUnknown, detail).WithRetryAfter(retryAfter)
	}
	if !swapped {
		return codes.NewResult(codes.ConfigConflict, "the claim moved meanwhile; look at it again")
	}
	return nil
}

// logResolution logs who settles which claim, how and why.
func (s *Service) logResolution(operator, team, key string, reported claim.ReportedState, r admapi.ClaimResolution) {
	s.log.Info("claim-resolution",
		zap.String("operator", operator),
		zap.String("team", team),
		zap.String("key", key),
		zap.String("outcome", string(r.Outcome)),
		zap.String("agent-says", string(reported)),
		zap.Bool("instance-gone", r.InstanceGone),
		zap.String("note", r.Note),
	)
}

// newRefusal returns the result of a refused resolution. Its outcome is "not run" because the
// resolution did not take effect; it does not describe the attempt.
func newRefusal(reported claim.ReportedState, err error) error {
	code := codes.OutcomeNotKnown
	if reported == claim.ReportedRunning || reported == claim.ReportedDone {
		code = codes.InProgress
	}
	return codes.NewResult(code, err.Error()).WithOutcome(codes.OutcomeNotRun)
}

func newClaim(team, key string, r *claim.Record) admapi.Claim {
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
