// Package store keeps the configuration in the key-value service: it carries
// out the decisions of package head, and reads heads, manifests and chunks.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/models/config"
)

// ErrStore is the class of errors of this package.
var ErrStore = errs.Class("store") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// DefaultPrefix is where the configuration's keys stand.
const DefaultPrefix = "verbenaroad/config/"

const (
	headKey  = "head"
	chunkKey = "chunk/"
)

// Value is what the key-value service holds under a key.
type Value struct {
	Data []byte
	// Index changes with every write of the key; 0 means that there is no value.
	Index uint64
}

// KeyValue is the part of the key-value service that the configuration needs.
type KeyValue interface {
	// Get reads consistently; a missing key is a Value with index 0 and no error.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes where the key still has the index; 0 stands for a
	// missing key. After an error the outcome is unknown.
	CompareAndSwap(ctx context.Context, key string, data []byte, index uint64) (bool, error)
	// Watch returns once the key has another index, or when wait is over.
	Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Value, error)
}

// ChunkSource gives chunks and manifests by hash: the key-value service or a peer.
type ChunkSource interface {
	ReadChunks(ctx context.Context, hashes []config.Hash) ([]config.Chunk, error)
}

// Load reads the configuration at a place from a source; chunks of old, which may be nil, are used again.
func Load(ctx context.Context, source ChunkSource, old *config.Loaded, place config.Version) (*config.Loaded, error) {
	chunks, err := source.ReadChunks(ctx, []config.Hash{place.ManifestHash})
	if err != nil {
		return nil, ErrStore.Wrap(err)
	}
	if len(chunks) != 1 {
		return nil, ErrStore.New("manifest %s is missing", place.ManifestHash)
	}
	manifest, err := config.DecodeManifest(place.ManifestHash, chunks[0].Data)
	if err != nil {
		return nil, ErrStore.Wrap(err)
	}
	fetched, err := source.ReadChunks(ctx, old.Missing(manifest))
	if err != nil {
		return nil, ErrStore.Wrap(err)
	}
	loaded, err := config.Load(old, place, manifest, fetched)
	return loaded, ErrStore.Wrap(err)
}
