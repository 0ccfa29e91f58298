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

func TestCountsOfControlWork(t *testing.T) {
	is := is.New(t)
	f := follow.NewFollower(follow.Options{Self: "entry-1", Settings: gossip.DefaultSettings(), Pick: rhash.Pick})
	f.NewBeat(false)
	f.OnPeerBeat("agent-1", &wire.Beat{}, time.Time{})
	f.OnPeerBeat("agent-1", &wire.Beat{}, time.Time{})
	f.OnInstances(nil)
	counts := f.GetCounts()
	is.Equal(counts.BeatsSent, uint64(1))
	is.Equal(counts.BeatsReceived, uint64(2))
	is.Equal(counts.Lists, uint64(1))
}
