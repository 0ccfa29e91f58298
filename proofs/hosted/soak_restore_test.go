package hosted_test

import (
	"context"
	"net/http"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// restoreStore restores the store from a copy that is up to some seconds old, while it answers nobody. A little
// later the operator and the servers write again what it has lost.
func (s *soak) restoreStore() {
	s.lock.Lock()
	isRestoring := s.restoring
	s.restoring = true
	s.lock.Unlock()
	if isRestoring {
		return
	}
	b := s.Store.Backup()
	time.Sleep(s.randomDelay(100, 3000))
	s.restoreFrom(b)
	s.lock.Lock()
	s.restoring = false
	s.lock.Unlock()
}

// restoreFrom restores the store and has the lost writes made again, before it answers or afterwards.
func (s *soak) restoreFrom(b hosted.Backup) {
	s.setStoreFaults(hosted.StoreReset)
	time.Sleep(s.randomDelay(20, 1500))
	s.Store.Restore(b)
	s.recordf("the store was restored")
	if s.randomInt(3) == 0 {
		s.WriteAgain()
		s.writeOthers(s.randomInt(40))
	}
	s.setStoreFaults(hosted.NoStoreFault)
	time.Sleep(s.randomDelay(20, 1000))
	s.WriteAgain()
	s.recordf("what the store had lost is written again")
}

func (s *soak) setStoreFaults(fault hosted.StoreFault) {
	for n := range s.ingresses {
		s.Store.SetFault(n, fault)
	}
}

// checkRestore restores the store, once or twice in a row, from a copy in which a key is valid that has been
// revoked since, and a server of each service is ready that has said that it leaves or has left. Some ingresses
// start again meanwhile, or do not hear the store. It checks that neither comes back.
func (s *soak) checkRestore() {
	s.putKeys("key-1", "key-2")
	for _, i := range s.ingresses {
		eventually(s.t, i.name+" accepts the second key", func() bool { return s.sendSecondKey(i) == http.StatusOK })
	}
	b := s.Store.Backup()
	s.putKeys("key-1")
	for n, server := range s.firstServers() {
		if n == s.randomInt(3) {
			server.Leave()
		} else {
			server.Register("draining")
		}
	}
	for _, i := range s.ingresses {
		eventually(s.t, i.name+" refuses the second key", func() bool { return s.sendSecondKey(i) == http.StatusUnauthorized })
	}
	time.Sleep(drainTime + requestTime)
	since := time.Now()
	for range 1 + s.randomInt(2) {
		if s.randomInt(2) == 0 {
			s.killOne()
		}
		s.restoreFrom(b)
		deaf := s.randomInt(len(s.ingresses))
		s.Store.SetFault(deaf, hosted.StoreSilent)
		for range 10 {
			s.checkSecondKey()
			time.Sleep(50 * time.Millisecond)
		}
		s.Store.SetFault(deaf, hosted.NoStoreFault)
	}
	for _, server := range s.firstServers() {
		checkUnused(s.t, server, since)
		server.Register("ready")
	}
	waitForUse(s.t, s.firstServers(), time.Now())
}

// killOne kills an ingress and starts it again.
func (s *soak) killOne() {
	i := s.ingresses[s.randomInt(len(s.ingresses))]
	s.recordf("%s is killed", i.name)
	i.kill()
	i.start()
}

// checkSecondKey checks that no ingress accepts the revoked key. One that has just started may not answer, or
// not know any configuration.
func (s *soak) checkSecondKey() {
	for _, i := range s.ingresses {
		if status := s.sendSecondKey(i); status == http.StatusOK {
			s.t.Errorf("%s accepted a key that had been revoked before the store was restored", i.name)
		}
	}
}

// sendSecondKey sends a request with the key that is revoked, and returns its status; 0: there was no answer.
func (s *soak) sendSecondKey(i *ingress) int {
	q := newRequest("/order/1")
	q.key = "key-2"
	return i.send(context.Background(), q).status
}
