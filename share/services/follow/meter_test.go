package follow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/modules/rhash"
	"verbenaroad.example/share/modules/wire"
	"verbenaroad.example/share/services/follow"
)

// Heartbeats and list reads are counted where they occur, outside the control loop. Guards against
// figures that omit them; the loop is not started here.
func TestCountsOutsideControlLoop(t *testing.T) {
	is := is.New(t)
	f := follow.NewFollower(follow.Options{Self: "entry-1", Settings: gossip.DefaultSettings(), Pick: rhash.Pick})
	f.NewHeartbeat(false)
	f.OnPeerHeartbeat("agent-1", &wire.Beat{}, time.Time{})
	f.OnPeerHeartbeat("agent-1", &wire.Beat{}, time.Time{})
	f.OnInstances(nil)
	counts := f.GetCounts()
	is.Equal(counts.HeartbeatsSent, uint64(1))
	is.Equal(counts.HeartbeatsReceived, uint64(2))
	is.Equal(counts.ListReads, uint64(1))
}
