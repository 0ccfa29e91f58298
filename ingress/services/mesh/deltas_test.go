package mesh_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"verbenaroad.example/ingress/services/mesh"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// newDelta returns a whole delta of so many backend servers.
func newDelta(servers int) mirror.Delta {
	d := mirror.Delta{Full: true, CompleteRevision: 1000}
	for i := range servers {
		d.Records = append(d.Records, site.Record{
			Key:      fmt.Sprintf("servers/i-%d", i),
			Value:    fmt.Appendf(nil, `{"Service":"models","Address":"10.1.64.%d:8080","Zone":"a1","State":"ready","Sequence":%d}`, i%256, i),
			Revision: uint64(i + 1), //nolint:gosec // a small number
		})
	}
	return d
}

func TestDeltasArriveAsTheyWere(t *testing.T) {
	for _, servers := range []int{0, 3, 3000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			is := is.New(t)
			sent := newDelta(servers)
			encoded, err := proto.Marshal(mesh.EncodeDelta(sent))
			is.NoErr(err)
			told := &wire.Records{}
			is.NoErr(proto.Unmarshal(encoded, told))
			got, err := mesh.DecodeDelta(told)
			is.NoErr(err)
			is.Equal(got, sent)
		})
	}
}

// A fleet of hundreds starts at once before 3,000 backend servers, and one ingress of each
// failure domain sends the first picture to 50 others over its link of 200 Mbit/s. Written
// plainly that takes over a second, in which nobody serves.
func TestFirstPictureIsSmall(t *testing.T) {
	is := is.New(t)
	const followers, bytesPerSecond = 50, 200_000_000 / 8
	size := proto.Size(mesh.EncodeDelta(newDelta(3000)))
	is.True(followers*size < bytesPerSecond/4)
}

// Bytes that cannot be inflated must not pass for an empty store.
func TestSpoiledDeltaIsRefused(t *testing.T) {
	is := is.New(t)
	told := mesh.EncodeDelta(newDelta(3000))
	told.Packed = told.GetPacked()[:len(told.GetPacked())/2]
	_, err := mesh.DecodeDelta(told)
	is.True(err != nil)
}
