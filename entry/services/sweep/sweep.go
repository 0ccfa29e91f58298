// Package sweep deletes settled claims whose retention has passed. In: the
// claims of the key-value service. Out: deletions by compare-and-swap.
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
	// DefaultEvery is the time between two sweeps.
	DefaultEvery = 10 * time.Minute
	// DefaultPause keeps a sweep to some twenty reads a second of the service.
	DefaultPause = 50 * time.Millisecond
)

// Claims reads and deletes claims; *kvport.Port is one.
type Claims interface {
	FindClaimKeys(ctx context.Context) ([]string, error)
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	DeleteClaim(ctx context.Context, key string, index uint64) error
}

// Snapshots gives the configuration in force, or nil; its limits hold the retention.
type Snapshots interface {
	Snapshot() *config.Snapshot
}

// Turn says whether this entry is the one that sweeps. Two that sweep at once do no harm.
type Turn interface {
	IsOwnTurn() bool
}

// Options are the parts of a Sweeper.
type Options struct {
	Claims    Claims
	Snapshots Snapshots
	Turn      Turn
	Every     time.Duration
	// Pause is the time between two claims.
	Pause time.Duration
	Log   *zap.Logger
}

// Sweeper deletes what has expired.
type Sweeper struct {
	options Options
}

// NewSweeper returns a sweeper.
func NewSweeper(options Options) *Sweeper {
	return &Sweeper{options: options}
}

// Start sweeps until the context ends.
func (s *Sweeper) Start(ctx context.Context) {
	go s.loop(ctx)
}

func (s *Sweeper) loop(ctx context.Context) {
	ticker := time.NewTicker(s.options.Every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !s.options.Turn.IsOwnTurn() {
			continue
		}
		deleted, err := s.SweepClaims(ctx)
		s.options.Log.Info("claims-swept", zap.Int("deleted", deleted), zap.Error(err))
	}
}

// SweepClaims looks at every claim once and returns how many it deleted.
//
// Guards against a claim that is settled anew, or claimed again, between the
// read and the deletion: the deletion names the index that was read. Open
// claims never expire, since their calls may have run.
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
