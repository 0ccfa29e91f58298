package follow

import (
	"time"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/wire"
)

// neverConfirmed is the ConfirmedAge of a report that carries no confirmation.
const neverConfirmed = -1

// OnPeerHeartbeat passes on the configuration state that a peer reports in a heartbeat. notBefore
// is the earliest local time at which the peer can have written the heartbeat; zero: unknown.
func (f *Follower) OnPeerHeartbeat(peer string, heartbeat *wire.Beat, notBefore time.Time) {
	f.meter.heartbeatsReceived.Add(1)
	f.Send(gossip.PeerReport{
		Peer:         peer,
		Revision:     heartbeat.GetRevision(),
		ConfirmedAge: time.Duration(heartbeat.GetConfirmedAgeNanos()),
		NotBefore:    notBefore,
	})
}

// OnPeerCall passes on the revision under which a peer decided a call, if it is higher than the one
// in force here. The peer has that configuration, so it can be fetched from the peer at once. The
// call waits for it, and the peer's next heartbeat would report it up to a second later.
func (f *Follower) OnPeerCall(peer string, call *wire.Call, notBefore time.Time) {
	inForce, _ := f.GetRevision(time.Now())
	if call.GetRevision() <= inForce {
		return
	}
	f.Send(gossip.PeerReport{
		Peer:         peer,
		Revision:     call.GetRevision(),
		ConfirmedAge: time.Duration(call.GetConfirmedAgeNanos()),
		NotBefore:    notBefore,
	})
}

// OnPeerRevision passes on the revision that a peer's answer carries, if it is higher than the one
// in force here.
func (f *Follower) OnPeerRevision(peer string, revision uint64) {
	inForce, _ := f.GetRevision(time.Now())
	if revision <= inForce {
		return
	}
	f.Send(gossip.PeerReport{Peer: peer, Revision: revision, ConfirmedAge: neverConfirmed})
}

// OnPeerDisconnected reports to the control loop that the session with a peer ended.
func (f *Follower) OnPeerDisconnected(peer string) {
	f.Send(gossip.PeerDisconnected{Peer: peer})
}

// OnInstances passes on the names of the listed instances in this instance's failure domain,
// without leaving ones and always with its own. They determine which instances of the domain hold a
// watch.
func (f *Follower) OnInstances(instances []member.Instance) {
	f.meter.listReads.Add(1)
	names := []string{f.options.Self}
	for _, instance := range instances {
		inDomain := instance.Domain == f.options.Domain && !instance.Leaving
		if inDomain && instance.Name != f.options.Self {
			names = append(names, instance.Name)
		}
	}
	f.Send(gossip.InstancesListed{DomainInstances: names})
}

// NewHeartbeat returns a heartbeat of this process, without a load report, and counts it as sent.
func (f *Follower) NewHeartbeat(leaving bool) *wire.Beat {
	f.meter.heartbeatsSent.Add(1)
	revision, age := f.GetRevision(time.Now())
	return &wire.Beat{Revision: revision, ConfirmedAgeNanos: int64(age), Leaving: leaving}
}

// Adopt puts the configuration of a change in force that this process submitted and that was
// accepted.
//
// It guards against an outage of the key-value service that begins right after the change: the
// operator had received the verdict "accepted", but no process could fetch the configuration until
// the service recovered. The process that submitted the change has all of its chunks, and its peers
// fetch them from it.
func (f *Follower) Adopt(loaded *config.Loaded) {
	f.Send(gossip.FetchDone{Loaded: loaded})
}
