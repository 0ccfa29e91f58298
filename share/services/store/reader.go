package store

import (
	"context"
	"time"

	"verbenaroad.example/share/models/config"
)

// Reader reads the configuration from the key-value service.
type Reader struct {
	kv     KeyValue
	prefix string
}

// NewReader returns a reader of the keys below a prefix.
func NewReader(kv KeyValue, prefix string) *Reader {
	return &Reader{kv: kv, prefix: prefix}
}

// HeadAnswer is the head as one read or watch showed it.
type HeadAnswer struct {
	// Head is zero and Index 0 where no configuration exists.
	Head  config.Head
	Index uint64
	// AskedAt is when the question was sent; the answer is no newer than that for sure.
	AskedAt time.Time
	// Record is the head as the service holds it.
	Record []byte
}

// ReadHead reads the head consistently.
func (r *Reader) ReadHead(ctx context.Context) (HeadAnswer, error) {
	asked := time.Now()
	value, err := r.kv.Get(ctx, r.prefix+headKey)
	return decodeHead(value, asked, err)
}

// WatchHead returns the head once its index differs or the wait is over.
func (r *Reader) WatchHead(ctx context.Context, index uint64, wait time.Duration) (HeadAnswer, error) {
	asked := time.Now()
	value, err := r.kv.Watch(ctx, r.prefix+headKey, index, wait)
	return decodeHead(value, asked, err)
}

func decodeHead(value Value, asked time.Time, err error) (HeadAnswer, error) {
	answer := HeadAnswer{Index: value.Index, AskedAt: asked, Record: value.Data}
	if err != nil {
		return answer, ErrStore.Wrap(err)
	}
	if value.Index == 0 {
		return answer, nil
	}
	answer.Head, err = config.DecodeHead(value.Data)
	return answer, ErrStore.Wrap(err)
}

// ReadChunks reads values by their hashes; every one must exist.
func (r *Reader) ReadChunks(ctx context.Context, hashes []config.Hash) ([]config.Chunk, error) {
	chunks := make([]config.Chunk, 0, len(hashes))
	for _, hash := range hashes {
		value, err := r.kv.Get(ctx, r.prefix+chunkKey+string(hash))
		if err != nil {
			return nil, ErrStore.Wrap(err)
		}
		if value.Index == 0 {
			return nil, ErrStore.New("chunk %s does not exist", hash)
		}
		err = hash.Check(value.Data)
		if err != nil {
			return nil, ErrStore.Wrap(err)
		}
		chunks = append(chunks, config.Chunk{Hash: hash, Data: value.Data})
	}
	return chunks, nil
}

// Load reads the configuration at a place; chunks of old, which may be nil, are used again.
func (r *Reader) Load(ctx context.Context, old *config.Loaded, place config.Version) (*config.Loaded, error) {
	return Load(ctx, r, old, place)
}
