// Package spread decides how a process learns of configurations, when it
// adopts them and whether it may use the one it has. It is pure and does no I/O.
package spread

import (
	"time"

	"verbenaroad.example/share/models/config"
)

// Pick returns the n lowest of names by rendezvous hash of a key.
type Pick func(key string, names []string, n int) []string

// State is what a process knows of configurations.
type State struct {
	self     string
	settings Settings
	pick     Pick

	// inForce is nil until the first Publish; its revision only rises.
	inForce *config.Loaded
	// known is the highest revision heard of, never below that in force.
	known uint64
	// peers holds the highest revision each live peer told.
	peers map[string]uint64
	// confirmed is when the service last confirmed the revision in force; zero: never.
	confirmed time.Time
	// pending holds the latest confirmation of known while it is not in force yet.
	pending time.Time

	watching bool
	fetching bool
	// triedPeers are those whose fetch failed since the last adoption.
	triedPeers map[string]bool
	fetchPeer  string
	fetchAt    time.Time
	// storeAfter is when the service may be asked again for chunks after it failed to give them.
	storeAfter time.Time
	adoptedAt  time.Time

	polling  bool
	polledAt time.Time
	nextPoll time.Time
	failures int
	// failedAt is when the last read that failed was sent; zero after a good one or a pause.
	failedAt time.Time
	// peersHeard is set once a peer wrote a beat after failedAt.
	peersHeard bool
	lastTick   time.Time
}

// New returns the state of a process that has no configuration.
func New(self string, settings Settings, pick Pick) *State {
	return &State{
		self:       self,
		settings:   settings,
		pick:       pick,
		peers:      map[string]uint64{},
		triedPeers: map[string]bool{},
	}
}

// Revision returns the revision in force; 0 for none.
func (s *State) Revision() uint64 {
	if s.inForce == nil {
		return 0
	}
	return s.inForce.Version.Revision
}

// Known returns the highest revision heard of.
func (s *State) Known() uint64 { return s.known }

// ConfirmedAge returns how long ago the revision in force was confirmed, as
// heartbeats carry it; negative: never.
func (s *State) ConfirmedAge(now time.Time) time.Duration {
	if s.confirmed.IsZero() {
		return -1
	}
	return max(now.Sub(s.confirmed), 0)
}

// Handle takes an event and returns what to do.
func (s *State) Handle(event Event, now time.Time) []Action {
	switch e := event.(type) {
	case HeadSeen:
		return s.handleHead(e, now)
	case ReadFailed:
		return s.handleReadFailed(e, now)
	case PeerBeat:
		return s.handleBeat(e, now)
	case FetchDone:
		return s.handleFetched(e, now)
	case FetchFailed:
		return s.handleFetchFailed(now)
	case PeerGone:
		delete(s.peers, e.Peer)
		return nil
	case Listed:
		return s.handleListed(e)
	case Tick:
		return s.handleTick(e, now)
	default:
		return nil
	}
}

func (s *State) handleHead(e HeadSeen, now time.Time) []Action {
	fell := e.Head.Revision < s.Revision() && e.AskedAt.After(s.adoptedAt)
	if !e.Watch {
		s.polling = false
		s.failures = 0
	}
	switch {
	case fell && s.failedAt.IsZero():
		// The service lost its data or was put back to an older state. It shows
		// as a head below the revision in force, and confirms nothing: the
		// process stays where it is, as in an outage, until an operator acts.
		s.failedAt = e.AskedAt
	case !fell && !e.Watch:
		s.failedAt = time.Time{}
		s.peersHeard = false
	}
	s.hear(e.Head.Revision, e.AskedAt)
	return s.fetch(now)
}

// raise takes in that a revision exists.
func (s *State) raise(revision uint64) {
	if revision <= s.known {
		return
	}
	s.known = revision
	s.pending = time.Time{}
}

// hear takes in that the service held a revision at some moment. A lower one
// than known confirms nothing: it is an answer from before the last move.
func (s *State) hear(revision uint64, at time.Time) {
	s.raise(revision)
	if revision == 0 || revision < s.known {
		return
	}
	if at.After(s.pending) {
		s.pending = at
	}
	if revision == s.Revision() && at.After(s.confirmed) {
		s.confirmed = at
	}
}

func (s *State) handleBeat(e PeerBeat, now time.Time) []Action {
	s.peers[e.Peer] = max(s.peers[e.Peer], e.Revision)
	s.raise(e.Revision)
	if e.ConfirmedAge >= 0 && !e.NotBefore.IsZero() {
		s.hear(e.Revision, e.NotBefore.Add(-e.ConfirmedAge))
	}
	if !s.failedAt.IsZero() && !e.NotBefore.Before(s.failedAt) {
		s.peersHeard = true
	}
	return s.fetch(now)
}

func (s *State) handleListed(e Listed) []Action {
	watch := false
	for _, name := range s.pick("configuration-watch", e.Domain, s.settings.Watchers) {
		watch = watch || name == s.self
	}
	if watch == s.watching {
		return nil
	}
	s.watching = watch
	if watch {
		return []Action{StartWatch{}}
	}
	return []Action{StopWatch{}}
}
