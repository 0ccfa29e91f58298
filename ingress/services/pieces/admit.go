package pieces

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/chain"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/pauses"
)

const (
	// holdStep is how often a request that is held looks again.
	holdStep = 50 * time.Millisecond
	// lateEvery is the pause between two held requests that begin at one ingress:
	// all of them see the same queue, and would else fill it at once.
	lateEvery = 100 * time.Millisecond
)

// admit returns the plan of a request that may begin now, or why it may not.
func (m *Maker) admit(ctx context.Context, c *Chain) (chain.Plan, *codes.Result) {
	began := time.Now()
	held := false
	for {
		plan := m.newPlan(c)
		verdict, pause := plan.Admit(time.Now(), c.Target, c.Ends)
		switch {
		case verdict == chain.Refuse:
			return plan, codes.NewResult(codes.DeadlineUnmeetable, "the stages would take "+plan.LateTotal.Round(time.Millisecond).String()).
				WithRetryAfter(max(pause, minPause))
		case verdict == chain.Admit && (!held || m.takeLateTurn()):
			c.Log.Info("admitted", zap.Duration("held", time.Since(began)), zap.Duration("on-time", plan.Total),
				zap.Duration("late", plan.LateTotal), zap.Duration("target", time.Until(c.Target)), zap.Duration("ends", time.Until(c.Ends)))
			return plan, nil
		}
		if !held {
			held = true
			c.Log.Info("held", zap.Duration("on-time", plan.Total), zap.Duration("late", plan.LateTotal))
		}
		if !pauses.Wait(ctx, holdStep) {
			return plan, codes.NewResult(codes.Canceled, "the request was given up").WithOutcome(codes.OutcomeNotRun)
		}
	}
}

// takeLateTurn lets one held request begin at a time.
func (m *Maker) takeLateTurn() bool {
	m.lock.Lock()
	defer m.lock.Unlock()
	now := time.Now()
	if now.Sub(m.lateTurn) < lateEvery {
		return false
	}
	m.lateTurn = now
	return true
}
