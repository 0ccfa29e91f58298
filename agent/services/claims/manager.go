// Package claims starts each claimed attempt at most once on this agent. It carries out the
// decisions of share/decide/claim and writes finished answers to the key-value service.
package claims

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

// ErrClaims is the class of errors of this package.
var ErrClaims = errs.Class("claims") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// writeRetryInterval is the time between two tries to write an answer.
const writeRetryInterval = 500 * time.Millisecond

// Store reads and writes claim records.
type Store interface {
	// GetClaim returns the record of a key with its index; nil if there is none.
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	// SwapClaim writes the record if the key's index is still the given one, and reports whether it
	// did so.
	SwapClaim(ctx context.Context, key string, record claim.Record, index uint64) (bool, error)
}

// Manager makes a claim.Guard safe for concurrent use and carries out the writes that it returns.
type Manager struct {
	store Store
	log   *zap.Logger

	// lock guards guard.
	lock  sync.Mutex
	guard *claim.Guard
}

// NewManager returns a manager that uses the guard of a new incarnation.
func NewManager(guard *claim.Guard, store Store, log *zap.Logger) *Manager {
	return &Manager{guard: guard, store: store, log: log}
}

func (m *Manager) step(e claim.Event) []claim.Action {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.guard.Step(time.Now(), e)
}

// AdmitAttempt decides whether a dispatched attempt may be queued. It returns nil if so, and
// otherwise the refusal.
func (m *Manager) AdmitAttempt(call *wire.Call) *codes.Result {
	actions := m.step(claim.Dispatched{
		Key:         call.GetClaimKey(),
		Attempt:     call.GetClaimAttempt(),
		Incarnation: call.GetIncarnation(),
	})
	for _, action := range actions {
		switch a := action.(type) {
		case claim.Enqueue:
			return nil
		case claim.Refuse:
			return codes.NewResult(a.Code, "the attempt may not start").WithOutcome(codes.OutcomeNotRun)
		case claim.ReportAttempt:
			return codes.NewResult(codes.InProgress, "a copy of the attempt has started: "+string(a.Report.State))
		}
	}
	return codes.NewResult(codes.Internal, "no decision on the attempt")
}

// StartAttempt decides whether the attempt may be sent to the backend server now. It returns nil if
// so, and otherwise the refusal.
func (m *Manager) StartAttempt(attempt string, deadline time.Time) *codes.Result {
	for _, action := range m.step(claim.Starting{Attempt: attempt, Deadline: deadline}) {
		switch a := action.(type) {
		case claim.Run:
			return nil
		case claim.Refuse:
			return codes.NewResult(a.Code, "the attempt may not start any more").WithOutcome(codes.OutcomeNotRun)
		}
	}
	return codes.NewResult(codes.Tombstoned, "the attempt was given up on before it started")
}

// DropAttempt records that the attempt was refused and will not start.
func (m *Manager) DropAttempt(attempt string) {
	m.step(claim.Dropped{Attempt: attempt})
}

// FinishAttempt records the end of a run. If the run completed, the answer is written to the
// key-value service in the background, with retries until the write is confirmed.
func (m *Manager) FinishAttempt(ctx context.Context, attempt string, outcome codes.Outcome, answer claim.Answer) {
	for _, action := range m.step(claim.RunFinished{Attempt: attempt, Outcome: outcome, Answer: answer}) {
		if write, ok := action.(claim.WriteAnswer); ok {
			go m.runWrite(ctx, write)
		}
	}
}

// AnswerAsk returns the state of an attempt. An attempt that has not started is tombstoned first,
// so that it can never start.
func (m *Manager) AnswerAsk(ask *wire.Ask) *wire.Told {
	for _, action := range m.step(claim.TombstoneRequested{Attempt: ask.GetAttempt(), Incarnation: ask.GetIncarnation()}) {
		if report, ok := action.(claim.ReportAttempt); ok {
			return encodeReport(report.Report)
		}
	}
	return &wire.Told{State: string(claim.ReportedBusy)}
}

func encodeReport(report claim.AttemptReport) *wire.Told {
	out := &wire.Told{State: string(report.State)}
	if report.Answer == nil {
		return out
	}
	encoded, err := claim.EncodeAnswer(*report.Answer)
	if err == nil {
		out.Answer = encoded
	}
	return out
}

// CountUnwritten returns the number of answers that are not yet confirmed as written to the
// key-value service.
func (m *Manager) CountUnwritten() int {
	m.lock.Lock()
	defer m.lock.Unlock()
	return len(m.guard.FindUnwritten())
}

// runWrite retries the write until it is confirmed, also while the key-value service is
// unavailable, because until then only this process has the answer.
func (m *Manager) runWrite(ctx context.Context, write claim.WriteAnswer) {
	for ctx.Err() == nil {
		err := m.writeAnswer(ctx, write)
		if err == nil {
			m.step(claim.AnswerWritten{Attempt: write.Attempt})
			return
		}
		m.log.Warn("claim-write-failed", zap.String("attempt", write.Attempt), zap.Error(err))
		pauses.Wait(ctx, writeRetryInterval)
	}
}

func (m *Manager) writeAnswer(ctx context.Context, write claim.WriteAnswer) error {
	stored, err := m.store.GetClaim(ctx, write.Key)
	if err != nil {
		return err
	}
	if stored == nil {
		// The record was removed after its retention or lost with the service's data. There is
		// nothing left to settle.
		m.log.Error("claim-gone", zap.String("key", write.Key), zap.String("attempt", write.Attempt))
		return nil
	}
	record, ok := claim.Finish(stored.Record, write.Attempt, write.Answer, time.Now())
	if !ok {
		return nil // an earlier try wrote it but its confirmation was lost, or the key has another attempt now
	}
	swapped, err := m.store.SwapClaim(ctx, write.Key, record, stored.Index)
	if err != nil {
		return err
	}
	if !swapped {
		return ErrClaims.New("claim %s was changed by another writer since it was read", write.Key)
	}
	return nil
}
