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

// compressMinBytes is the encoded size at which records start to be compressed. Configurations and
// first snapshots with every backend server are larger; they are sent to each ingress, also over
// links of 10 Mbit/s.
const compressMinBytes = 8 << 10

// maxDecompressedBytes limits the size of decompressed records.
const maxDecompressedBytes = 64 << 20

// EncodeDelta encodes a delta, compressed if it is large.
func EncodeDelta(d mirror.Delta) *wire.Records {
	records := &wire.Records{}
	for _, r := range d.Records {
		records.Records = append(records.Records, &wire.Record{
			Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: r.Deleted,
		})
	}
	if proto.Size(records) >= compressMinBytes {
		if compressed, err := compress(records); err == nil {
			records = &wire.Records{Packed: compressed}
		}
	}
	records.Whole = d.Full
	records.At = d.CompleteRevision
	return records
}

// DecodeDelta decodes what EncodeDelta returns.
func DecodeDelta(records *wire.Records) (mirror.Delta, error) {
	d := mirror.Delta{Full: records.GetWhole(), CompleteRevision: records.GetAt()}
	if len(records.GetPacked()) > 0 {
		decompressed, err := decompress(records.GetPacked())
		if err != nil {
			return d, err
		}
		records = decompressed
	}
	for _, r := range records.GetRecords() {
		d.Records = append(d.Records, site.Record{
			Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision(), Deleted: r.GetDeleted(),
		})
	}
	return d, nil
}

func compress(records *wire.Records) ([]byte, error) {
	encoded, err := proto.Marshal(records)
	if err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	compressed := bytes.Buffer{}
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	return compressed.Bytes(), nil
}

func decompress(compressed []byte) (*wire.Records, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes))
	if err != nil {
		return nil, ErrMesh.Wrap(err)
	}
	records := &wire.Records{}
	return records, ErrMesh.Wrap(proto.Unmarshal(encoded, records))
}

// EncodeStoreStatus encodes the status of this ingress's connection to the store and the extent of
// its copy of the records, for its heartbeats.
func EncodeStoreStatus(b *state.Book) *wire.Reading {
	e := b.Extent()
	return &wire.Reading{Direct: b.IsDirect(), AgeNanos: int64(b.Age()), Newest: e.NewestRevision, At: e.CompleteRevision}
}

func decodeStatus(reading *wire.Reading) feed.StoreStatus {
	return feed.StoreStatus{Direct: reading.GetDirect(), Age: time.Duration(reading.GetAgeNanos())}
}

func decodeExtent(reading *wire.Reading) state.Extent {
	return state.Extent{NewestRevision: reading.GetNewest(), CompleteRevision: reading.GetAt()}
}
