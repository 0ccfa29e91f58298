package sweep_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/entry/services/sweep"
	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/models/config"
)

// claims is a fake key-value service that holds claims.
type claims map[string]claim.Stored

func (c claims) FindClaimKeys(context.Context) ([]string, error) {
	keys := []string{}
	for key := range c {
		keys = append(keys, key)
	}
	return keys, nil
}

func (c claims) GetClaim(_ context.Context, key string) (*claim.Stored, error) {
	stored := c[key]
	return &stored, nil
}

func (c claims) DeleteClaim(_ context.Context, key string, index uint64) error {
	if c[key].Index == index {
		delete(c, key)
	}
	return nil
}

type snapshots struct{ snapshot *config.Snapshot }

func (s snapshots) Snapshot() *config.Snapshot { return s.snapshot }

// Guards against a second run of a call whose outcome is unknown: if its open claim were deleted
// like the settled ones, a caller that retries with the same key a day later would run the call
// again.
func TestOnlySettledClaimsAgeOut(t *testing.T) {
	old := time.Now().Add(-48 * time.Hour)
	cases := map[string]struct {
		record claim.Record
		kept   bool
	}{
		"done long ago":       {claim.Record{State: claim.StateDone, ClaimedAt: old, SettledAt: old}, false},
		"tombstoned long ago": {claim.Record{State: claim.StateTombstoned, ClaimedAt: old, SettledAt: old}, false},
		"done just now":       {claim.Record{State: claim.StateDone, ClaimedAt: old, SettledAt: time.Now()}, true},
		"open for long":       {claim.Record{State: claim.StateClaimed, ClaimedAt: old}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := claims{"claims/kranj/k1": {Record: c.record, Index: 7}}
			set := config.Set{Limits: []config.Limits{{Name: "deployment", ClaimRetention: config.Duration(24 * time.Hour)}}}
			s := sweep.NewSweeper(sweep.Options{
				Claims:    store,
				Snapshots: snapshots{snapshot: config.NewSnapshot(1, set)},
				Log:       zap.NewNop(),
			})
			_, err := s.SweepClaims(t.Context())
			is.NoErr(err)
			_, kept := store["claims/kranj/k1"]
			is.Equal(kept, c.kept)
		})
	}
}
