// Package store stores configurations in the key-value service. It carries out the decisions of
// package head, and reads heads, manifests and chunks.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/models/config"
)

// ErrStore is the class of errors of this package.
var ErrStore = errs.Class("store") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// DefaultPrefix is the prefix of the configuration's keys.
const DefaultPrefix = "verbenaroad/config/"

const (
	headKey = "head"
	// chunkKeyPrefix is followed by the chunk's hash. Manifests are stored under it too.
	chunkKeyPrefix = "chunk/"
)

// Value is the value of a key in the key-value service.
type Value struct {
	Data []byte
	// Index changes with every write of the key; 0 means that the key does not exist.
	Index uint64
}

// KeyValue is the part of the key-value service that the configuration needs.
type KeyValue interface {
	// Get returns the value of a key by a consistent read. For a missing key it returns a Value with
	// index 0 and no error.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key still has the index, and reports whether it did. Index 0
	// means that the key must not exist. After an error the outcome is unknown.
	CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
	// Watch returns the value of a key once its index differs from index, or after the wait.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error)
}

// ChunkSource returns chunks and manifests by hash, from the key-value service or from a peer.
type ChunkSource interface {
	ReadChunks(ctx context.Context, hashes []config.Hash) ([]config.Chunk, error)
}

// Load reads the configuration of a version from a source. It reads only the chunks that old does
// not hold; old may be nil.
func Load(ctx context.Context, source ChunkSource, old *config.Loaded, version config.Version) (*config.Loaded, error) {
	chunks, err := source.ReadChunks(ctx, []config.Hash{version.ManifestHash})
	if err != nil {
		return nil, ErrStore.Wrap(err)
	}
	if len(chunks) != 1 {
		return nil, ErrStore.New("manifest %s is missing", version.ManifestHash)
	}
	manifest, err := config.DecodeManifest(version.ManifestHash, chunks[0].Data)
	if err != nil {
		return nil, ErrStore.Wrap(err)
	}
	fetched, err := source.ReadChunks(ctx, old.Missing(manifest))
	if err != nil {
		return nil, ErrStore.Wrap(err)
	}
	loaded, err := config.Load(old, version, manifest, fetched)
	return loaded, ErrStore.Wrap(err)
}
