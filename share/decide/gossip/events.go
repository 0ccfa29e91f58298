package gossip

import (
	"time"

	"verbenaroad.example/share/models/config"
)

// Event is an input of State.Handle.
type Event interface{ isEvent() }

// HeadObserved reports the head that the store returned. Head is zero if the store has none.
type HeadObserved struct {
	Head config.Head
	// RequestedAt is when the request was sent. The response is only certain to have been current
	// at that time, not when it arrived.
	RequestedAt time.Time
	// FromWatch means that the head comes from the watch and not from a read.
	FromWatch bool
}

// ReadFailed means that the read requested by PollStore returned no head.
type ReadFailed struct{ RequestedAt time.Time }

// PeerReport is the configuration state that a peer reports in a heartbeat, a call or an answer.
type PeerReport struct {
	Peer string
	// Revision is the revision in force at the peer; the peer can serve its chunks.
	Revision uint64
	// ConfirmedAge is the age of the peer's confirmation when it wrote the report; negative: never
	// confirmed.
	ConfirmedAge time.Duration
	// NotBefore is the earliest local time at which the peer can have written the report: the time
	// at which the local heartbeat that it echoes was sent, plus the time that the peer held it. A
	// report that stayed in a buffer while this process was frozen echoes an old heartbeat and
	// therefore does not count as a fresh confirmation. Zero: unknown.
	NotBefore time.Time
}

// FetchDone carries the complete configuration of a head; its chunks have been checked by hash.
type FetchDone struct{ Loaded *config.Loaded }

// FetchProgress means that a part of the configuration has arrived from a peer.
type FetchProgress struct{ Peer string }

// FetchFailed means that a fetch returned no usable configuration.
type FetchFailed struct{}

// PeerDisconnected means that the session with a peer ended.
type PeerDisconnected struct{ Peer string }

// InstancesListed carries the names of the instances in this process's failure domain, including
// its own, from the eventually consistent instance list.
type InstancesListed struct{ DomainInstances []string }

// Tick reports that time has passed. The caller sends several within each FreezeThreshold.
type Tick struct {
	// Random lies in [0, 1) and is the jitter that spreads the polls of many processes over time.
	Random float64
}

func (HeadObserved) isEvent()     {}
func (ReadFailed) isEvent()       {}
func (PeerReport) isEvent()       {}
func (FetchDone) isEvent()        {}
func (FetchProgress) isEvent()    {}
func (FetchFailed) isEvent()      {}
func (PeerDisconnected) isEvent() {}
func (InstancesListed) isEvent()  {}
func (Tick) isEvent()             {}

// Action is an output of State.Handle that the caller must carry out.
type Action interface{ isAction() }

// FetchFromPeer requests the peer's manifest, then the chunks of it that are not loaded yet.
type FetchFromPeer struct {
	Peer     string
	Revision uint64
}

// FetchFromStore requests the manifest of the head and its missing chunks from the store.
type FetchFromStore struct{}

// PollStore requests a consistent read of the head.
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
