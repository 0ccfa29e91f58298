// Package claims is the agent's side of at-most-once: it runs the decisions of
// share/decide/claim and writes finished answers to the key-value service.
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

const retryPause = 500 * time.Millisecond

// Store reads and writes claim records.
type Store interface {
	// GetClaim returns the record of a key with its index; nil where there is none.
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	// SwapClaim writes the record if the key's index still is index.
	SwapClaim(ctx context.Context, key string, record claim.Record, index uint64) (bool, error)
}

// Keeper guards a claim.Guard with a lock and writes what it asks for.
type Keeper struct {
	store Store
	log   *zap.Logger

	lock  sync.Mutex
	guard *claim.Guard
}

// NewKeeper returns the keeper of a new incarnation.
func NewKeeper(guard *claim.Guard, store Store, log *zap.Logger) *Keeper {
	return &Keeper{guard: guard, store: store, log: log}
}

func (k *Keeper) step(e claim.Event) []claim.Action {
	k.lock.Lock()
	defer k.lock.Unlock()
	return k.guard.Step(time.Now(), e)
}

// AdmitAttempt decides on a dispatched attempt: nil lets it into the queue.
func (k *Keeper) AdmitAttempt(call *wire.Call) *codes.Result {
	actions := k.step(claim.Dispatched{
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

// StartAttempt says whether the attempt may be sent to the backend server now.
func (k *Keeper) StartAttempt(attempt string, until time.Time) *codes.Result {
	for _, action := range k.step(claim.Starting{Attempt: attempt, Deadline: until}) {
		switch a := action.(type) {
		case claim.Run:
			return nil
		case claim.Refuse:
			return codes.NewResult(a.Code, "the attempt may not start any more").WithOutcome(codes.OutcomeNotRun)
		}
	}
	return codes.NewResult(codes.Tombstoned, "the attempt was given up on before it started")
}

// DropAttempt notes that the attempt was refused and will not start.
func (k *Keeper) DropAttempt(attempt string) {
	k.step(claim.Dropped{Attempt: attempt})
}

// FinishAttempt notes the end of a run; a whole answer is written to the key-value service until that is confirmed.
func (k *Keeper) FinishAttempt(ctx context.Context, attempt string, outcome codes.Outcome, answer claim.Answer) {
	for _, action := range k.step(claim.RunFinished{Attempt: attempt, Outcome: outcome, Answer: answer}) {
		if write, ok := action.(claim.WriteAnswer); ok {
			go k.runWrite(ctx, write)
		}
	}
}

// AnswerAsk tells what became of an attempt; one that has not started is tombstoned.
func (k *Keeper) AnswerAsk(ask *wire.Ask) *wire.Told {
	for _, action := range k.step(claim.TombstoneRequested{Attempt: ask.GetAttempt(), Incarnation: ask.GetIncarnation()}) {
		if tell, ok := action.(claim.ReportAttempt); ok {
			return encodeTold(tell.Report)
		}
	}
	return &wire.Told{State: string(claim.ReportedBusy)}
}

func encodeTold(told claim.AttemptReport) *wire.Told {
	out := &wire.Told{State: string(told.State)}
	if told.Answer == nil {
		return out
	}
	encoded, err := claim.EncodeAnswer(*told.Answer)
	if err == nil {
		out.Answer = encoded
	}
	return out
}

// CountUnwritten returns the number of answers that the key-value service has not confirmed.
func (k *Keeper) CountUnwritten() int {
	k.lock.Lock()
	defer k.lock.Unlock()
	return len(k.guard.FindUnwritten())
}

// runWrite repeats the write through an outage: until it is confirmed, only
// this process knows the answer.
func (k *Keeper) runWrite(ctx context.Context, write claim.WriteAnswer) {
	for ctx.Err() == nil {
		err := k.writeDone(ctx, write)
		if err == nil {
			k.step(claim.AnswerWritten{Attempt: write.Attempt})
			return
		}
		k.log.Warn("claim-write-failed", zap.String("attempt", write.Attempt), zap.Error(err))
		pauses.Wait(ctx, retryPause)
	}
}

func (k *Keeper) writeDone(ctx context.Context, write claim.WriteAnswer) error {
	stored, err := k.store.GetClaim(ctx, write.Key)
	if err != nil {
		return err
	}
	if stored == nil {
		// Swept after its retention, or lost with the service's data: nothing is left to settle.
		k.log.Error("claim-gone", zap.String("key", write.Key), zap.String("attempt", write.Attempt))
		return nil
	}
	record, ok := claim.Finish(stored.Record, write.Attempt, write.Answer, time.Now())
	if !ok {
		return nil // settled already, by this write's lost answer or by an operator
	}
	swapped, err := k.store.SwapClaim(ctx, write.Key, record, stored.Index)
	if err != nil {
		return err
	}
	if !swapped {
		return ErrClaims.New("claim %s moved", write.Key)
	}
	return nil
}
