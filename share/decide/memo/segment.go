package memo

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest stands for the key of a memo in a segment.
type Digest uint64

const (
	// digestBytes is the size of a digest in a segment.
	digestBytes = 5
	// segmentFormat is the first byte of a segment.
	segmentFormat = 1
	// maxSegmentValues limits the different values in a segment.
	maxSegmentValues = 256
)

// MaxSegmentEntries limits the memos in a segment.
const MaxSegmentEntries = 4096

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return Digest(xxhash.Sum64String(key) >> (64 - 8*digestBytes))
}

// EncodeSegment encodes memos to be kept where one large record is cheaper than many small ones: of the keys only
// digests remain, and equal values are stored once. It returns how many of the memos the segment holds; their number
// and that of their values are limited.
func EncodeSegment(memos []Memo) (segment []byte, count int) {
	values, entries := [][]byte{}, []byte{}
	for _, m := range memos[:min(len(memos), MaxSegmentEntries)] {
		index := slices.IndexFunc(values, func(v []byte) bool { return slices.Equal(v, m.Value) })
		if index < 0 && len(values) == maxSegmentValues {
			break
		}
		if index < 0 {
			index = len(values)
			values = append(values, m.Value)
		}
		digest := DigestOf(m.Key)
		for i := digestBytes - 1; i >= 0; i-- {
			entries = append(entries, byte(digest>>(8*i))) //nolint:gosec // one byte of it
		}
		entries = append(entries, byte(index)) //nolint:gosec // less than maxSegmentValues
		count++
	}
	if count == 0 {
		return nil, 0
	}
	segment = []byte{segmentFormat, byte(len(values) - 1)} //nolint:gosec // at most maxSegmentValues
	for _, v := range values {
		segment = append(append(segment, byte(len(v))), v...) //nolint:gosec // at most MaxValueBytes
	}
	return append(segment, entries...), count
}

// DecodeSegment returns the values in a segment by the digests of their keys.
func DecodeSegment(segment []byte) (map[Digest][]byte, error) {
	if len(segment) < 2 || segment[0] != segmentFormat {
		return nil, ErrMemo.New("segment of %d bytes has an unknown format", len(segment))
	}
	values, rest := [][]byte{}, segment[2:]
	for range int(segment[1]) + 1 {
		if len(rest) == 0 || len(rest) <= int(rest[0]) {
			return nil, ErrMemo.New("segment of %d bytes ends within its values", len(segment))
		}
		values = append(values, rest[1:1+int(rest[0])])
		rest = rest[1+int(rest[0]):]
	}
	found := make(map[Digest][]byte, len(rest)/(digestBytes+1))
	if len(rest)%(digestBytes+1) != 0 {
		return nil, ErrMemo.New("segment of %d bytes ends within an entry", len(segment))
	}
	for entry := range slices.Chunk(rest, digestBytes+1) {
		digest := Digest(0)
		for _, b := range entry[:digestBytes] {
			digest = digest<<8 | Digest(b)
		}
		if int(entry[digestBytes]) >= len(values) {
			return nil, ErrMemo.New("segment of %d bytes names a value that it does not have", len(segment))
		}
		found[digest] = values[entry[digestBytes]]
	}
	return found, nil
}
