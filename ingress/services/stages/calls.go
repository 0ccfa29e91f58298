package stages

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

// runCall sends one call and reports its result to the planner.
func (b *Batcher) runCall(queue string, q *jobQueue, c batch.Call) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	b.options.Pools.Preconnect(c.Server)
	answer, err := b.options.Pools.Produce(ctx, c.Server, c.Items)
	took := time.Since(start)
	outcome := "answered"
	if err != nil {
		outcome = "broken"
	} else if len(answer.Results) > 0 && answer.Results[0].Outcome == site.ItemRefused {
		outcome = "refused"
	}
	b.options.Meter.CountBatch(queue, outcome, len(c.Items), took)
	b.options.Log.Info("batch", zap.String("service", queue), zap.String("server", c.Server.ID), zap.Int("items", len(c.Items)),
		zap.String("outcome", outcome), zap.String("results", formatOutcomes(answer.Results)), zap.Stringer("load", answer.Load),
		zap.Int64("held-bytes", c.HeldBytes), zap.Int("waiting", c.QueuedItems), zap.Int("limited-servers", c.LimitedServers),
		zap.Duration("took", took), logs.Err(err))
	b.lock.Lock()
	defer b.lock.Unlock()
	b.perform(queue, q, q.planner.FinishCall(time.Now(), c.ID, batch.CallResult{
		Results: answer.Results, Load: answer.Load, RoundTrip: answer.RoundTrip, Failed: err != nil, Unsent: isUnsent(err),
	}))
}

// isUnsent reports whether a call failed before it was sent, because its server takes no calls or no
// connection to it could be established.
func isUnsent(err error) bool {
	var failed *net.OpError
	return errors.Is(err, reach.ErrNotSent) || errors.As(err, &failed) && failed.Op == "dial"
}

// formatOutcomes returns the number of results of each outcome, for example "made=12,no-room=2".
func formatOutcomes(results []site.ItemResult) string {
	counts := map[string]int{}
	for _, r := range results {
		counts[string(r.Outcome)]++
	}
	parts := []string{}
	for _, outcome := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", outcome, counts[outcome]))
	}
	return strings.Join(parts, ",")
}

// loopTick makes the planners check regularly whether jobs that wait can be sent or have expired.
func (b *Batcher) loopTick(ctx context.Context) {
	for pauses.Wait(ctx, tickInterval) {
		b.lock.Lock()
		for name, q := range b.queues {
			if q.planner.CountJobs() > 0 {
				b.perform(name, q, q.planner.Tick(time.Now()))
			}
		}
		b.lock.Unlock()
	}
}
