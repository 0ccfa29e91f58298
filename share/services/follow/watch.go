package follow

import (
	"time"

	"verbenaroad.example/share/decide/spread"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/wire"
)

// OnPeerBeat takes what a peer's heartbeat says of its configuration.
func (f *Follower) OnPeerBeat(peer string, beat *wire.Beat, notBefore time.Time) {
	f.meter.beatsReceived.Add(1)
	f.Tell(spread.PeerBeat{
		Peer:         peer,
		Revision:     beat.GetRevision(),
		ConfirmedAge: time.Duration(beat.GetConfirmedAgeNanos()),
		NotBefore:    notBefore,
	})
}

// OnPeerGone notes that the session with a peer ended.
func (f *Follower) OnPeerGone(peer string) {
	f.Tell(spread.PeerGone{Peer: peer})
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
	f.Tell(spread.Listed{Domain: names})
}

// NewBeat returns the heartbeat of this process, without a load report.
func (f *Follower) NewBeat(leaving bool) *wire.Beat {
	f.meter.beatsSent.Add(1)
	revision, age := f.GetRevision(time.Now())
	return &wire.Beat{Revision: revision, ConfirmedAgeNanos: int64(age), Leaving: leaving}
}
