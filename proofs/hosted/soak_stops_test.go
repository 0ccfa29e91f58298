package hosted_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// envRolls sets how often checkStops stops each ingress; 1 if it is unset.
const envRolls = "VERBENA_SOAK_ROLLS"

// checkStops stops all ingresses while others still stop, with further signals, changes of the configuration and draining
// servers, and no unplanned disturbance. Callers keep their connections until the process is gone. Each request that was read
// must end in a whole answer, a refusal, or a cut at the end of the grace period.
func (s *soak) checkStops() {
	r := &roll{deployment: s.deployment, times: defaultStop(), balancer: newBalancer(s.ingresses)}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.balancer.loop(ctx)
	newNovel := func() request { return newRequest("/novel/1") }
	r.startCallers(ctx, 6, newReview, 100*time.Millisecond, 0)
	r.startCallers(ctx, 4, newNovel, 100*time.Millisecond, 0)
	r.startCallers(ctx, 4, newOrder, 400*time.Millisecond, 0)
	r.startCallers(ctx, 2, newRead, 50*time.Millisecond, 300*time.Millisecond)
	s.recordf("planned stops begin")
	ended := sync.WaitGroup{}
	rolls := int(readNumber(s.t, envRolls, 1)) //nolint:gosec // a small number
	for n := range s.ingresses {
		ended.Add(1)
		go s.runStops(r, n, rolls, &ended)
	}
	for range rolls * len(s.ingresses) {
		ended.Add(1)
		go s.runChange(&ended)
	}
	ended.Wait()
	r.endLoad()
	r.check()
	s.recordf("planned stops have ended")
	for _, i := range s.ingresses {
		eventually(s.t, i.name+" is ready after the planned stops", i.isReady)
	}
}

// runStops stops an ingress again and again, with further signals meanwhile.
func (s *soak) runStops(r *roll, n, rolls int, ended *sync.WaitGroup) {
	defer ended.Done()
	random := rand.New(rand.NewPCG(s.seed, uint64(200+n)))
	pause := func(most time.Duration) { time.Sleep(time.Duration(random.Int64N(int64(most)))) }
	for range rolls {
		pause(2 * time.Second)
		process := s.ingresses[n].command.Process
		stopped := sync.WaitGroup{}
		stopped.Add(1)
		go r.restart(n, &stopped)
		for range random.IntN(4) {
			pause(2 * time.Second)
			_ = process.Signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)]) // an error means that it has exited
		}
		stopped.Wait()
	}
}

// runChange changes the configuration or drains a server.
func (s *soak) runChange(ended *sync.WaitGroup) {
	defer ended.Done()
	time.Sleep(s.randomDelay(0, 4000))
	if s.randomInt(2) == 0 {
		s.changeConfig()
		return
	}
	s.drain([]*hosted.Server{s.plainServers[0], s.engines[0], s.poolServers[0]}[s.randomInt(3)])
}
