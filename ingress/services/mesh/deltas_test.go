package mesh_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// newDelta returns a full delta with the given number of backend servers.
func newDelta(servers int) mirror.Delta {
	d := mirror.Delta{
		Full: true, CompleteRevision: site.Revision{Era: 2, Number: 1000}, EarlierRevision: site.Revision{Era: 1, Number: 3000},
		EraBase: site.Revision{Era: 2, Number: 900}, EraAge: time.Second,
		Holds: []site.Record{{Key: "op/evacuate/a1", Value: []byte("{}"), Revision: site.Revision{Era: 1, Number: 2999}, Deleted: true}},
	}
	for i := range servers {
		d.Records = append(d.Records, site.Record{
			Key:      fmt.Sprintf("servers/i-%d", i),
			Value:    fmt.Appendf(nil, `{"Service":"models","Address":"10.1.64.%d:8080","Zone":"a1","State":"ready","Version":"v1","Slots":4,"ColdRemainingMs":0,"Sequence":%d}`, i%256, i),
			Revision: site.Revision{Era: 2, Number: uint64(i + 1)}, //nolint:gosec // a small number
		})
	}
	return d
}

// Guards against a delta that the receiver decodes differently, in the plain and the compressed
// form.
func TestDeltaRoundTrip(t *testing.T) {
	for _, servers := range []int{0, 3, 3000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			is := is.New(t)
			sent := newDelta(servers)
			encoded, err := proto.Marshal(mesh.EncodeDelta(sent))
			is.NoErr(err)
			records := &wire.Records{}
			is.NoErr(proto.Unmarshal(encoded, records))
			got, err := mesh.DecodeDelta(records)
			is.NoErr(err)
			is.Equal(got, sent)
		})
	}
}

// Guards against a slow start of hundreds of ingresses with 3,000 backend servers: one ingress of
// each failure domain sends the first snapshot to 50 others over its link of 200 Mbit/s. Without
// compression this takes over a second, during which none of them serves requests.
func TestFirstSnapshotIsSmall(t *testing.T) {
	is := is.New(t)
	const followers, bytesPerSecond = 50, 200_000_000 / 8
	size := proto.Size(mesh.EncodeDelta(newDelta(3000)))
	is.True(followers*size < bytesPerSecond/4)
}

// Guards against a truncated message that is taken for a full delta of an empty store.
func TestTruncatedDeltaIsRejected(t *testing.T) {
	is := is.New(t)
	records := mesh.EncodeDelta(newDelta(3000))
	records.Packed = records.GetPacked()[:len(records.GetPacked())/2]
	_, err := mesh.DecodeDelta(records)
	is.True(err != nil)
}
