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

// soak is one run.
type soak struct {
	*deployment
	seed   uint64
	relays []*relay.Relay
	start  time.Time
	stop   chan struct{}
	// left is closed when the faults are over.
	work sync.WaitGroup

	lock   sync.Mutex
	source *rand.Rand
	story  []string
	calls  []call
	// busy marks the ingresses that a fault holds, so that two do not start one process twice.
	busy map[int]bool
	// version is that of the newest configuration, with the key that it took away.
	version int
	// down holds the servers that have crashed.
	down map[string]bool
	// leaving holds since when servers leave.
	leaving map[string]time.Time
}

// newSoak starts three ingresses, each before a relay to the store, and servers behind relays.
func newSoak(t *testing.T, seed uint64) *soak {
	t.Helper()
	s := &soak{
		deployment: newDeployment(t, 3),
		seed:       seed,
		source:     rand.New(rand.NewPCG(seed, 7)),
		start:      time.Now(),
		stop:       make(chan struct{}),
		busy:       map[int]bool{},
		down:       map[string]bool{},
		leaving:    map[string]time.Time{},
	}
	for _, servers := range [][]*hosted.Server{s.plain, s.engines, s.pools} {
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

func (s *soak) draw(n int) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.source.IntN(n)
}

func (s *soak) millis(from, to int) time.Duration {
	return time.Duration(from+s.draw(to-from)) * time.Millisecond
}

func (s *soak) tellf(format string, words ...any) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.story = append(s.story, fmt.Sprintf("%7.3f ", time.Since(s.start).Seconds())+fmt.Sprintf(format, words...))
}

// play runs callers and faults for a time.
func (s *soak) play(length time.Duration) {
	for n := range 9 {
		s.work.Add(1)
		go s.runCaller(n)
	}
	faults := []func(){
		s.freeze, s.kill, s.restart, s.failStore, s.changeConfig, s.crashServer, s.spoilAnswers, s.leave, s.disturbLink, s.disturbLink,
	}
	ends := time.Now().Add(length)
	wait := sync.WaitGroup{}
	for time.Now().Before(ends) {
		fault := faults[s.draw(len(faults))]
		wait.Add(1)
		go runFault(fault, &wait)
		time.Sleep(s.millis(50, 500))
	}
	wait.Wait()
	s.tellf("the faults are over")
}

func runFault(fault func(), wait *sync.WaitGroup) {
	defer wait.Done()
	fault()
}

// hold takes an ingress for a fault; false where another fault has it.
func (s *soak) hold() (n int, held bool) {
	n = s.draw(len(s.ingresses))
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.busy[n] {
		return 0, false
	}
	s.busy[n] = true
	return n, true
}

func (s *soak) letGo(n int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.busy[n] = false
}

func (s *soak) freeze() {
	n, held := s.hold()
	if !held {
		return
	}
	defer s.letGo(n)
	s.tellf("%s freezes", s.ingresses[n].name)
	s.ingresses[n].signal(syscall.SIGSTOP)
	time.Sleep(s.millis(100, 3000))
	s.ingresses[n].signal(syscall.SIGCONT)
	s.tellf("%s wakes", s.ingresses[n].name)
}

func (s *soak) kill() {
	n, held := s.hold()
	if !held {
		return
	}
	defer s.letGo(n)
	s.tellf("%s is killed", s.ingresses[n].name)
	s.ingresses[n].kill()
	time.Sleep(s.millis(10, 800))
	s.ingresses[n].start()
	s.tellf("%s starts", s.ingresses[n].name)
}

func (s *soak) restart() {
	n, held := s.hold()
	if !held {
		return
	}
	defer s.letGo(n)
	i := s.ingresses[n]
	s.tellf("%s is told to stop", i.name)
	i.signal(syscall.SIGTERM)
	if s.draw(3) == 0 {
		time.Sleep(s.millis(10, 600))
		i.signal(syscall.SIGTERM)
	}
	select {
	case <-i.ended:
	case <-time.After(6 * time.Second):
		s.t.Errorf("%s did not end within its grace time", i.name)
		i.kill()
	}
	i.start()
	s.tellf("%s starts", i.name)
}

func (s *soak) failStore() {
	n := s.draw(len(s.ingresses))
	faults := []hosted.StoreFault{hosted.StoreBusy, hosted.StoreReset, hosted.StoreSilent}
	fault := faults[s.draw(len(faults))]
	s.tellf("the store is %s for ingress %d", fault, n)
	s.Store.SetFault(n, fault)
	time.Sleep(s.millis(200, 2500))
	if s.draw(3) == 0 {
		s.Store.Compact()
	}
	s.Store.SetFault(n, hosted.StoreWell)
}

// changeConfig takes key-2 away or gives it back; key-1 is always there.
func (s *soak) changeConfig() {
	keys := [][]string{{"key-1"}, {"key-1", "key-2"}}[s.draw(2)]
	version := s.PutConfig(routes(), services(), []map[string]any{{"Name": "workshop", "ApiKeys": keys}})
	s.lock.Lock()
	s.version = max(s.version, version)
	s.lock.Unlock()
	s.tellf("configuration %d", version)
}

func (s *soak) crashServer() {
	servers := s.all()
	server := servers[s.draw(len(servers))]
	s.lock.Lock()
	down := s.down[server.ID]
	s.down[server.ID] = true
	s.lock.Unlock()
	if down {
		return
	}
	defer s.noteUp(server.ID)
	s.tellf("%s crashes", server.ID)
	server.Crash()
	time.Sleep(s.millis(50, 1500))
	if err := server.Restart(); err != nil {
		s.t.Error(err)
	}
	s.tellf("%s is up", server.ID)
}

func (s *soak) noteUp(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.down, id)
}

func (s *soak) spoilAnswers() {
	servers := s.all()
	server := servers[s.draw(len(servers))]
	faults := []hosted.Fault{
		hosted.Shed, hosted.Vague, hosted.CutAfterRun, hosted.WrongID, hosted.Unsigned, hosted.Truncate, hosted.Fail, hosted.CutStream,
	}
	fault := faults[s.draw(len(faults))]
	s.tellf("%s: %s", server.ID, fault)
	server.SetFaults(fault, hosted.Well, fault)
}

// leave has a plain server leave and come back; one of two stays.
func (s *soak) leave() {
	server := s.plain[0]
	s.lock.Lock()
	busy := !s.leaving[server.ID].IsZero()
	s.leaving[server.ID] = time.Now()
	s.lock.Unlock()
	if busy {
		return
	}
	s.tellf("%s leaves", server.ID)
	server.Register("draining")
	time.Sleep(s.millis(500, 2500))
	s.lock.Lock()
	delete(s.leaving, server.ID)
	s.lock.Unlock()
	server.Register("ready")
	s.tellf("%s is ready", server.ID)
}

func (s *soak) disturbLink() {
	n := s.draw(len(s.relays))
	r := s.relays[n]
	switch s.draw(5) {
	case 0:
		s.tellf("link %d is delayed", n)
		r.Delay(s.millis(5, 80))
		time.Sleep(s.millis(200, 1500))
		r.Delay(0)
	case 1:
		s.tellf("link %d is reset", n)
		r.Drop()
	case 2:
		s.tellf("open connections of link %d go silent", n)
		r.Silence()
	case 3:
		s.tellf("link %d is cut one way", n)
		r.HoldAnswers()
		time.Sleep(s.millis(100, 1500))
		r.Resume()
	default:
		s.tellf("link %d is cut", n)
		r.Hold()
		time.Sleep(s.millis(100, 1500))
		r.Resume()
	}
}

func (s *soak) all() []*hosted.Server {
	all := []*hosted.Server{}
	for _, servers := range [][]*hosted.Server{s.plain, s.engines, s.pools} {
		all = append(all, servers...)
	}
	return all
}
