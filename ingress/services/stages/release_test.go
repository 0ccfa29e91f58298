package stages_test

import (
	"context"
	"fmt"
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
	"verbenaroad.example/share/decide/quota"
	"verbenaroad.example/share/models/site"
)

// releasePool records the releases of results.
type releasePool struct {
	instantPool
	lock     sync.Mutex
	releases int
	handles  int
}

func (p *releasePool) Release(_ context.Context, _ site.Server, handles []string) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.releases++
	p.handles += len(handles)
	return nil
}

func (p *releasePool) counts() (releases, handles int) {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.releases, p.handles
}

// Guards against a pool server in need receiving a release for each few results, in addition to the
// calls that it takes.
func TestReleasesToServersWithARateLimitAreGathered(t *testing.T) {
	is := is.New(t)
	server := site.Server{ID: "p0", Service: "drawings", Address: netip.MustParseAddrPort("10.0.0.1:1"), State: site.ServerReady}
	limiter := quota.NewLimiter()
	limiter.Observe(time.Now(), &server, site.RateLimit{State: site.RateLimited, PerSecond: 2})
	pool := &releasePool{}
	batcher := stages.NewBatcher(stages.BatcherOptions{Pools: pool, Meter: noMeter{}, Limits: limiter, Pauses: avail.NewTable(), Log: zap.NewNop()})
	batcher.SetView(&state.View{
		Table:   access.NewTable(&site.Config{Services: []site.Service{{Name: "drawings", Pool: &site.Pool{Slots: 1, MaxBatch: 8}}}}),
		Servers: map[string][]site.Server{"drawings": {server}},
	})
	batcher.Start(t.Context())
	const handles = 200
	for n := range handles {
		batcher.Discard("drawings", []string{fmt.Sprintf("%s/%d", server.Address, n)})
		time.Sleep(10 * time.Millisecond)
	}
	released := 0
	for released < handles {
		time.Sleep(10 * time.Millisecond)
		_, released = pool.counts()
	}
	releases, _ := pool.counts()
	is.True(releases >= 2)
	is.True(releases <= 5) // 1.5 a second
}

// Guards against releases of results that are sent to a pool server which has asked for a pause, also if
// the server has left the view meanwhile, and against results that are never released.
func TestReleasesWaitForTheEndOfAPause(t *testing.T) {
	is := is.New(t)
	server := site.Server{ID: "p0", Service: "drawings", Address: netip.MustParseAddrPort("10.0.0.1:1"), State: site.ServerReady}
	const pause = 500 * time.Millisecond
	start := time.Now()
	pauses := avail.NewTable()
	pauses.Pause(start, &server, start.Add(pause))
	pool := &releasePool{}
	batcher := stages.NewBatcher(stages.BatcherOptions{Pools: pool, Meter: noMeter{}, Limits: quota.NewLimiter(), Pauses: pauses, Log: zap.NewNop()})
	batcher.Start(t.Context())
	released := 0
	for n := 0; released == 0; n++ {
		batcher.Discard("drawings", []string{fmt.Sprintf("%s/%d", server.Address, n)})
		time.Sleep(10 * time.Millisecond)
		_, released = pool.counts()
	}
	is.True(time.Since(start) >= pause)
	is.True(released > 10) // those of the pause as well
}
