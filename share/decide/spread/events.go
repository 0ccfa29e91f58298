package spread

import (
	"time"

	"verbenaroad.example/share/models/config"
)

// Event is something that happened to a process.
type Event interface{ isEvent() }

// HeadSeen brings the head as the key-value service holds it. A service
// without any head is told by a zero Head.
type HeadSeen struct {
	Head config.Head
	// AskedAt is when the request was sent, the only moment at which the
	// answer is sure to have been up to date.
	AskedAt time.Time
	// Watch tells that a watch brought it and not a read.
	Watch bool
}

// ReadFailed means that PollStore brought no answer.
type ReadFailed struct{ AskedAt time.Time }

// PeerBeat is what a peer says of itself in a heartbeat or a call.
type PeerBeat struct {
	Peer string
	// Revision is the one in force at the peer, whose chunks it can give.
	Revision uint64
	// ConfirmedAge is how old the peer's confirmation was when it wrote the beat; negative: never confirmed.
	ConfirmedAge time.Duration
	// NotBefore is the earliest local time at which the peer can have written
	// the beat: when the local beat that it echoes was sent, plus the time the
	// peer held it. A beat that lay in a buffer while this process was frozen
	// echoes an old beat and so brings no fresh confirmation.
	NotBefore time.Time
}

// FetchDone brings the whole configuration of a head, its chunks checked by hash.
type FetchDone struct{ Loaded *config.Loaded }

// FetchFailed means that a fetch brought no usable configuration.
type FetchFailed struct{}

// PeerGone means that the session with a peer ended.
type PeerGone struct{ Peer string }

// Listed brings the instances of the own failure domain from the lagging list, itself among them.
type Listed struct{ Domain []string }

// Tick passes time; the shell sends one several times in each Pause.
type Tick struct {
	// Random in [0, 1) spreads the polls of many processes.
	Random float64
}

func (HeadSeen) isEvent()    {}
func (ReadFailed) isEvent()  {}
func (PeerBeat) isEvent()    {}
func (FetchDone) isEvent()   {}
func (FetchFailed) isEvent() {}
func (PeerGone) isEvent()    {}
func (Listed) isEvent()      {}
func (Tick) isEvent()        {}

// Action is what the shell has to do.
type Action interface{ isAction() }

// FetchFromPeer asks a peer for its manifest, then for the chunks that Load misses.
type FetchFromPeer struct {
	Peer     string
	Revision uint64
}

// FetchFromStore asks the key-value service for the head's manifest and missing chunks.
type FetchFromStore struct{}

// PollStore asks for a consistent read of the head.
type PollStore struct{}

// StartWatch and StopWatch open and close the watch on the head.
type (
	StartWatch struct{}
	// StopWatch closes the watch.
	StopWatch struct{}
)

// Publish puts a configuration in force in this process.
type Publish struct{ Loaded *config.Loaded }

func (FetchFromPeer) isAction()  {}
func (FetchFromStore) isAction() {}
func (PollStore) isAction()      {}
func (StartWatch) isAction()     {}
func (StopWatch) isAction()      {}
func (Publish) isAction()        {}
