package stages

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/chain"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/pauses"
)

const (
	// heldCheckInterval is how often a held request checks whether it can be admitted now.
	heldCheckInterval = 50 * time.Millisecond
	// heldAdmitInterval is the minimum time between two held requests that one ingress admits. All
	// held requests see the same backlog; if they were admitted together, they would fill the
	// queue at once.
	heldAdmitInterval = 100 * time.Millisecond
)

// admit waits until the first stage of a request may start and returns its plan, or why the
// request is refused.
func (p *Producer) admit(ctx context.Context, c *Chain) (chain.Plan, *codes.Result) {
	start := time.Now()
	held := false
	for {
		plan := p.newPlan(c)
		verdict, retryAfter := plan.Admit(time.Now(), c.Target, c.Deadline)
		if verdict == chain.Refuse {
			return plan, codes.NewResult(codes.DeadlineUnmeetable, "the stages would take "+plan.LateTotal.Round(time.Millisecond).String()).
				WithRetryAfter(max(retryAfter, minRetryAfter))
		}
		if refused := c.refuseStopping(&plan, held || verdict == chain.Hold); refused != nil {
			return plan, refused
		}
		if verdict == chain.Admit && (!held || p.tryAdmitHeld()) {
			c.Log.Info("admitted", zap.String("team", c.Team), zap.Int("rank", int(c.Rank)), zap.Duration("held", time.Since(start)), zap.Duration("on-time", plan.Total),
				zap.Duration("late", plan.LateTotal), zap.Duration("target", time.Until(c.Target)), zap.Duration("ends", time.Until(c.Deadline)))
			return plan, nil
		}
		if !held {
			held = true
			c.Log.Info("held", zap.Duration("on-time", plan.Total), zap.Duration("late", plan.LateTotal))
		}
		if !pauses.Wait(ctx, heldCheckInterval) {
			return plan, codes.NewResult(codes.Canceled, "the request was given up").WithOutcome(codes.OutcomeNotRun)
		}
	}
}

// tryAdmitHeld reports whether a held request may be admitted now, and records its admission. At
// most one is admitted per heldAdmitInterval.
func (p *Producer) tryAdmitHeld() bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	now := time.Now()
	if now.Sub(p.lastHeldAdmit) < heldAdmitInterval {
		return false
	}
	p.lastHeldAdmit = now
	return true
}

// refuseStopping returns the refusal of a request that a stopping process does not admit, or nil.
func (c *Chain) refuseStopping(plan *chain.Plan, held bool) *codes.Result {
	if c.EndBy == nil {
		return nil
	}
	now := time.Now()
	by, isStopping := c.EndBy()
	if !isStopping || !held && plan.CanEndBy(now, c.Target, by) {
		return nil
	}
	return codes.NewResult(codes.Draining, fmt.Sprintf("stopping; the stages would take %v, or %v if late, and must end within %v",
		plan.Total.Round(time.Millisecond), plan.LateTotal.Round(time.Millisecond), by.Sub(now).Round(time.Millisecond)))
}
