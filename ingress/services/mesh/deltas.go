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
	records := &wire.Records{Records: encodeRecords(d.Records), Holds: encodeRecords(d.Holds)}
	if proto.Size(records) >= compressMinBytes {
		if compressed, err := compress(records); err == nil {
			records = &wire.Records{Packed: compressed}
		}
	}
	records.Whole = d.Full
	records.At, records.Era = d.CompleteRevision.Number, d.CompleteRevision.Era
	records.Earlier, records.EarlierEra = d.EarlierRevision.Number, d.EarlierRevision.Era
	records.EraBase, records.EraAgeNanos = d.EraBase.Number, int64(d.EraAge)
	return records
}

func encodeRecords(records []site.Record) []*wire.Record {
	encoded := make([]*wire.Record, 0, len(records))
	for _, r := range records {
		encoded = append(encoded, &wire.Record{
			Key: r.Key, Value: r.Value, Revision: r.Revision.Number, Era: r.Revision.Era, Deleted: r.Deleted,
		})
	}
	return encoded
}

func decodeRecords(records []*wire.Record) []site.Record {
	var decoded []site.Record
	for _, r := range records {
		decoded = append(decoded, site.Record{
			Key: r.GetKey(), Value: r.GetValue(), Revision: site.Revision{Era: r.GetEra(), Number: r.GetRevision()}, Deleted: r.GetDeleted(),
		})
	}
	return decoded
}

// DecodeDelta decodes what EncodeDelta returns.
func DecodeDelta(records *wire.Records) (mirror.Delta, error) {
	d := mirror.Delta{
		Full:             records.GetWhole(),
		CompleteRevision: site.Revision{Era: records.GetEra(), Number: records.GetAt()},
		EarlierRevision:  site.Revision{Era: records.GetEarlierEra(), Number: records.GetEarlier()},
		EraBase:          site.Revision{Era: records.GetEra(), Number: records.GetEraBase()},
		EraAge:           time.Duration(records.GetEraAgeNanos()),
	}
	if len(records.GetPacked()) > 0 {
		decompressed, err := decompress(records.GetPacked())
		if err != nil {
			return d, err
		}
		records = decompressed
	}
	d.Records, d.Holds = decodeRecords(records.GetRecords()), decodeRecords(records.GetHolds())
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
	recordsAge := b.RecordsAge() // before the extent: the records may be newer than stated, and never older
	e := b.Extent()
	return &wire.Reading{
		RecordsAgeNanos: int64(recordsAge),
		Direct:          b.IsDirect(), AgeNanos: int64(b.Age()), Newest: e.NewestRevision.Number, NewestEra: e.NewestRevision.Era,
		At: e.CompleteRevision.Number, Era: e.CompleteRevision.Era, Earlier: e.EarlierRevision.Number, EarlierEra: e.EarlierRevision.Era,
	}
}

func decodeStatus(reading *wire.Reading) feed.StoreStatus {
	return feed.StoreStatus{Direct: reading.GetDirect(), Age: time.Duration(reading.GetAgeNanos())}
}

func decodeExtent(reading *wire.Reading) mirror.Extent {
	return mirror.Extent{
		NewestRevision:   site.Revision{Era: reading.GetNewestEra(), Number: reading.GetNewest()},
		CompleteRevision: site.Revision{Era: reading.GetEra(), Number: reading.GetAt()},
		EarlierRevision:  site.Revision{Era: reading.GetEarlierEra(), Number: reading.GetEarlier()},
	}
}

func newSync(e mirror.Extent) *wire.Sync {
	return &wire.Sync{
		At: e.CompleteRevision.Number, Era: e.CompleteRevision.Era, Earlier: e.EarlierRevision.Number, EarlierEra: e.EarlierRevision.Era,
	}
}

func newFollow(e mirror.Extent) *wire.Follow {
	return &wire.Follow{
		At: e.CompleteRevision.Number, Era: e.CompleteRevision.Era, Earlier: e.EarlierRevision.Number, EarlierEra: e.EarlierRevision.Era,
	}
}

// reached is what a message states of the copy of its sender: a wire.Sync or a wire.Follow of the one that lacks
// records, wire.Records of the one that sends them.
type reached interface {
	GetAt() uint64
	GetEra() uint64
	GetEarlier() uint64
	GetEarlierEra() uint64
}

func decodeReached(r reached) mirror.Extent {
	return mirror.Extent{
		CompleteRevision: site.Revision{Era: r.GetEra(), Number: r.GetAt()},
		EarlierRevision:  site.Revision{Era: r.GetEarlierEra(), Number: r.GetEarlier()},
	}
}
