// Package pieces has the results of a request's stages made. In: the stages of
// one request. Out: the handles that its engine fetches, or why there are none.
// One ingress batches for each service; the others hand their jobs to it.
package pieces

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// Chain is what one request needs.
type Chain struct {
	AttemptID string
	// Request is the same for all attempts of the request.
	Request string
	Key     string
	// Items is the number of results of each stage.
	Items  []int
	Stages []site.Stage
	Rank   site.Rank
	// Target is when the request should begin to answer, Ends when it must have ended.
	Target time.Time
	Ends   time.Time
	// Residency bounds the regions in which the results are made.
	Residency site.Residency
	// Domain is the failure domain of the engine.
	Domain string
	// Refuse says why no further stage is to begin; nil: nothing speaks against it. It is not set
	// where nothing ever does.
	Refuse func() *codes.Result
	// OnLast is told once when the last stage begins; nil: nobody is.
	OnLast func()
	Log    *zap.Logger
}

// count returns the number of results of a stage.
func (c *Chain) count(stage int) int {
	if stage >= len(c.Items) {
		return 0
	}
	return c.Items[stage]
}

// isLast tells whether no other stage takes the results of this one.
func (c *Chain) isLast(stage int) bool {
	for _, s := range c.Stages {
		if slices.Contains(s.After, stage) {
			return false
		}
	}
	return true
}

// Results are what an engine fetches before it reads the prompt.
type Results struct {
	Handles  []string
	release  func()
	released atomic.Bool
}

// NewResults returns results that release gives up.
func NewResults(handles []string, release func()) *Results {
	return &Results{Handles: handles, release: release}
}

// Release gives up the results; further calls do nothing.
func (r *Results) Release() {
	if r.released.CompareAndSwap(false, true) {
		r.release()
	}
}

// IsReleased tells whether the results were given up.
func (r *Results) IsReleased() bool { return r.released.Load() }

// maxRestarts bounds how often a chain is begun anew after an input had gone.
const maxRestarts = 2

// MakeChain makes the results of all stages, each as soon as its inputs are there.
//
// Inputs may go before their stage is made: with their server, or because they were
// given up once fetched and the call then failed. The chain is begun anew then, if
// it can still be of use: the caller would do the same, later and with less time.
func (m *Maker) MakeChain(ctx context.Context, c Chain) (*Results, *codes.Result) {
	c.Stages = m.assignQueues(&c)
	for restarts := 0; ; restarts++ {
		plan, result := m.admit(ctx, &c)
		if result != nil {
			return nil, result
		}
		w := m.newWalk(c, plan)
		results, failed := w.makeResults(ctx)
		if failed == nil {
			return results, nil
		}
		if !w.isGone || restarts == maxRestarts {
			return nil, failed
		}
		c.Log.Info("chain-restarted", zap.Int("restarts", restarts+1), zap.String("detail", failed.Detail))
	}
}
