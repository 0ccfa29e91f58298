package mesh_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// lateListing is a listing that reaches a book after a delay.
type lateListing struct {
	delay   time.Duration
	target  *instance
	records []site.Record
}

func (l lateListing) run() {
	time.Sleep(l.delay)
	l.target.book.ApplyListing(l.records, site.Revision{Number: 1})
}

// Guards against ingresses that open a session again and again to one that has just started itself, when all
// start at once and the store refuses some: the answer waits for the first snapshot, but not for long.
func TestAnswerWaitsForTheFirstSnapshot(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, map[string]string{"d0": "r0", "d1": "r1"}, []linkRate{{domain: "d0"}, {domain: "d1"}})
	seed, other := f.instances[0], f.instances[1]
	seed.server.Start(t.Context())
	ask := func() *wire.Records {
		records, err := other.mesh.SyncAddress(context.Background(), seed.self.Address, &wire.Sync{}, func() {})
		is.NoErr(err)
		return records
	}
	delta, err := mesh.DecodeDelta(ask())
	is.NoErr(err)
	is.Equal(len(delta.Records), 0) // there is none, and the caller must not wait for ever
	l := lateListing{delay: 100 * time.Millisecond, target: seed, records: []site.Record{{Key: "op/config", Value: []byte(`{"Version":1}`), Revision: site.Revision{Number: 1}}}}
	go l.run()
	delta, err = mesh.DecodeDelta(ask())
	is.NoErr(err)
	is.Equal(len(delta.Records), 1)
}
