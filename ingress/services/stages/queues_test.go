package stages_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/avail"
	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

var twoRegions = map[string]string{"n1": "north", "s1": "south"} //nolint:gochecknoglobals // a constant in all but syntax

// newPoolView returns a view with one server of the service "encoders" in each given failure
// domain.
func newPoolView(domains ...string) *state.View {
	servers := []site.Server{}
	for i, domain := range domains {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		servers = append(servers, site.Server{ID: address.String(), Address: address, Domain: domain, State: site.ServerReady})
	}
	return &state.View{
		Table: access.NewTable(&site.Config{Version: 1, Services: []site.Service{{Name: "encoders", Pool: &site.Pool{
			Slots: 1, MaxBatch: 8, CallTime: time.Millisecond, ItemTime: time.Millisecond, ResultMemoryBytes: 1000, ResultTTL: time.Second,
		}}}}),
		Servers: map[string][]site.Server{"encoders": servers},
	}
}

// regionalPeer is another ingress that is the batcher of every queue. It records how it is used.
type regionalPeer struct {
	lock sync.Mutex
	// ranked holds the region and the queue of each call of RankIn, separated by a space.
	ranked map[string]bool
	// jobs counts the jobs of each queue.
	jobs map[string]int
}

func (r *regionalPeer) RankIn(region, queue string) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ranked[region+" "+queue] = true
	return []string{"other"}
}

func (*regionalPeer) Self() string                        { return "self" }
func (*regionalPeer) Discard(string, *wire.Discard) error { return nil }

func (r *regionalPeer) Produce(_ context.Context, _ string, p *wire.Produce) (*wire.Produced, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.jobs[p.GetService()]++
	return &wire.Produced{Outcome: "made", Handles: make([]string, p.GetCount())}, nil
}

// Guards against results that are queued and produced in another region than that of their engine
// although that region has enough servers.
func TestStagesUseTheQueueOfTheEnginesRegion(t *testing.T) {
	for name, c := range map[string]struct {
		domains []string
		queue   string
		region  string
	}{
		"enough servers": {[]string{"n1", "n1", "n1", "s1", "s1", "s1"}, "encoders@south", "south"},
		"few servers":    {[]string{"n1", "n1", "n1", "s1", "s1"}, "encoders", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := zap.NewNop()
			batcher := stages.NewBatcher(stages.BatcherOptions{Pools: instantPool{}, Meter: noMeter{}, Limits: quota.NewLimiter(), Pauses: avail.NewTable(), Log: log, Regions: twoRegions})
			peers := &regionalPeer{ranked: map[string]bool{}, jobs: map[string]int{}}
			producer := stages.NewProducer(peers, batcher, log)
			producer.SetView(newPoolView(c.domains...))
			routeStages := []site.Stage{{Service: "encoders", ResultBytes: 10}}
			_, failed := producer.ProduceChain(t.Context(), stages.Chain{
				AttemptID: "a", ItemCounts: []int{2}, Stages: routeStages, Domain: "s1", Log: log,
				Target: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(20 * time.Second),
			})
			is.Equal(failed, nil)
			is.Equal(peers.jobs, map[string]int{c.queue: 1})
			is.True(peers.ranked[c.region+" "+c.queue])
			is.Equal(routeStages[0].Service, "encoders") // the route's own list of stages is not modified
		})
	}
}

// failingPool fails every call and counts the calls.
type failingPool struct {
	instantPool
	lock  sync.Mutex
	calls int
}

func (f *failingPool) Produce(context.Context, site.Server, []site.Item) (site.BatchAnswer, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.calls++
	return site.BatchAnswer{}, errors.New("reset")
}

// countCalls runs one job in each queue, all of which fail, and returns the number of calls that
// were sent for them.
func countCalls(t *testing.T, queues ...string) int {
	t.Helper()
	servers := &failingPool{}
	batcher := stages.NewBatcher(stages.BatcherOptions{
		Limits: quota.NewLimiter(), Pauses: avail.NewTable(),
		Pools: servers, Meter: noMeter{}, Log: zap.NewNop(), Regions: twoRegions,
		Retries: newLedger(budget.Settings{Slack: 3, Window: time.Minute}),
	})
	batcher.Start(t.Context())
	batcher.SetView(newPoolView("n1", "n1", "n1", "s1", "s1", "s1"))
	done := make(chan batch.Outcome, len(queues))
	for _, queue := range queues {
		go func() {
			done <- batcher.Produce(t.Context(), queue, batch.Job{
				AttemptID: queue, Count: 1, Target: time.Now().Add(5 * time.Second), Expires: time.Now().Add(9 * time.Second),
			}).Outcome
		}()
	}
	for range queues {
		if outcome := <-done; outcome != batch.OutcomeFailed {
			t.Fatal(outcome)
		}
	}
	servers.lock.Lock()
	defer servers.lock.Unlock()
	return servers.calls
}

// Guards against the retry budget of a service being spent once for each of its queues.
func TestQueuesOfAServiceShareItsRetryBudget(t *testing.T) {
	is := is.New(t)
	retries := countCalls(t, "encoders@north") - 1
	is.True(retries > 0)
	is.Equal(countCalls(t, "encoders@north", "encoders@south"), 2+retries)
}

// blockingPeer blocks the jobs of the attempt "first" until release is closed, and produces all
// others at once. Started is closed when the first such job arrives.
type blockingPeer struct {
	regionalPeer
	started chan struct{}
	release chan struct{}
	once    sync.Once
}

func (b *blockingPeer) Produce(ctx context.Context, name string, p *wire.Produce) (*wire.Produced, error) {
	if p.GetAttemptId() == "first" {
		b.once.Do(func() { close(b.started) })
		<-b.release
	}
	return b.regionalPeer.Produce(ctx, name, p)
}

// The results of a request's second stage are pending at one of ten ingresses, the only one in its
// region. Guards against refusing requests because the queue of a region is expected to receive as
// many results from every ingress, although the ingresses of other regions have their own queues.
func TestPendingResultsAreCountedByRegion(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	batcher := stages.NewBatcher(stages.BatcherOptions{Pools: instantPool{}, Meter: noMeter{}, Limits: quota.NewLimiter(), Pauses: avail.NewTable(), Log: log, Regions: twoRegions, Region: "north"})
	peers := &blockingPeer{started: make(chan struct{}), release: make(chan struct{})}
	peers.ranked, peers.jobs = map[string]bool{}, map[string]int{}
	producer := stages.NewProducer(peers, batcher, log)
	view := newPoolView("n1", "n1", "n1", "s1", "s1", "s1")
	view.Ingresses = []site.Ingress{{Name: "self", Domain: "n1"}}
	for range 9 {
		view.Ingresses = append(view.Ingresses, site.Ingress{Domain: "s1"})
	}
	producer.SetView(view)
	producer.RecordBacklog(&wire.Outlook{Service: "encoders@north", Rate: 10})
	chain := stages.Chain{
		AttemptID: "first", ItemCounts: []int{1, 10}, Domain: "n1", Log: log,
		Stages: []site.Stage{{Service: "encoders", ResultBytes: 10}, {Service: "encoders", After: []int{0}, ResultBytes: 10}},
		Target: time.Now().Add(2 * time.Second), Deadline: time.Now().Add(5 * time.Second),
	}
	var group sync.WaitGroup
	group.Go(func() {
		_, failed := producer.ProduceChain(t.Context(), chain)
		is.Equal(failed, nil)
	})
	<-peers.started
	second := chain
	second.AttemptID = "second"
	_, failed := producer.ProduceChain(t.Context(), second)
	is.Equal(failed, nil)
	close(peers.release)
	group.Wait()
}
