// Package gossip decides how a process learns of new configurations from the store (the platform's
// key-value service) and from its peers, when it adopts one, and whether it may decide under the
// one in force. The package does no I/O.
package gossip

import (
	"time"

	"verbenaroad.example/share/models/config"
)

// Pick returns up to n of names, chosen by rendezvous hashing of the key.
type Pick func(key string, names []string, n int) []string

// State is what a process knows about configurations.
type State struct {
	self     string
	settings Settings
	pick     Pick

	// inForce is nil until the first Publish; its revision only increases.
	inForce *config.Loaded
	// highestKnown is the highest revision observed so far, at least the one in force.
	highestKnown uint64
	// peerRevisions holds the highest revision that each connected peer has reported.
	peerRevisions map[string]uint64
	// confirmedAt is when the store last confirmed the revision in force; zero: never.
	confirmedAt time.Time
	// pendingConfirmation is the time of the latest confirmation of highestKnown. It becomes
	// confirmedAt when that revision is adopted.
	pendingConfirmation time.Time

	watching bool
	fetching bool
	// failedPeers holds the peers from which a fetch failed. It is cleared by an adoption and by a
	// failed fetch from the store.
	failedPeers map[string]bool
	// fetchPeer is the peer of the fetch in flight; empty: the store. fetchProgressAt is when it
	// started, or when the last part of it arrived.
	fetchPeer       string
	fetchProgressAt time.Time
	// nextStoreFetch is the earliest time for another fetch from the store after one failed.
	nextStoreFetch time.Time
	adoptedAt      time.Time

	polling  bool
	polledAt time.Time
	nextPoll time.Time
	// readFailures counts the consecutive failed reads.
	readFailures int
	// failingSince is when the first of the consecutive reads was sent that failed or returned a
	// head below the revision in force. It is zero after a successful read and after a freeze; a
	// response of the watch does not reset it.
	failingSince time.Time
	// peerReported is set once a report that a peer wrote after failingSince has arrived.
	peerReported bool
	lastTick     time.Time
}

// New returns the state of a process that has no configuration.
func New(self string, settings Settings, pick Pick) *State {
	return &State{
		self:          self,
		settings:      settings,
		pick:          pick,
		peerRevisions: map[string]uint64{},
		failedPeers:   map[string]bool{},
	}
}

// Revision returns the revision in force; 0 for none.
func (s *State) Revision() uint64 {
	if s.inForce == nil {
		return 0
	}
	return s.inForce.Version.Revision
}

// HighestKnown returns the highest revision observed so far.
func (s *State) HighestKnown() uint64 { return s.highestKnown }

// ConfirmedAge returns the time since the revision in force was confirmed, as heartbeats carry it;
// negative: never.
func (s *State) ConfirmedAge(now time.Time) time.Duration {
	if s.confirmedAt.IsZero() {
		return -1
	}
	return max(now.Sub(s.confirmedAt), 0)
}

// Handle applies an event and returns the actions to carry out.
func (s *State) Handle(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case HeadObserved:
		return s.handleHead(e, now)
	case ReadFailed:
		return s.handleReadFailed(e, now)
	case PeerReport:
		return s.handlePeerReport(e, now)
	case FetchDone:
		return s.handleFetchDone(e, now)
	case FetchProgress:
		s.handleFetchProgress(e, now)
		return nil
	case FetchFailed:
		return s.handleFetchFailed(now)
	case PeerDisconnected:
		delete(s.peerRevisions, e.Peer)
		return nil
	case InstancesListed:
		return s.handleInstances(e)
	case Tick:
		return s.handleTick(e, now)
	default:
		return nil
	}
}

func (s *State) handleHead(e HeadObserved, now time.Time) []Action {
	regressed := e.Head.Revision < s.Revision() && e.RequestedAt.After(s.adoptedAt)
	if !e.FromWatch {
		s.polling = false
		s.readFailures = 0
	}
	switch {
	case regressed && s.failingSince.IsZero():
		// The store lost its data or was restored to an older state, so its head is below the
		// revision in force. Such a head confirms nothing: as in an outage, the process keeps the
		// configuration in force until an operator acts.
		s.failingSince = e.RequestedAt
	case !regressed && !e.FromWatch:
		s.failingSince = time.Time{}
		s.peerReported = false
	}
	s.observeHead(e.Head.Revision, e.RequestedAt)
	return s.fetch(now)
}

// observeRevision records that a revision exists.
func (s *State) observeRevision(revision uint64) {
	if revision <= s.highestKnown {
		return
	}
	s.highestKnown = revision
	s.pendingConfirmation = time.Time{}
}

// observeHead records that the head in the store had the given revision at the given time. A
// revision below highestKnown confirms nothing, because it was read before the head's last update.
func (s *State) observeHead(revision uint64, at time.Time) {
	s.observeRevision(revision)
	if revision == 0 || revision < s.highestKnown {
		return
	}
	if at.After(s.pendingConfirmation) {
		s.pendingConfirmation = at
	}
	if revision == s.Revision() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

func (s *State) handlePeerReport(e PeerReport, now time.Time) []Action {
	s.peerRevisions[e.Peer] = max(s.peerRevisions[e.Peer], e.Revision)
	s.observeRevision(e.Revision)
	if e.ConfirmedAge >= 0 && !e.NotBefore.IsZero() {
		s.observeHead(e.Revision, e.NotBefore.Add(-e.ConfirmedAge))
	}
	if !s.failingSince.IsZero() && !e.NotBefore.Before(s.failingSince) {
		s.peerReported = true
	}
	return s.fetch(now)
}

func (s *State) handleInstances(e InstancesListed) []Action {
	isWatcher := false
	for _, name := range s.pick("configuration-watch", e.DomainInstances, s.settings.WatchersPerDomain) {
		isWatcher = isWatcher || name == s.self
	}
	if isWatcher == s.watching {
		return nil
	}
	s.watching = isWatcher
	if isWatcher {
		return []Action{StartWatch{}}
	}
	return []Action{StopWatch{}}
}
