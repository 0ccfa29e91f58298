// Package procs holds what the assemblies of entry and agent share: readiness, the
// list of instances and the figures of the configuration.
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

// StopCheck is how often a stopping process looks whether it may leave.
const StopCheck = 50 * time.Millisecond

// NewFollower returns the follower of an instance's configuration.
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

// FetchFrom asks the other end of a session for configuration.
func FetchFrom(ctx context.Context, session *link.Session, fetch *wire.Fetch) (*wire.Chunks, error) {
	if session == nil {
		return nil, ErrProcess.New("no session")
	}
	return link.FetchChunks(ctx, session, fetch)
}

// CheckReady says why the process is not ready: no configuration yet, or leaving.
func CheckReady(follower *follow.Follower, stopper *stops.Stopper) error {
	if stopper.IsLeaving() {
		return ErrProcess.New("leaving")
	}
	if follower.GetLoaded() == nil {
		return ErrProcess.New("no configuration yet")
	}
	return nil
}

// ConfigReport is the configuration part of a process's figures.
type ConfigReport struct {
	Revision        uint64  `json:"revision"`
	ConfirmedAge    float64 `json:"confirmed-age-seconds"`
	Published       uint64  `json:"published"`
	FetchedPeer     uint64  `json:"fetched-from-peer"`
	FetchedStore    uint64  `json:"fetched-from-store"`
	FailedFetches   uint64  `json:"failed-fetches"`
	FailedReads     uint64  `json:"failed-reads"`
	ControlBusySecs float64 `json:"control-busy-seconds"`
	AdoptingSecs    float64 `json:"adopting-seconds"`
	BeatsSent       uint64  `json:"beats-sent"`
	BeatsReceived   uint64  `json:"beats-received"`
	Lists           uint64  `json:"list-reads"`
	FetchedBytes    uint64  `json:"fetched-bytes"`
	ServedBytes     uint64  `json:"served-bytes"`
	Teams           int     `json:"teams"`
}

// DescribeConfig returns the configuration part of a process's figures.
func DescribeConfig(follower *follow.Follower) ConfigReport {
	revision, age := follower.GetRevision(time.Now())
	counts := follower.GetCounts()
	report := ConfigReport{
		Revision:        revision,
		ConfirmedAge:    age.Seconds(),
		Published:       counts.Published,
		FetchedPeer:     counts.FetchedPeer,
		FetchedStore:    counts.FetchedStore,
		FailedFetches:   counts.FailedFetches,
		FailedReads:     counts.FailedReads,
		ControlBusySecs: counts.ControlBusy.Seconds(),
		AdoptingSecs:    counts.Adopting.Seconds(),
		BeatsSent:       counts.HeartbeatsSent,
		BeatsReceived:   counts.HeartbeatsReceived,
		Lists:           counts.ListReads,
		FetchedBytes:    counts.FetchedBytes,
		ServedBytes:     counts.ServedBytes,
	}
	if loaded := follower.GetLoaded(); loaded != nil {
		report.Teams = len(loaded.Snapshot.Set.Teams)
	}
	return report
}
