package cmds_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/cmds"
	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/models/site"
)

// quietStore answers each watch once its time is over, after a round trip. Nothing changes in it.
type quietStore struct{ roundTrip time.Duration }

func (s quietStore) List(context.Context, string) ([]site.Record, site.Revision, error) {
	time.Sleep(s.roundTrip)
	return nil, site.Revision{Era: 1, Number: 1}, nil
}

func (s quietStore) Watch(ctx context.Context, _ string, after site.Revision, wait time.Duration) ([]site.Record, site.Revision, error) {
	select {
	case <-time.After(wait + s.roundTrip):
		return nil, after, nil
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

func (quietStore) Close() {}

// Guards against an ingress that cannot rely on what it knows, although the store answers each of its calls, since a watch
// lasts so long that the one before it was asked more than a lease ago when it is answered.
func TestRecordsAreConfirmedWithinTheLease(t *testing.T) {
	for _, roundTrip := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(roundTrip.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRecordsAge(t, quietStore{roundTrip}) })
		})
	}
}

// checkRecordsAge checks every few milliseconds, for half a minute, that an ingress may rely on its records.
func checkRecordsAge(t *testing.T, s quietStore) {
	t.Helper()
	settings := cmds.Store{Wait: 4 * time.Second}
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	(&state.Watcher{Book: b, Store: s, Wait: settings.WatchTime()}).Start(t.Context())
	time.Sleep(3 * time.Second)
	oldest, late := time.Duration(0), 0
	const lookups = 6000
	for range lookups {
		time.Sleep(5 * time.Millisecond)
		age := b.RecordsAge()
		oldest = max(oldest, age)
		if age > origin.Lease {
			late++
		}
	}
	if late > 0 {
		t.Errorf("the records are up to %v old, and over a lease at %d of %d lookups", oldest, late, lookups)
	}
}
