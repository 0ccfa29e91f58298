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
	// teamBuckets keeps both the chunk and the manifest that a change of one
	// team rewrites near 20 KB at 19,000 teams.
	teamBuckets = 256
	// fewBuckets serves the kinds that grow with pipelines and not with teams.
	fewBuckets = 16
	// MaxMoves bounds the moves that a head record remembers.
	MaxMoves = 128
	// MaxValue is the most that the key-value service holds under one key.
	MaxValue = 1 << 20
)

// Hash is the SHA-256 of a chunk's or manifest's bytes as lower-case hex.
type Hash string

// HashBytes returns the hash under which data is kept.
func HashBytes(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

// Check fails when data is not what h names.
func (h Hash) Check(data []byte) error {
	if got := HashBytes(data); got != h {
		return ErrConfig.New("chunk %s has the bytes of %s", h, got)
	}
	return nil
}

// Chunk is an immutable piece of a configuration, named by its hash.
type Chunk struct {
	Hash Hash   `json:"hash"`
	Data []byte `json:"data"`
}

// Manifest names the chunks of one configuration.
type Manifest struct {
	// Buckets holds, for each kind, the hash of each bucket that is not empty.
	Buckets map[Kind]map[uint32]Hash `json:"buckets"`
}

// Hashes returns the hashes of all chunks by kind and bucket.
func (m Manifest) Hashes() []Hash {
	var hashes []Hash
	for _, kind := range Kinds() {
		for _, bucket := range slices.Sorted(maps.Keys(m.Buckets[kind])) {
			hashes = append(hashes, m.Buckets[kind][bucket])
		}
	}
	return hashes
}

// Place is a revision and the manifest in force under it.
type Place struct {
	Revision uint64 `json:"revision"`
	Manifest Hash   `json:"manifest"`
}

// Move records one accepted change.
type Move struct {
	Place
	// Change is the id that the writer gave, unique among all changes.
	Change string `json:"change"`
	// Digest is the hash of the change's documents; the id with other documents is refused.
	Digest   Hash      `json:"digest"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

// Head is the record that one compare-and-swap moves to put a change in force.
type Head struct {
	Place
	// Parent is the place before the last move; zero under revision 1.
	Parent Place `json:"parent"`
	// Moves holds the last moves, newest first, at most MaxMoves; the first is this place's own.
	Moves []Move `json:"moves"`
}

// FindMove returns the move of a change, or nil when the record does not remember it.
func (h *Head) FindMove(change string) *Move {
	for i := range h.Moves {
		if h.Moves[i].Change == change {
			return &h.Moves[i]
		}
	}
	return nil
}

// FindPlace returns the place of a revision, or a zero one when the record does not remember it.
func (h *Head) FindPlace(revision uint64) Place {
	for _, m := range h.Moves {
		if m.Revision == revision {
			return m.Place
		}
	}
	if h.Parent.Revision == revision {
		return h.Parent
	}
	return Place{}
}

// Next returns the head after a move to a manifest.
func (h *Head) Next(manifest, digest Hash, change, operator string, at time.Time) Head {
	place := Place{Revision: h.Revision + 1, Manifest: manifest}
	move := Move{Place: place, Change: change, Digest: digest, Operator: operator, Time: at.UTC().Round(0)}
	moves := append([]Move{move}, h.Moves...)
	if len(moves) > MaxMoves {
		moves = moves[:MaxMoves]
	}
	return Head{Place: place, Parent: h.Place, Moves: moves}
}

// Encode writes the head; equal heads give equal bytes.
func (h *Head) Encode() []byte {
	return encode(h)
}

// DecodeHead reads a head record.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	err := decode(data, &h)
	return h, err
}

// Encode writes the manifest; equal manifests give equal bytes.
func (m Manifest) Encode() []byte {
	return encode(m)
}

// DecodeManifest reads a manifest that has the hash.
func DecodeManifest(hash Hash, data []byte) (Manifest, error) {
	var m Manifest
	err := hash.Check(data)
	if err != nil {
		return m, err
	}
	err = decode(data, &m)
	return m, err
}

// encode relies on encoding/json writing struct fields in order and map keys
// sorted. The types of this package hold nothing that JSON cannot carry once
// Validate has passed.
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

// Digest returns the hash of a change's documents, whatever their order.
func (p Patch) Digest() Hash {
	sorted := Patch{Set: Merge(Set{}, p.Set, nil), Remove: p.Remove}
	return HashBytes(encode(sorted))
}

// bucketOf returns the bucket of a document, which only its kind and name decide.
func bucketOf(kind Kind, name string) uint32 {
	buckets := uint64(fewBuckets)
	if kind == KindTeam {
		buckets = teamBuckets
	}
	return uint32(xxhash.Sum64String(name) % buckets) //nolint:gosec // below teamBuckets
}

// EncodeSet splits a set into its chunks and the manifest that names them.
func EncodeSet(set Set) (Manifest, []Chunk) {
	manifest := Manifest{Buckets: map[Kind]map[uint32]Hash{}}
	var chunks []Chunk
	for _, kind := range Kinds() {
		parts := map[uint32]*Set{}
		for _, d := range set.list(kind) {
			addTo(parts, d)
		}
		chunks = append(chunks, manifest.put(kind, parts)...)
	}
	return manifest, chunks
}

func addTo(parts map[uint32]*Set, d document) {
	bucket := bucketOf(d.kind, d.name)
	if parts[bucket] == nil {
		parts[bucket] = &Set{}
	}
	parts[bucket].add(d)
}

// put encodes the parts of a kind and names them in the manifest.
func (m Manifest) put(kind Kind, parts map[uint32]*Set) []Chunk {
	var chunks []Chunk
	for _, bucket := range slices.Sorted(maps.Keys(parts)) {
		parts[bucket].Sort()
		data := encode(parts[bucket])
		chunk := Chunk{Hash: HashBytes(data), Data: data}
		if m.Buckets[kind] == nil {
			m.Buckets[kind] = map[uint32]Hash{}
		}
		m.Buckets[kind][bucket] = chunk.Hash
		chunks = append(chunks, chunk)
	}
	return chunks
}
