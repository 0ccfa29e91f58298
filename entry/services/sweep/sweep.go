// Package sweep deletes settled claims from the key-value service once their retention period has
// passed. It deletes by compare-and-swap.
package sweep

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/pauses"
)

const (
	// DefaultInterval is the time between two sweeps.
	DefaultInterval = 10 * time.Minute
	// DefaultPause limits a sweep to about twenty reads of the key-value service per second.
	DefaultPause = 50 * time.Millisecond
)

// Claims reads and deletes claims; *kvport.Port implements it.
type Claims interface {
	FindClaimKeys(ctx context.Context) ([]string, error)
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	DeleteClaim(ctx context.Context, key string, index uint64) error
}

// Snapshots returns the configuration in force, or nil if there is none. Its limits hold the
// retention period.
type Snapshots interface {
	Snapshot() *config.Snapshot
}

// Election reports whether this entry is the one that sweeps. Two entries that sweep at once do no
// harm.
type Election interface {
	IsSweeper() bool
}

// Options are the dependencies and settings of a Sweeper.
type Options struct {
	Claims    Claims
	Snapshots Snapshots
	Election  Election
	Interval  time.Duration
	// Pause is the wait after each claim.
	Pause time.Duration
	Log   *zap.Logger
}

// Sweeper deletes expired claims.
type Sweeper struct {
	options Options
}

// NewSweeper returns a sweeper.
func NewSweeper(options Options) *Sweeper {
	return &Sweeper{options: options}
}

// Start sweeps periodically until the context ends.
func (s *Sweeper) Start(ctx context.Context) {
	go s.loop(ctx)
}

func (s *Sweeper) loop(ctx context.Context) {
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.options.Election.IsSweeper() {
			continue
		}
		deleted, err := s.SweepClaims(ctx)
		s.options.Log.Info("claims-swept", zap.Int("deleted", deleted), zap.Error(err))
	}
}

// SweepClaims checks every claim once and returns the number of claims that it deleted.
//
// A deletion names the index that was read, so that it does not delete a claim that was settled or
// claimed again since the read. Open claims never expire, since their calls may have run.
func (s *Sweeper) SweepClaims(ctx context.Context) (int, error) {
	snapshot := s.options.Snapshots.Snapshot()
	if snapshot == nil {
		return 0, nil
	}
	retention := snapshot.GetLimits().ClaimRetention.Value()
	keys, err := s.options.Claims.FindClaimKeys(ctx)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, key := range keys {
		gone, err := s.sweepClaim(ctx, key, retention)
		if err != nil {
			return deleted, err
		}
		if gone {
			deleted++
		}
		if !pauses.Wait(ctx, s.options.Pause) {
			return deleted, ctx.Err()
		}
	}
	return deleted, nil
}

func (s *Sweeper) sweepClaim(ctx context.Context, key string, retention time.Duration) (bool, error) {
	stored, err := s.options.Claims.GetClaim(ctx, key)
	if err != nil || stored == nil {
		return false, err
	}
	if retention <= 0 || !stored.Record.Expired(time.Now(), retention) {
		return false, nil
	}
	return true, s.options.Claims.DeleteClaim(ctx, key, stored.Index)
}
