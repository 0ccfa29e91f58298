// Package stages produces the results of a request's stages. It takes the stages of one request
// and returns the handles of the results that the engine fetches, or the reason why there are
// none. Each queue has a batcher, the ingress that combines the jobs of all ingresses into calls;
// the other ingresses send their jobs to it.
package stages

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// Chain describes the stages that one request needs.
type Chain struct {
	AttemptID string
	// RequestDigest is the same for all attempts of the request.
	RequestDigest string
	// ItemKey is the input of stages that take no results of other stages.
	ItemKey string
	// ItemCounts is the number of results of each stage.
	ItemCounts []int
	Stages     []site.Stage
	Rank       site.Rank
	// Team is the team of the request's caller; empty: none.
	Team string
	// Target is when the answer of the request should begin, Deadline when its caller stops
	// waiting.
	Target   time.Time
	Deadline time.Time
	// Residency limits the regions in which the results may be produced.
	Residency site.Residency
	// Domain is the failure domain of the engine.
	Domain string
	// Refuse returns the refusal of the request if no further stage may start, and nil otherwise.
	// It is called before the first stage and after each stage. The field may be nil.
	Refuse func() *codes.Result
	// EndBy returns when the stages must have ended because the process stops; false: it does not stop. A request that
	// would be held for its first stage, or whose stages would end later, is then refused, so that another ingress takes
	// it. The field may be nil.
	EndBy func() (at time.Time, isStopping bool)
	// OnLastStage is called when the last stage starts. If the chain is restarted, it may be called
	// again. The field may be nil.
	OnLastStage func()
	Log         *zap.Logger
}

// itemCount returns the number of results of a stage.
func (c *Chain) itemCount(stage int) int {
	if stage >= len(c.ItemCounts) {
		return 0
	}
	return c.ItemCounts[stage]
}

// isFinal reports whether no other stage takes the results of this one.
func (c *Chain) isFinal(stage int) bool {
	for _, s := range c.Stages {
		if slices.Contains(s.After, stage) {
			return false
		}
	}
	return true
}

// Results holds the handles of the results that an engine fetches before it prefills the prompt.
type Results struct {
	Handles  []string
	release  func()
	released atomic.Bool
}

// NewResults returns results with the given handles. Release calls the function release once.
func NewResults(handles []string, release func()) *Results {
	return &Results{Handles: handles, release: release}
}

// Release releases the results. Further calls do nothing.
func (r *Results) Release() {
	if r.released.CompareAndSwap(false, true) {
		r.release()
	}
}

// IsReleased reports whether the results were released.
func (r *Results) IsReleased() bool { return r.released.Load() }

// maxRestarts limits how often a chain is restarted because an input no longer existed.
const maxRestarts = 2

// ProduceChain produces the results of all stages.
//
// The inputs of a stage may be lost before its results are produced: their server may fail, or
// they were released once they had been fetched and the call then failed. The chain is then
// restarted if it can still end in time, because a retry by the caller would do the same later and
// with less time left.
func (p *Producer) ProduceChain(ctx context.Context, c Chain) (*Results, *codes.Result) {
	c.Stages = p.assignQueues(&c)
	for restarts := 0; ; restarts++ {
		plan, result := p.admit(ctx, &c)
		if result != nil {
			return nil, result
		}
		r := p.newChainRun(c, plan)
		results, failed := r.produceResults(ctx)
		if failed == nil {
			return results, nil
		}
		if !r.inputGone || restarts == maxRestarts {
			return nil, failed
		}
		c.Log.Info("chain-restarted", zap.Int("restarts", restarts+1), zap.String("detail", failed.Detail))
	}
}
