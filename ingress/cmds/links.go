package cmds

import (
	"time"

	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// connectAttempt limits one attempt to connect to another ingress: several round trips between regions.
const connectAttempt = 150 * time.Millisecond

// newLinkOptions returns the options for links that this ingress opens and for those it accepts.
func (i *Ingress) newLinkOptions() link.Options {
	interval := i.settings.Peers.HeartbeatInterval
	return link.Options{
		Hello: &wire.Hello{
			Version: wire.Version, Name: i.self.Name, Incarnation: i.incarnation, Role: "ingress",
			Region: i.settings.Place.Region, Domain: i.self.Domain,
		},
		TLS:               i.linkTLS,
		Private:           i.settings.Peers.Private,
		HeartbeatInterval: interval,
		OnFrame:           i.meters.CountFrame,
		SilenceTimeout:    time.Duration(silenceFactor * float64(interval)),
		ConnectAttempt:    connectAttempt,
		NewHeartbeat: func() *wire.Beat {
			return &wire.Beat{
				Leaving: i.stopper.IsLeaving(), Outlooks: i.batcher.Backlogs(), Reading: mesh.EncodeStoreStatus(i.book),
				RateLimits: i.limits.Statements(), LeavingServers: i.limits.LeavingServers(),
			}
		},
	}
}

// observeAccepted records what an ingress that opened a session to this one reports in a heartbeat about
// backend servers. The rest of the heartbeat is for the ingress that opened the session.
func (i *Ingress) observeAccepted(session *link.Session, beat *wire.Beat, _ time.Time) {
	i.mergeStatements(session.Peer().GetName(), beat)
}

// mergeStatements records what another ingress reports about backend servers.
func (i *Ingress) mergeStatements(ingress string, beat *wire.Beat) {
	i.limits.Merge(ingress, beat.GetRateLimits())
	i.limits.MergeLeaving(ingress, beat.GetLeavingServers())
}
