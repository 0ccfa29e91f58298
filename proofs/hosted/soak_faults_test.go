package hosted_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenaroad.example/fakes/services/hosted"
	"verbenaroad.example/proofs/relay"
)

// soak is one run of TestSoak for one seed.
type soak struct {
	*deployment
	seed uint64
	// relays are the relays in front of the backend servers.
	relays []*relay.Relay
	start  time.Time
	// stop is closed to end the callers, once the system has recovered after the faults.
	stop chan struct{}
	// callers waits for the goroutines of runCaller.
	callers sync.WaitGroup

	lock   sync.Mutex
	random *rand.Rand
	// timeline records the faults, for the log of a failed run.
	timeline []string
	calls    []call
	// callsBeforeRates is the number of calls before checkRates.
	callsBeforeRates int
	// inFault marks the ingresses that a fault has acquired, so that two faults do not start the
	// same process twice.
	inFault map[int]bool
	// version is the newest configuration version that changeConfig has written.
	version int
	// crashed holds the IDs of the servers that a fault restarts.
	crashed map[string]bool
	// crashes is the number of crashes of servers.
	crashes int
	// streams are those of the callers of runStreamCaller.
	streams []*resumedStream
	// refusals holds when all servers of a service refused its requests, by service.
	refusals map[string][]timeRange
	// losses holds when killIngresses had killed an ingress and not started it again, by its number.
	losses map[int][]timeRange
	// novelEngines are the engines of the service novels, whose streams last for seconds. No fault restarts them.
	novelEngines []*hosted.Server
	// draining holds the time since which a server drains, by its ID.
	draining map[string]time.Time
	// restoring is set while restoreStore runs.
	restoring bool
}

// soakEventInterval lets streams last so long that many of them are under way when a fault begins.
const soakEventInterval = 80 * time.Millisecond

// newSoak starts three ingresses, and backend servers that register with the address of a relay in
// front of them.
func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		deployment: newDeployment(t, 3),
		seed:       seed,
		random:     rand.New(rand.NewPCG(seed, 7)),
		start:      time.Now(),
		stop:       make(chan struct{}),
		inFault:    map[int]bool{},
		crashed:    map[string]bool{},
		draining:   map[string]time.Time{},
		refusals:   map[string][]timeRange{},
		losses:     map[int][]timeRange{},
	}
	for _, engine := range s.engines {
		engine.EventInterval = soakEventInterval
	}
	s.addOtherVersion()
	s.addTextRoute()
	s.addNovels()
	for _, servers := range [][]*hosted.Server{s.plainServers, s.engines, s.poolServers} {
		for _, server := range servers {
			r, err := relay.NewRelay(server.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(r.Close)
			s.relays = append(s.relays, r)
			server.Advertised = r.Address()
			server.Register("ready")
		}
	}
	return s
}

func (s *soak) randomInt(n int) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.random.IntN(n)
}

func (s *soak) randomDelay(from, to int) time.Duration {
	return time.Duration(from+s.randomInt(to-from)) * time.Millisecond
}

func (s *soak) recordf(format string, args ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.timeline = append(s.timeline, fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, args...))
}

// injectFaults starts the callers and then starts random faults for the given time. It returns when
// the last fault has ended; the callers go on.
func (s *soak) injectFaults(duration time.Duration) {
	for n := range 9 {
		s.callers.Add(1)
		go s.runCaller(n)
	}
	for n := range 4 {
		s.callers.Add(1)
		go s.runStreamCaller(n)
	}
	faults := []func(){
		s.freezeIngress, s.killIngress, s.restartIngress, s.failStore, s.changeConfig, s.crashServer, s.setServerFaults, s.drainServer, s.disruptLink, s.disruptLink, s.limitServer, s.leaveServer, s.pauseServer, s.updateEngine, s.replaceEngine, s.killIngresses, s.refuseRequests, s.killWhileRefused, s.restoreStore, s.restoreStore,
	}
	deadline := time.Now().Add(duration)
	running := sync.WaitGroup{}
	for time.Now().Before(deadline) {
		fault := faults[s.randomInt(len(faults))]
		running.Add(1)
		go runFault(fault, &running)
		time.Sleep(s.randomDelay(50, 500))
	}
	running.Wait()
	s.recordf("all faults have ended")
}

func runFault(fault func(), running *sync.WaitGroup) {
	defer running.Done()
	fault()
}

// acquireIngress picks a random ingress for a fault. It returns false if another fault has acquired
// this ingress.
func (s *soak) acquireIngress() (n int, acquired bool) {
	n = s.randomInt(len(s.ingresses))
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.inFault[n] {
		return 0, false
	}
	s.inFault[n] = true
	return n, true
}

func (s *soak) releaseIngress(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.inFault[n] = false
}

func (s *soak) freezeIngress() {
	n, acquired := s.acquireIngress()
	if !acquired {
		return
	}
	defer s.releaseIngress(n)
	s.recordf("%s freezes", s.ingresses[n].name)
	s.ingresses[n].signal(syscall.SIGSTOP)
	time.Sleep(s.randomDelay(100, 3000))
	s.ingresses[n].signal(syscall.SIGCONT)
	s.recordf("%s resumes", s.ingresses[n].name)
}

func (s *soak) killIngress() {
	n, acquired := s.acquireIngress()
	if !acquired {
		return
	}
	defer s.releaseIngress(n)
	s.recordf("%s is killed", s.ingresses[n].name)
	s.ingresses[n].kill()
	time.Sleep(s.randomDelay(10, 800))
	s.ingresses[n].start()
	s.recordf("%s starts", s.ingresses[n].name)
}

func (s *soak) restartIngress() {
	n, acquired := s.acquireIngress()
	if !acquired {
		return
	}
	defer s.releaseIngress(n)
	i := s.ingresses[n]
	s.recordf("%s gets SIGTERM", i.name)
	i.signal(syscall.SIGTERM)
	if s.randomInt(3) == 0 {
		time.Sleep(s.randomDelay(10, 600))
		i.signal(syscall.SIGTERM)
	}
	select {
	case <-i.exited:
	case <-time.After(6 * time.Second):
		s.t.Errorf("%s did not exit within 6s of the last SIGTERM", i.name)
		i.kill()
	}
	i.start()
	s.recordf("%s starts", i.name)
}

func (s *soak) failStore() {
	n := s.randomInt(len(s.ingresses))
	faults := []hosted.StoreFault{hosted.StoreBusy, hosted.StoreReset, hosted.StoreSilent}
	fault := faults[s.randomInt(len(faults))]
	s.recordf("store fault %s for ingress %d", fault, n)
	s.Store.SetFault(n, fault)
	time.Sleep(s.randomDelay(200, 2500))
	if s.randomInt(3) == 0 {
		s.Store.Compact()
	}
	s.Store.SetFault(n, hosted.NoStoreFault)
}

// changeConfig writes a configuration with or without key-2. key-1 is always in it.
func (s *soak) changeConfig() {
	keys := [][]string{{"key-1"}, {"key-1", "key-2"}}[s.randomInt(2)]
	version := s.putKeys(keys...)
	s.lock.Lock()
	s.version = max(s.version, version)
	s.lock.Unlock()
	s.recordf("configuration version %d is written", version)
}

// setServerFaults sets a random fault for the next and the third request of a random server.
func (s *soak) setServerFaults() {
	servers := s.allServers()
	server := servers[s.randomInt(len(servers))]
	faults := []hosted.Fault{
		hosted.RefuseNotRun, hosted.UnclassifiedFailure, hosted.CutAfterRun, hosted.WrongID, hosted.Unsigned, hosted.Truncate, hosted.Fail, hosted.CutStream,
		hosted.Unframed, hosted.UnframedReset, hosted.UnframedStop,
	}
	fault := faults[s.randomInt(len(faults))]
	s.recordf("%s: fault %s for the next and the third request", server.ID, fault)
	server.SetFaults(fault, hosted.NoFault, fault)
}

// drainServer drains the first plain server and registers it as ready again. The second plain
// server is never drained.
func (s *soak) drainServer() { s.drain(s.plainServers[0]) }

// drain drains a server and registers it as ready again, unless it drains already.
func (s *soak) drain(server *hosted.Server) {
	s.lock.Lock()
	isDraining := !s.draining[server.ID].IsZero()
	s.draining[server.ID] = time.Now()
	s.lock.Unlock()
	if isDraining {
		return
	}
	s.recordf("%s drains", server.ID)
	server.Register("draining")
	time.Sleep(s.randomDelay(500, 2500))
	s.lock.Lock()
	delete(s.draining, server.ID)
	s.lock.Unlock()
	server.Register("ready")
	s.recordf("%s is ready again", server.ID)
}

// disruptLink disturbs the connections through one relay, that is between the ingresses and one
// backend server.
func (s *soak) disruptLink() {
	n := s.randomInt(len(s.relays))
	r := s.relays[n]
	switch s.randomInt(5) {
	case 0:
		s.recordf("link %d is delayed", n)
		r.Delay(s.randomDelay(5, 80))
		time.Sleep(s.randomDelay(200, 1500))
		r.Delay(0)
	case 1:
		s.recordf("link %d is reset", n)
		r.Reset()
	case 2:
		s.recordf("open connections of link %d go silent", n)
		r.Silence()
	case 3:
		s.recordf("link %d is cut one way", n)
		r.HoldAnswers()
		time.Sleep(s.randomDelay(100, 1500))
		r.Resume()
	default:
		s.recordf("link %d is cut", n)
		r.Hold()
		time.Sleep(s.randomDelay(100, 1500))
		r.Resume()
	}
}

func (s *soak) allServers() []*hosted.Server {
	all := []*hosted.Server{}
	for _, servers := range [][]*hosted.Server{s.plainServers, s.engines, s.poolServers} {
		all = append(all, servers...)
	}
	return all
}
