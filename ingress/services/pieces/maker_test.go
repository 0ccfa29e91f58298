package pieces_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/pieces"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// stopping is another ingress that gives up every job, as it does when it stops.
type stopping struct{ asked int }

func (*stopping) Rank(string) []string { return []string{"other", "self"} }
func (*stopping) Self() string         { return "self" }

func (s *stopping) Produce(context.Context, string, *wire.Produce) (*wire.Produced, error) {
	s.asked++
	return &wire.Produced{Outcome: "canceled"}, nil
}

func (*stopping) Discard(string, *wire.Discard) error { return nil }

// pool makes every result at once.
type pool struct{}

func (pool) Make(_ context.Context, server site.Server, items []site.Item) ([]site.ItemResult, *site.Load, error) {
	results := []site.ItemResult{}
	for range items {
		results = append(results, site.ItemResult{Outcome: site.ItemMade, Handle: server.Address.String() + "/1", Holder: server.Address})
	}
	return results, nil, nil
}

func (pool) Release(context.Context, netip.AddrPort, []string) error { return nil }

type noMeter struct{}

func (noMeter) CountBatch(string, string, int, time.Duration) {}

// A review's stage is handed to the ingress that batches, which is told to stop and
// gives the job up. The caller waits for its review all the while; it must get
// the results, and not the answer for a caller that has left.
func TestJobThatABatcherGivesUpIsDoneHere(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	owner := pieces.NewOwner(pieces.OwnerOptions{
		Pools: pool{}, Meter: noMeter{}, Log: log, Repeats: budget.Settings{Ratio: 1, Slack: 10, Window: time.Second},
	})
	peers := &stopping{}
	maker := pieces.NewMaker(peers, owner, log)
	view := &state.View{
		Table: access.NewTable(&site.Config{Version: 1, Services: []site.Service{{Name: "encoders", Pool: &site.Pool{
			Slots: 1, Batch: 8, CallTime: time.Millisecond, ItemTime: time.Millisecond, RoomBytes: 1000, KeepTime: time.Second,
		}}}}),
		Servers: map[string][]site.Server{"encoders": {{ID: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: site.ServerReady}}},
	}
	owner.TakeView(view)
	maker.TakeView(view)
	results, failed := maker.MakeChain(context.Background(), pieces.Chain{
		AttemptID: "a", Items: []int{2}, Stages: []site.Stage{{Service: "encoders", ResultBytes: 10}},
		Target: time.Now().Add(10 * time.Second), Ends: time.Now().Add(20 * time.Second), Log: log,
	})
	is.Equal(failed, nil)
	is.Equal(len(results.Handles), 2)
	is.True(peers.asked > 0)
}
