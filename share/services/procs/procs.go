// Package procs holds the parts of a process that the programs entry and agent share: the follower
// of the configuration with its figures, the readiness check and the poller of the list of
// instances.
package procs

import (
	"context"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/rhash"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/follow"
	"verbenaroad.example/share/services/kvport"
	"verbenaroad.example/share/services/stops"
	"verbenaroad.example/share/services/store"
)

// ErrProcess is the class of errors of this package.
var ErrProcess = errs.Class("process") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// StopCheckInterval is the interval at which a stopping process checks whether it may exit.
const StopCheckInterval = 50 * time.Millisecond

// NewFollower returns the configuration follower of the instance with this name and failure domain.
func NewFollower(name, domain string, port *kvport.Port, peers follow.Peers, log *zap.Logger) *follow.Follower {
	return follow.NewFollower(follow.Options{
		Self:     name,
		Domain:   domain,
		Settings: gossip.DefaultSettings(),
		Pick:     rhash.Pick,
		Store:    store.NewReader(port, store.DefaultPrefix),
		Peers:    peers,
		Log:      log,
	})
}

// FetchChunks fetches configuration from the other end of a session. It fails if session is nil.
func FetchChunks(ctx context.Context, session *link.Session, fetch *wire.Fetch) (*wire.Chunks, error) {
	if session == nil {
		return nil, ErrProcess.New("no session to the peer")
	}
	return link.FetchChunks(ctx, session, fetch)
}

// CheckReady returns an error with the reason if the process is not ready: it is leaving, or it has
// no configuration yet.
func CheckReady(follower *follow.Follower, stopper *stops.Stopper) error {
	if stopper.IsLeaving() {
		return ErrProcess.New("leaving")
	}
	if follower.GetLoaded() == nil {
		return ErrProcess.New("no configuration yet")
	}
	return nil
}

// ConfigReport is the part of a process's figures that describes its configuration.
type ConfigReport struct {
	Revision           uint64  `json:"revision"`
	ConfirmedAge       float64 `json:"confirmed-age-seconds"`
	Published          uint64  `json:"published"`
	FetchedPeer        uint64  `json:"fetched-from-peer"`
	FetchedStore       uint64  `json:"fetched-from-store"`
	FailedFetches      uint64  `json:"failed-fetches"`
	FailedReads        uint64  `json:"failed-reads"`
	ControlBusySeconds float64 `json:"control-busy-seconds"`
	AdoptingSeconds    float64 `json:"adopting-seconds"`
	HeartbeatsSent     uint64  `json:"beats-sent"`
	HeartbeatsReceived uint64  `json:"beats-received"`
	ListReads          uint64  `json:"list-reads"`
	FetchedBytes       uint64  `json:"fetched-bytes"`
	ServedBytes        uint64  `json:"served-bytes"`
	Teams              int     `json:"teams"`
}

// DescribeConfig returns the figures of a follower and its configuration.
func DescribeConfig(follower *follow.Follower) ConfigReport {
	revision, age := follower.GetRevision(time.Now())
	counts := follower.GetCounts()
	report := ConfigReport{
		Revision:           revision,
		ConfirmedAge:       age.Seconds(),
		Published:          counts.Published,
		FetchedPeer:        counts.FetchedPeer,
		FetchedStore:       counts.FetchedStore,
		FailedFetches:      counts.FailedFetches,
		FailedReads:        counts.FailedReads,
		ControlBusySeconds: counts.ControlBusy.Seconds(),
		AdoptingSeconds:    counts.Adopting.Seconds(),
		HeartbeatsSent:     counts.HeartbeatsSent,
		HeartbeatsReceived: counts.HeartbeatsReceived,
		ListReads:          counts.ListReads,
		FetchedBytes:       counts.FetchedBytes,
		ServedBytes:        counts.ServedBytes,
	}
	if loaded := follower.GetLoaded(); loaded != nil {
		report.Teams = len(loaded.Snapshot.Set.Teams)
	}
	return report
}
