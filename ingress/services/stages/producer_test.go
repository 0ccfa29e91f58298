package stages_test

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/ledger"
	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/avail"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/wire"
)

// stoppingPeer is another ingress that cancels every job, as an ingress does while it stops.
type stoppingPeer struct{ jobs int }

func (*stoppingPeer) RankIn(string, string) []string { return []string{"other", "self"} }
func (*stoppingPeer) Self() string                   { return "self" }

func (s *stoppingPeer) Produce(context.Context, string, *wire.Produce) (*wire.Produced, error) {
	s.jobs++
	return &wire.Produced{Outcome: "canceled"}, nil
}

func (*stoppingPeer) Discard(string, *wire.Discard) error { return nil }

// instantPool produces every result at once.
type instantPool struct{}

func (instantPool) Produce(_ context.Context, server site.Server, items []site.Item) (site.BatchAnswer, error) {
	results := []site.ItemResult{}
	for range items {
		results = append(results, site.ItemResult{Outcome: site.ItemMade, Handle: server.Address.String() + "/1"})
	}
	return site.BatchAnswer{Results: results}, nil
}

func (instantPool) ReadHolder(handle string) (netip.AddrPort, error) {
	address, _, _ := strings.Cut(handle, "/")
	return netip.ParseAddrPort(address)
}

func (instantPool) Preconnect(site.Server) {}

// newLedger returns the ledger of an ingress that has not run before.
func newLedger(settings budget.Settings) *ledger.Ledger {
	l := ledger.NewLedger(ledger.Options{Retries: settings})
	l.MarkFirstRun()
	l.SetView(&state.View{Ingresses: make([]site.Ingress, 1), IsComplete: true})
	return l
}

func (instantPool) Release(context.Context, site.Server, []string) error { return nil }

type noMeter struct{}

func (noMeter) CountBatch(string, string, int, time.Duration) {}

// Guards against a request that is answered as canceled although its caller is still waiting: the
// batcher that has its job is asked to stop and cancels it. This ingress must run the job itself.
func TestJobDroppedByItsBatcherRunsLocally(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	batcher := stages.NewBatcher(stages.BatcherOptions{
		Limits: quota.NewLimiter(), Pauses: avail.NewTable(),
		Pools: instantPool{}, Meter: noMeter{}, Log: log, Retries: newLedger(budget.Settings{Ratio: 1, Slack: 10, Window: time.Second}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	batcher.Start(ctx) // starts the ticks, without which no gathered job is sent
	peers := &stoppingPeer{}
	producer := stages.NewProducer(peers, batcher, log)
	view := &state.View{
		Table: access.NewTable(&site.Config{Version: 1, Services: []site.Service{{Name: "encoders", Pool: &site.Pool{
			Slots: 1, MaxBatch: 8, CallTime: time.Millisecond, ItemTime: time.Millisecond, ResultMemoryBytes: 1000, ResultTTL: time.Second,
		}}}}),
		Servers: map[string][]site.Server{"encoders": {{ID: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: site.ServerReady}}},
	}
	batcher.SetView(view)
	producer.SetView(view)
	results, failed := producer.ProduceChain(ctx, stages.Chain{
		AttemptID: "a", ItemCounts: []int{2}, Stages: []site.Stage{{Service: "encoders", ResultBytes: 10}},
		Target: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(20 * time.Second), Log: log,
	})
	is.Equal(failed, nil)
	is.Equal(len(results.Handles), 2)
	is.True(peers.jobs > 0)
}

// batcherPeer is another ingress that produces all results at one server and records the failure
// domain that each job asks for.
type batcherPeer struct {
	lock sync.Mutex
	// domains is keyed by queue.
	domains map[string]string
}

func (*batcherPeer) RankIn(string, string) []string      { return []string{"other"} }
func (*batcherPeer) Self() string                        { return "self" }
func (*batcherPeer) Discard(string, *wire.Discard) error { return nil }

func (b *batcherPeer) Produce(_ context.Context, _ string, p *wire.Produce) (*wire.Produced, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.domains[p.GetService()] = p.GetDomain()
	answer := &wire.Produced{Outcome: "made"}
	for range p.GetCount() {
		answer.Handles = append(answer.Handles, "127.0.0.1:7/1")
	}
	return answer, nil
}

// Six passages of 60 KB were produced outside the engine's failure domain, where a server was free.
// Guards against moving megabytes between domains: each of ten texts fetches all passages, so they
// must be produced in the passages' domain; only a few kilobytes then go to the engine.
func TestStageRunsInTheDomainOfLargeInputs(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	batcher := stages.NewBatcher(stages.BatcherOptions{Pools: instantPool{}, Meter: noMeter{}, Limits: quota.NewLimiter(), Pauses: avail.NewTable(), Log: log})
	peers := &batcherPeer{domains: map[string]string{}}
	producer := stages.NewProducer(peers, batcher, log)
	spec := &site.Pool{Slots: 1, MaxBatch: 40, ResultMemoryBytes: 1 << 20, ResultTTL: 4 * time.Second}
	producer.SetView(&state.View{
		Table: access.NewTable(&site.Config{Version: 1, Services: []site.Service{
			{Name: "retrievers", Pool: spec}, {Name: "writers", Pool: spec},
		}}),
		Servers: map[string][]site.Server{"retrievers": {{ID: "p", Address: netip.MustParseAddrPort("127.0.0.1:7"), Domain: "b"}}},
	})
	_, failed := producer.ProduceChain(context.Background(), stages.Chain{
		AttemptID: "a", ItemCounts: []int{6, 10}, Domain: "a", Log: log,
		Stages: []site.Stage{{Service: "retrievers", ResultBytes: 60_000}, {Service: "writers", After: []int{0}, ResultBytes: 6_000}},
		Target: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(20 * time.Second),
	})
	is.Equal(failed, nil)
	is.Equal(peers.domains, map[string]string{"retrievers": "a", "writers": "b"})
}

// A batcher receives a job for a service that is not in its own configuration yet, and drops it.
// Guards against the other ingress taking the service for one whose servers do not respond: it
// would refuse the requests of the next second.
func TestDroppedJobReportsNoBacklog(t *testing.T) {
	is := is.New(t)
	batcher := stages.NewBatcher(stages.BatcherOptions{Pools: instantPool{}, Meter: noMeter{}, Limits: quota.NewLimiter(), Pauses: avail.NewTable(), Log: zap.NewNop()})
	producer := stages.NewProducer(&stoppingPeer{}, batcher, zap.NewNop())
	answer := producer.ServeProduce(t.Context(), &wire.Produce{Service: "unknown", Count: 1})
	is.Equal(answer.GetOutcome(), "no-server")
	is.Equal(answer.GetOutlook(), nil)
}

// Guards against a stopping ingress that has stages made of which it can't use the results, and against one that refuses
// what it could still serve.
func TestStoppingIngressRefusesStagesThatCannotEndInTime(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	batcher := stages.NewBatcher(stages.BatcherOptions{
		Limits: quota.NewLimiter(), Pauses: avail.NewTable(),
		Pools: instantPool{}, Meter: noMeter{}, Log: log, Retries: newLedger(budget.Settings{Ratio: 1, Slack: 10, Window: time.Second}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	batcher.Start(ctx)
	producer := stages.NewProducer(&stoppingPeer{}, batcher, log)
	view := &state.View{
		Table: access.NewTable(&site.Config{Version: 1, Services: []site.Service{{Name: "encoders", Pool: &site.Pool{
			Slots: 1, MaxBatch: 8, CallTime: time.Second, ItemTime: time.Millisecond, ResultMemoryBytes: 1000, ResultTTL: time.Second,
		}}}}),
		Servers: map[string][]site.Server{"encoders": {{ID: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: site.ServerReady}}},
	}
	batcher.SetView(view)
	producer.SetView(view)
	for _, c := range []struct {
		left        time.Duration
		isStopping  bool
		wantRefusal bool
	}{{500 * time.Millisecond, true, true}, {3 * time.Second, true, false}, {0, false, false}} {
		started := time.Now()
		_, failed := producer.ProduceChain(ctx, stages.Chain{
			AttemptID: "a", ItemCounts: []int{2}, Stages: []site.Stage{{Service: "encoders", ResultBytes: 10}},
			Target: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(20 * time.Second), Log: log,
			EndBy: func() (time.Time, bool) { return started.Add(c.left), c.isStopping },
		})
		is.Equal(failed != nil, c.wantRefusal)
		if failed != nil {
			is.Equal(failed.Code, codes.Draining)
			is.True(time.Since(started) < 100*time.Millisecond)
		}
	}
}
