package spread

import "time"

// fetch asks for a revision above that in force, first from a peer that has
// it, so that the service's rates don't grow with the fleet.
func (s *State) fetch(now time.Time) []Action {
	if s.fetching || s.known <= s.Revision() {
		return nil
	}
	peer := s.choosePeer()
	if peer == "" && (now.Before(s.storeAfter) || s.failures > 0 && now.Before(s.nextPoll)) {
		return nil
	}
	s.fetching = true
	s.fetchAt = now
	s.fetchPeer = peer // empty: the service
	if peer == "" {
		return []Action{FetchFromStore{}}
	}
	return []Action{FetchFromPeer{Peer: peer, Revision: s.known}}
}

// choosePeer returns an untried peer that told the highest revision, by
// rendezvous hash of the own name so that a fleet asks different peers.
func (s *State) choosePeer() string {
	var able []string
	for name, revision := range s.peers {
		if revision >= s.known && !s.triedPeers[name] {
			able = append(able, name)
		}
	}
	picked := s.pick(s.self, able, 1)
	if len(picked) == 0 {
		return ""
	}
	return picked[0]
}

func (s *State) handleFetched(e FetchDone, now time.Time) []Action {
	if e.Loaded == nil || e.Loaded.Version.Revision <= s.Revision() {
		// A late answer must not take the process back to an older configuration.
		return s.handleFetchFailed(now)
	}
	s.fetching = false
	s.inForce = e.Loaded
	s.adoptedAt = now
	revision := e.Loaded.Version.Revision
	s.confirmed = time.Time{}
	s.raise(revision)
	if revision == s.known {
		s.confirmed = s.pending
	}
	s.triedPeers = map[string]bool{}
	return append([]Action{Publish(e)}, s.fetch(now)...)
}

func (s *State) handleFetchFailed(now time.Time) []Action {
	if !s.fetching {
		return nil // the late failure of a fetch that was given up on
	}
	s.dropFetch(now)
	return s.fetch(now)
}

// dropFetch gives up on the fetch in flight. The service comes last, so that
// after its failure all peers may be asked anew.
func (s *State) dropFetch(now time.Time) {
	s.fetching = false
	if s.fetchPeer != "" {
		s.triedPeers[s.fetchPeer] = true
		return
	}
	s.triedPeers = map[string]bool{}
	s.storeAfter = now.Add(s.settings.ReadTimeout)
}

func (s *State) fetchTimeout() time.Duration {
	if s.fetchPeer == "" {
		return s.settings.FetchTimeout
	}
	return s.settings.ReadTimeout
}
