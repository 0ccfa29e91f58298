package hosted_test

import "time"

// leaveServer makes a server say that it leaves, while its registration says that it is ready, and
// restarts it after a while.
func (s *soak) leaveServer() {
	servers := s.limitableServers()
	server := servers[s.randomInt(len(servers))]
	if !s.acquireServer(server.ID) {
		return
	}
	defer s.markUp(server.ID)
	s.recordf("%s says that it leaves", server.ID)
	server.SetHeader(leavingHeader, "1")
	time.Sleep(s.randomDelay(200, 2000))
	server.SetHeader(leavingHeader, "")
	server.Crash()
	if err := server.Restart(); err != nil {
		s.t.Error(err)
	}
	s.recordf("%s has started again", server.ID)
}

// acquireServer reserves a server for a fault that restarts it. It returns false if another fault has.
func (s *soak) acquireServer(id string) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.crashed[id] {
		return false
	}
	s.crashed[id] = true
	return true
}

// pauseServer makes a server turn requests away and ask for a pause, for a while. Some of the pauses are
// not valid times.
func (s *soak) pauseServer() {
	servers := s.limitableServers()
	server := servers[s.randomInt(len(servers))]
	text := []string{"1", "0.3", "2.5", "0", "soon", "-1"}[s.randomInt(6)]
	s.recordf("%s turns requests away, Retry-After %s", server.ID, text)
	server.SetPause(text)
	time.Sleep(s.randomDelay(200, 1500))
	server.SetPause("")
	s.recordf("%s takes requests again", server.ID)
}

// checkClosures makes one server of each service leave, or ask for pauses, while the callers go on, and
// checks that no more requests reach it than are allowed.
func (s *soak) checkClosures() {
	if s.randomInt(2) == 0 {
		s.checkLeaving()
	} else {
		s.checkPausing()
	}
}

func (s *soak) checkLeaving() {
	s.recordf("servers leave")
	said := time.Now()
	for _, server := range s.limitableServers() {
		server.SetHeader(leavingHeader, "1")
	}
	waitForUse(s.t, s.limitableServers(), said)
	time.Sleep(drainTime + requestTime)
	since := time.Now()
	time.Sleep(time.Second)
	for _, server := range s.limitableServers() {
		checkUnused(s.t, server, since)
		server.SetHeader(leavingHeader, "")
		server.Crash()
		if err := server.Restart(); err != nil {
			s.t.Error(err)
		}
	}
	waitForUse(s.t, s.limitableServers(), time.Now())
}

func (s *soak) checkPausing() {
	s.recordf("servers ask for pauses")
	since := time.Now()
	for _, server := range s.limitableServers() {
		server.SetPause(pauseText)
	}
	time.Sleep(pauseTime + time.Second)
	for _, server := range s.limitableServers() {
		checkPauses(s.t, server, len(s.ingresses), since)
		server.SetPause("")
	}
	waitForUse(s.t, s.limitableServers(), time.Now())
}
