package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/feed"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/wire"
)

// packFromBytes is the size from which on records are deflated: a configuration, or a first picture
// with every backend server, goes to each ingress, over links of 10 Mbit/s.
const packFromBytes = 8 << 10

// maxUnpacked bounds what is inflated.
const maxUnpacked = 64 << 20

// EncodeDelta writes what a copy of the store's records lacks.
func EncodeDelta(d mirror.Delta) *wire.Records {
	told := &wire.Records{}
	for _, r := range d.Records {
		told.Records = append(told.Records, &wire.Record{
			Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted,
		})
	}
	if proto.Size(told) >= packFromBytes {
		if packed, err := pack(told); err == nil {
			told = &wire.Records{Packed: packed}
		}
	}
	told.Whole = d.Full
	told.At = d.CompleteRevision
	return told
}

// DecodeDelta reads it.
func DecodeDelta(told *wire.Records) (mirror.Delta, error) {
	d := mirror.Delta{Full: told.GetWhole(), CompleteRevision: told.GetAt()}
	if len(told.GetPacked()) > 0 {
		unpacked, err := unpack(told.GetPacked())
		if err != nil {
			return d, err
		}
		told = unpacked
	}
	for _, r := range told.GetRecords() {
		d.Records = append(d.Records, site.Record{
			Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted(),
		})
	}
	return d, nil
}

func pack(told *wire.Records) ([]byte, error) {
	plain, err := proto.Marshal(told)
	if err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	packed := bytes.Buffer{}
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) (*wire.Records, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	if err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	told := &wire.Records{}
	return told, ErrMesh.Wrap(proto.Unmarshal(plain, told))
}

// EncodeReading tells how well this ingress knows the store.
func EncodeReading(b *state.Book) *wire.Reading {
	e := b.Extent()
	return &wire.Reading{Direct: b.IsDirect(), AgeNanos: int64(b.Age()), Newest: e.NewestRevision, At: e.CompleteRevision}
}

func decodeWord(told *wire.Reading) feed.StoreStatus {
	return feed.StoreStatus{Direct: told.GetDirect(), Age: time.Duration(told.GetAgeNanos())}
}

func decodeExtent(told *wire.Reading) state.Extent {
	return state.Extent{NewestRevision: told.GetNewest(), CompleteRevision: told.GetAt()}
}
