package pieces_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/pieces"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/access"
	"verbenaroad.example/share/decide/batch"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

var twoRegions = map[string]string{"n1": "north", "s1": "south"} //nolint:gochecknoglobals // a constant in all but syntax

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

// regional notes the queues and regions that its holders are asked for.
type regional struct {
	lock   sync.Mutex
	ranked map[string]bool
	asked  map[string]int
}

func (r *regional) RankIn(region, queue string) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ranked[region+" "+queue] = true
	return []string{"other"}
}

func (*regional) Self() string                        { return "self" }
func (*regional) Discard(string, *wire.Discard) error { return nil }

func (r *regional) Produce(_ context.Context, _ string, p *wire.Produce) (*wire.Produced, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.asked[p.GetService()]++
	return &wire.Produced{Outcome: "made", Handles: make([]string, p.GetCount())}, nil
}

// Guards against results that are queued and made a region away from their engine, where
// its own region has enough servers.
func TestStagesGoToTheQueueOfTheEnginesRegion(t *testing.T) {
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
			owner := pieces.NewOwner(pieces.OwnerOptions{Pools: pool{}, Meter: noMeter{}, Log: log, Regions: twoRegions})
			peers := &regional{ranked: map[string]bool{}, asked: map[string]int{}}
			maker := pieces.NewMaker(peers, owner, log)
			maker.TakeView(newPoolView(c.domains...))
			stages := []site.Stage{{Service: "encoders", ResultBytes: 10}}
			_, failed := maker.MakeChain(t.Context(), pieces.Chain{
				AttemptID: "a", Items: []int{2}, Stages: stages, Domain: "s1", Log: log,
				Target: time.Now().Add(10 * time.Second), Ends: time.Now().Add(20 * time.Second),
			})
			is.Equal(failed, nil)
			is.Equal(peers.asked, map[string]int{c.queue: 1})
			is.True(peers.ranked[c.region+" "+c.queue])
			is.Equal(stages[0].Service, "encoders") // the route's own list is not changed
		})
	}
}

// broken answers no call and counts them.
type broken struct {
	pool
	lock  sync.Mutex
	calls int
}

func (b *broken) Make(context.Context, site.Server, []site.Item) (site.BatchAnswer, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.calls++
	return site.BatchAnswer{}, errors.New("reset")
}

// countCalls has one job fail in each queue and returns the calls that were sent for them.
func countCalls(t *testing.T, queues ...string) int {
	t.Helper()
	servers := &broken{}
	owner := pieces.NewOwner(pieces.OwnerOptions{
		Pools: servers, Meter: noMeter{}, Log: zap.NewNop(), Regions: twoRegions,
		Repeats: budget.Settings{Slack: 3, Window: time.Minute},
	})
	owner.Start(t.Context())
	owner.TakeView(newPoolView("n1", "n1", "n1", "s1", "s1", "s1"))
	done := make(chan batch.Outcome, len(queues))
	for _, queue := range queues {
		go func() {
			done <- owner.Produce(t.Context(), queue, batch.Job{
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

// Guards against a service's bound of repeats being spent once for each of its queues.
func TestQueuesOfAServiceShareItsRepeats(t *testing.T) {
	is := is.New(t)
	repeats := countCalls(t, "encoders@north") - 1
	is.True(repeats > 0)
	is.Equal(countCalls(t, "encoders@north", "encoders@south"), 2+repeats)
}

// waiting holds the first request's first stage until it is released, and makes the rest.
type waiting struct {
	regional
	begun   chan struct{}
	release chan struct{}
	once    sync.Once
}

func (w *waiting) Produce(ctx context.Context, name string, p *wire.Produce) (*wire.Produced, error) {
	if p.GetAttemptId() == "first" {
		w.once.Do(func() { close(w.begun) })
		<-w.release
	}
	return w.regional.Produce(ctx, name, p)
}

// A request's second stage is under way at one of ten ingresses, the only one in its region.
//
// Guards against requests that are refused since a region's queue is expected to fill from
// all ingresses, though those of other regions have queues of their own.
func TestWorkUnderWayIsCountedByRegion(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	owner := pieces.NewOwner(pieces.OwnerOptions{Pools: pool{}, Meter: noMeter{}, Log: log, Regions: twoRegions, Region: "north"})
	peers := &waiting{begun: make(chan struct{}), release: make(chan struct{})}
	peers.ranked, peers.asked = map[string]bool{}, map[string]int{}
	maker := pieces.NewMaker(peers, owner, log)
	view := newPoolView("n1", "n1", "n1", "s1", "s1", "s1")
	view.Ingresses = []site.Ingress{{Name: "self", Domain: "n1"}}
	for range 9 {
		view.Ingresses = append(view.Ingresses, site.Ingress{Domain: "s1"})
	}
	maker.TakeView(view)
	maker.TakeOutlook(&wire.Outlook{Service: "encoders@north", Rate: 10})
	chain := pieces.Chain{
		AttemptID: "first", Items: []int{1, 10}, Domain: "n1", Log: log,
		Stages: []site.Stage{{Service: "encoders", ResultBytes: 10}, {Service: "encoders", After: []int{0}, ResultBytes: 10}},
		Target: time.Now().Add(2 * time.Second), Ends: time.Now().Add(5 * time.Second),
	}
	var group sync.WaitGroup
	group.Go(func() {
		_, failed := maker.MakeChain(t.Context(), chain)
		is.Equal(failed, nil)
	})
	<-peers.begun
	second := chain
	second.AttemptID = "second"
	_, failed := maker.MakeChain(t.Context(), second)
	is.Equal(failed, nil)
	close(peers.release)
	group.Wait()
}
