package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// teamBuckets is the number of buckets of teams. A change of one team rewrites one chunk and the
	// manifest. With 256 buckets and 19,000 teams, each of the two is about 20 KB in size.
	teamBuckets = 256
	// defaultBuckets is the number of buckets of every other kind. Those kinds grow with the number of
	// pipelines, not with the number of teams.
	defaultBuckets = 16
	// MaxHistory limits the number of accepted changes that a head record keeps.
	MaxHistory = 128
	// MaxValueBytes is the largest value that the key-value service accepts under one key.
	MaxValueBytes = 1 << 20
)

// Hash is the SHA-256 of a chunk's or manifest's bytes as lower-case hex.
type Hash string

// HashBytes returns the hash of data, which is the key that data is stored under.
func HashBytes(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// Check returns an error if h is not the hash of data.
func (h Hash) Check(data []byte) error {
	if got := HashBytes(data); got != h {
		return ErrConfig.New("chunk %s has the bytes of %s", h, got)
	}
	return nil
}

// Chunk is an immutable part of a configuration, addressed by its hash: the encoded documents of
// one bucket, or an encoded manifest.
type Chunk struct {
	Hash Hash   `json:"hash"`
	Data []byte `json:"data"`
}

// Manifest lists the chunks of one configuration.
type Manifest struct {
	// Buckets holds, for each kind, the hash of the chunk of each bucket that is not empty.
	Buckets map[Kind]map[uint32]Hash `json:"buckets"`
}

// Hashes returns the hashes of all chunks, ordered by kind and bucket.
func (m Manifest) Hashes() []Hash {
	var hashes []Hash
	for _, kind := range Kinds() {
		for _, bucket := range slices.Sorted(maps.Keys(m.Buckets[kind])) {
			hashes = append(hashes, m.Buckets[kind][bucket])
		}
	}
	return hashes
}

// Version identifies a configuration by its revision and the hash of its manifest.
type Version struct {
	Revision     uint64 `json:"revision"`
	ManifestHash Hash   `json:"manifest"`
}

// AcceptedChange is the record of a change that took effect. Its Version is the one that the change
// led to.
type AcceptedChange struct {
	Version
	// ChangeID is the ID that the writer chose. It is unique among all changes.
	ChangeID string `json:"change"`
	// Digest is the hash of the change's documents. A change with the same ID and other documents
	// is rejected.
	Digest   Hash      `json:"digest"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

// Head is the record that points to the configuration in force. A change takes effect by one
// compare-and-swap of this record.
type Head struct {
	Version
	// Parent is the version before the last change. It is zero at revision 1.
	Parent Version `json:"parent"`
	// History holds the last accepted changes, newest first, at most MaxHistory. The first one led to
	// the version of this record.
	History []AcceptedChange `json:"moves"`
}

// FindChange returns the accepted change with the given ID, or nil if the history does not hold it.
func (h *Head) FindChange(changeID string) *AcceptedChange {
	for i := range h.History {
		if h.History[i].ChangeID == changeID {
			return &h.History[i]
		}
	}
	return nil
}

// FindVersion returns the version of a revision, or the zero version if the record does not hold
// it.
func (h *Head) FindVersion(revision uint64) Version {
	for _, accepted := range h.History {
		if accepted.Revision == revision {
			return accepted.Version
		}
	}
	if h.Parent.Revision == revision {
		return h.Parent
	}
	return Version{}
}

// Next returns the head record after a change that leads to the given manifest.
func (h *Head) Next(manifest, digest Hash, changeID, operator string, at time.Time) Head {
	version := Version{Revision: h.Revision + 1, ManifestHash: manifest}
	accepted := AcceptedChange{Version: version, ChangeID: changeID, Digest: digest, Operator: operator, Time: at.UTC().Round(0)}
	history := append([]AcceptedChange{accepted}, h.History...)
	if len(history) > MaxHistory {
		history = history[:MaxHistory]
	}
	return Head{Version: version, Parent: h.Version, History: history}
}

// Encode returns the head as JSON. Equal heads have equal encodings.
func (h *Head) Encode() []byte {
	return encode(h)
}

// DecodeHead decodes a head record and rejects unknown fields.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	err := decode(data, &h)
	return h, err
}

// Encode returns the manifest as JSON. Equal manifests have equal encodings.
func (m Manifest) Encode() []byte {
	return encode(m)
}

// DecodeManifest decodes a manifest. It returns an error if data does not have the given hash.
func DecodeManifest(hash Hash, data []byte) (Manifest, error) {
	var m Manifest
	err := hash.Check(data)
	if err != nil {
		return m, err
	}
	err = decode(data, &m)
	return m, err
}

// encode returns v as JSON, with equal encodings for equal values: encoding/json writes struct
// fields in the order of their declaration and map keys sorted. The result is nil for NaN and
// infinities, which JSON cannot represent and which valid documents do not contain.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

func decode(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return ErrConfig.Wrap(decoder.Decode(v))
}

// Digest returns the hash of a change's documents and removals. It depends on the order of the
// removals, but not on the order of the documents.
func (p Patch) Digest() Hash {
	sorted := Patch{Set: Merge(Set{}, p.Set, nil), Remove: p.Remove}
	return HashBytes(encode(sorted))
}

// bucketOf returns the bucket of a document. It depends only on the document's kind and name.
func bucketOf(kind Kind, name string) uint32 {
	buckets := uint64(defaultBuckets)
	if kind == KindTeam {
		buckets = teamBuckets
	}
	return uint32(xxhash.Sum64String(name) % buckets) //nolint:gosec // below teamBuckets
}

// EncodeSet encodes a set as chunks and the manifest that lists them.
func EncodeSet(set Set) (Manifest, []Chunk) {
	manifest := Manifest{Buckets: map[Kind]map[uint32]Hash{}}
	var chunks []Chunk
	for _, kind := range Kinds() {
		buckets := map[uint32]*Set{}
		for _, d := range set.list(kind) {
			addToBucket(buckets, d)
		}
		chunks = append(chunks, manifest.encodeBuckets(kind, buckets)...)
	}
	return manifest, chunks
}

func addToBucket(buckets map[uint32]*Set, d document) {
	bucket := bucketOf(d.kind, d.name)
	if buckets[bucket] == nil {
		buckets[bucket] = &Set{}
	}
	buckets[bucket].add(d)
}

// encodeBuckets encodes the given buckets of a kind as chunks and enters their hashes in the
// manifest.
func (m Manifest) encodeBuckets(kind Kind, buckets map[uint32]*Set) []Chunk {
	var chunks []Chunk
	for _, bucket := range slices.Sorted(maps.Keys(buckets)) {
		buckets[bucket].Sort()
		data := encode(buckets[bucket])
		chunk := Chunk{Hash: HashBytes(data), Data: data}
		if m.Buckets[kind] == nil {
			m.Buckets[kind] = map[uint32]Hash{}
		}
		m.Buckets[kind][bucket] = chunk.Hash
		chunks = append(chunks, chunk)
	}
	return chunks
}
