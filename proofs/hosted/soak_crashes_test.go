package hosted_test

import (
	"slices"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// crashServer crashes a server and starts it again. Every second one answers with neither a length nor chunks before.
func (s *soak) crashServer() {
	servers := s.allServers()
	server := servers[s.randomInt(len(servers))]
	if !s.acquireServer(server.ID) {
		return
	}
	defer s.markUp(server.ID)
	if s.countCrash()%2 == 0 {
		s.recordf("%s answers with neither a length nor chunks", server.ID)
		server.SetFaults(slices.Repeat([]hosted.Fault{hosted.Unframed}, unframedAnswers)...)
		time.Sleep(4 * soakEventInterval)
		defer server.SetFaults()
	}
	s.recordf("%s crashes", server.ID)
	server.Crash()
	time.Sleep(s.randomDelay(50, 1500))
	if err := server.Restart(); err != nil {
		s.t.Error(err)
	}
	s.recordf("%s is up again", server.ID)
}

// unframedAnswers is how many answers of a server are unframed before every second crash.
const unframedAnswers = 8

// countCrash counts a crash of a server.
func (s *soak) countCrash() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.crashes++
	return s.crashes
}

func (s *soak) markUp(id string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.crashed, id)
}
