package hosted_test

import (
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// limitableServers returns one of the two servers of each service. unlimitedServers returns the others,
// which never state a rate.
func (s *soak) limitableServers() []*hosted.Server {
	return []*hosted.Server{s.plainServers[0], s.engines[0], s.poolServers[0]}
}

func (s *soak) unlimitedServers() []*hosted.Server {
	return []*hosted.Server{s.plainServers[1], s.engines[1], s.poolServers[1]}
}

// limitServer makes a server state a rate for a while, change it, and withdraw it. Some of the
// statements are not valid rates.
func (s *soak) limitServer() {
	servers := s.limitableServers()
	server := servers[s.randomInt(len(servers))]
	for range 2 {
		text := []string{"1", "0.5", "3.25", "0", "20", "many", "-1"}[s.randomInt(7)]
		s.recordf("%s states a rate of %s", server.ID, text)
		server.SetHeader(limitHeader, text)
		time.Sleep(s.randomDelay(200, 1500))
	}
	server.SetHeader(limitHeader, "")
	s.recordf("%s states no rate", server.ID)
}

// checkRates makes one server of each service state a rate and drains the other one, so that all
// requests are for the server in need. It checks, while the callers go on, that this server receives no
// more than it takes, and that it is used. How much the pool is used depends on the engine.
func (s *soak) checkRates() {
	s.recordf("rates are stated")
	for _, server := range s.limitableServers() {
		server.SetHeader(limitHeader, statedText)
	}
	for _, server := range s.unlimitedServers() {
		server.Register("draining")
	}
	s.lock.Lock()
	s.callsBeforeRates = len(s.calls)
	s.lock.Unlock()
	time.Sleep(limitSettleTime)
	since := time.Now()
	time.Sleep(limitWindow + limitWindow/4)
	for _, server := range s.limitableServers() {
		checkStatedRate(s.t, server, since)
	}
	checkRateIsUsed(s.t, s.plainServers[0], since)
	checkRateIsUsed(s.t, s.engines[0], since)
	for _, server := range s.limitableServers() {
		server.SetHeader(limitHeader, "")
	}
	for _, server := range s.unlimitedServers() {
		server.Register("ready")
	}
	s.recordf("rates are withdrawn")
}
