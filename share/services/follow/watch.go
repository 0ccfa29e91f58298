package follow

import (
	"time"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/wire"
)

// neverConfirmed marks a message that says nothing of a confirmation.
const neverConfirmed = -1

// OnPeerBeat takes what a peer's heartbeat says of its configuration.
func (f *Follower) OnPeerBeat(peer string, beat *wire.Beat, notBefore time.Time) {
	f.meter.beatsReceived.Add(1)
	f.Tell(gossip.PeerReport{
		Peer:         peer,
		Revision:     beat.GetRevision(),
		ConfirmedAge: time.Duration(beat.GetConfirmedAgeNanos()),
		NotBefore:    notBefore,
	})
}

// OnPeerCall takes the revision under which a peer decided a call. The peer has
// that configuration, so it can be fetched at once; the peer's next heartbeat
// would tell it up to a second later, and the call waits meanwhile.
func (f *Follower) OnPeerCall(peer string, call *wire.Call, notBefore time.Time) {
	known, _ := f.GetRevision(time.Now())
	if call.GetRevision() <= known {
		return
	}
	f.Tell(gossip.PeerReport{
		Peer:         peer,
		Revision:     call.GetRevision(),
		ConfirmedAge: time.Duration(call.GetConfirmedAgeNanos()),
		NotBefore:    notBefore,
	})
}

// OnPeerRevision takes a revision that a peer's answer named.
func (f *Follower) OnPeerRevision(peer string, revision uint64) {
	known, _ := f.GetRevision(time.Now())
	if revision <= known {
		return
	}
	f.Tell(gossip.PeerReport{Peer: peer, Revision: revision, ConfirmedAge: neverConfirmed})
}

// OnPeerGone notes that the session with a peer ended.
func (f *Follower) OnPeerGone(peer string) {
	f.Tell(gossip.PeerDisconnected{Peer: peer})
}

// OnInstances takes the list and passes on the instances of the own failure domain, which share its watches.
func (f *Follower) OnInstances(instances []member.Instance) {
	f.meter.lists.Add(1)
	names := []string{f.options.Self}
	for _, instance := range instances {
		own := instance.Domain == f.options.Domain && !instance.Leaving
		if own && instance.Name != f.options.Self {
			names = append(names, instance.Name)
		}
	}
	f.Tell(gossip.InstancesListed{DomainInstances: names})
}

// NewBeat returns the heartbeat of this process, without a load report.
func (f *Follower) NewBeat(leaving bool) *wire.Beat {
	f.meter.beatsSent.Add(1)
	revision, age := f.GetRevision(time.Now())
	return &wire.Beat{Revision: revision, ConfirmedAgeNanos: int64(age), Leaving: leaving}
}

// Adopt takes a configuration that this process itself saw accepted.
//
// Guards against an outage that begins right after a change: the operator was
// told "accepted", and no process could fetch it until the key-value service
// was back. The one that made the change has every part, and its peers take it
// from there.
func (f *Follower) Adopt(loaded *config.Loaded) {
	f.Tell(gossip.FetchDone{Loaded: loaded})
}
