package pieces_test

import (
	"context"
	"net/netip"
	"strings"
	"sync"
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

func (*stopping) RankIn(string, string) []string { return []string{"other", "self"} }
func (*stopping) Self() string                   { return "self" }

func (s *stopping) Produce(context.Context, string, *wire.Produce) (*wire.Produced, error) {
	s.asked++
	return &wire.Produced{Outcome: "canceled"}, nil
}

func (*stopping) Discard(string, *wire.Discard) error { return nil }

// pool makes every result at once.
type pool struct{}

func (pool) Make(_ context.Context, server site.Server, items []site.Item) (site.BatchAnswer, error) {
	results := []site.ItemResult{}
	for range items {
		results = append(results, site.ItemResult{Outcome: site.ItemMade, Handle: server.Address.String() + "/1"})
	}
	return site.BatchAnswer{Results: results}, nil
}

func (pool) ReadHolder(handle string) (netip.AddrPort, error) {
	address, _, _ := strings.Cut(handle, "/")
	return netip.ParseAddrPort(address)
}

func (pool) Warm(site.Server) {}

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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	owner.Start(ctx) // jobs are gathered until its planner looks again
	peers := &stopping{}
	maker := pieces.NewMaker(peers, owner, log)
	view := &state.View{
		Table: access.NewTable(&site.Config{Version: 1, Services: []site.Service{{Name: "encoders", Pool: &site.Pool{
			Slots: 1, MaxBatch: 8, CallTime: time.Millisecond, ItemTime: time.Millisecond, ResultMemoryBytes: 1000, ResultTTL: time.Second,
		}}}}),
		Servers: map[string][]site.Server{"encoders": {{ID: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: site.ServerReady}}},
	}
	owner.TakeView(view)
	maker.TakeView(view)
	results, failed := maker.MakeChain(ctx, pieces.Chain{
		AttemptID: "a", Items: []int{2}, Stages: []site.Stage{{Service: "encoders", ResultBytes: 10}},
		Target: time.Now().Add(10 * time.Second), Ends: time.Now().Add(20 * time.Second), Log: log,
	})
	is.Equal(failed, nil)
	is.Equal(len(results.Handles), 2)
	is.True(peers.asked > 0)
}

// batching is another ingress that makes all results at one server and notes the
// domains that it is asked for.
type batching struct {
	lock    sync.Mutex
	domains map[string]string
}

func (*batching) RankIn(string, string) []string      { return []string{"other"} }
func (*batching) Self() string                        { return "self" }
func (*batching) Discard(string, *wire.Discard) error { return nil }

func (b *batching) Produce(_ context.Context, _ string, p *wire.Produce) (*wire.Produced, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.domains[p.GetService()] = p.GetDomain()
	made := &wire.Produced{Outcome: "made"}
	for range p.GetCount() {
		made.Handles = append(made.Handles, "127.0.0.1:7/1")
	}
	return made, nil
}

// Passages of 60 KB were made away from the engine, where a server was free. Each of
// ten texts fetches all of them: made beside the engine, they would move megabytes
// between domains, made beside the passages a few kilobytes.
func TestStageIsMadeBesideLargeInputs(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	owner := pieces.NewOwner(pieces.OwnerOptions{Pools: pool{}, Meter: noMeter{}, Log: log})
	peers := &batching{domains: map[string]string{}}
	maker := pieces.NewMaker(peers, owner, log)
	description := &site.Pool{Slots: 1, MaxBatch: 40, ResultMemoryBytes: 1 << 20, ResultTTL: 4 * time.Second}
	maker.TakeView(&state.View{
		Table: access.NewTable(&site.Config{Version: 1, Services: []site.Service{
			{Name: "retrievers", Pool: description}, {Name: "writers", Pool: description},
		}}),
		Servers: map[string][]site.Server{"retrievers": {{ID: "p", Address: netip.MustParseAddrPort("127.0.0.1:7"), Domain: "b"}}},
	})
	_, failed := maker.MakeChain(context.Background(), pieces.Chain{
		AttemptID: "a", Items: []int{6, 10}, Domain: "a", Log: log,
		Stages: []site.Stage{{Service: "retrievers", ResultBytes: 60_000}, {Service: "writers", After: []int{0}, ResultBytes: 6_000}},
		Target: time.Now().Add(10 * time.Second), Ends: time.Now().Add(20 * time.Second),
	})
	is.Equal(failed, nil)
	is.Equal(peers.domains, map[string]string{"retrievers": "a", "writers": "b"})
}

// A batcher is asked for a service that its own configuration does not hold yet, and
// gives the job up. The ingress that asked must not take that for a service of which
// no server answers: it would refuse the requests of the next second.
func TestGivenUpJobTellsNoOutlook(t *testing.T) {
	is := is.New(t)
	owner := pieces.NewOwner(pieces.OwnerOptions{Pools: pool{}, Meter: noMeter{}, Log: zap.NewNop()})
	maker := pieces.NewMaker(&stopping{}, owner, zap.NewNop())
	made := maker.ServeProduce(t.Context(), &wire.Produce{Service: "unknown", Count: 1})
	is.Equal(made.GetOutcome(), "no-server")
	is.Equal(made.GetOutlook(), nil)
}
