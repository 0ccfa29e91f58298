package gossip

import "time"

// fetch requests the configuration if a revision above the one in force is known. It prefers a peer
// that has the revision, so that the load on the store does not grow with the number of processes.
func (s *State) fetch(now time.Time) []Action {
	if s.fetching || s.highestKnown <= s.Revision() {
		return nil
	}
	peer := s.choosePeer()
	if peer == "" && (now.Before(s.nextStoreFetch) || s.readFailures > 0 && now.Before(s.nextPoll)) {
		return nil
	}
	s.fetching = true
	s.fetchProgressAt = now
	s.fetchPeer = peer
	if peer == "" {
		return []Action{FetchFromStore{}}
	}
	return []Action{FetchFromPeer{Peer: peer, Revision: s.highestKnown}}
}

// choosePeer returns a peer that has the highest known revision and from which no fetch has failed,
// or "". It picks by rendezvous hash of the own name, so that processes choose different peers.
func (s *State) choosePeer() string {
	var candidates []string
	for name, revision := range s.peerRevisions {
		if revision >= s.highestKnown && !s.failedPeers[name] {
			candidates = append(candidates, name)
		}
	}
	chosen := s.pick(s.self, candidates, 1)
	if len(chosen) == 0 {
		return ""
	}
	return chosen[0]
}

func (s *State) handleFetchDone(e FetchDone, now time.Time) []Action {
	if e.Loaded == nil || e.Loaded.Version.Revision <= s.Revision() {
		// A late response must not replace the configuration in force by an older one.
		return s.handleFetchFailed(now)
	}
	s.fetching = false
	s.inForce = e.Loaded
	s.adoptedAt = now
	revision := e.Loaded.Version.Revision
	s.confirmedAt = time.Time{}
	s.observeRevision(revision)
	if revision == s.highestKnown {
		s.confirmedAt = s.pendingConfirmation
	}
	s.failedPeers = map[string]bool{}
	return append([]Action{Publish(e)}, s.fetch(now)...)
}

// handleFetchProgress prolongs the fetch in flight. Parts of a fetch that has already timed out are kept by
// the caller, but do not prolong the one that followed it.
func (s *State) handleFetchProgress(e FetchProgress, now time.Time) {
	if s.fetching && e.Peer == s.fetchPeer {
		s.fetchProgressAt = now
	}
}

func (s *State) handleFetchFailed(now time.Time) []Action {
	if !s.fetching {
		return nil // the late failure of a fetch that has already timed out
	}
	s.failFetch(now)
	return s.fetch(now)
}

// failFetch ends the fetch in flight as failed or timed out. The store is tried only after all
// peers have failed, so once it fails too, all peers become eligible again.
func (s *State) failFetch(now time.Time) {
	s.fetching = false
	if s.fetchPeer != "" {
		s.failedPeers[s.fetchPeer] = true
		return
	}
	s.failedPeers = map[string]bool{}
	s.nextStoreFetch = now.Add(s.settings.ReadTimeout)
}

func (s *State) fetchTimeout() time.Duration {
	if s.fetchPeer == "" {
		return s.settings.StoreFetchTimeout
	}
	return s.settings.ReadTimeout
}
