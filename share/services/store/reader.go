package store

import (
	"context"
	"time"

	"verbenaroad.example/share/models/config"
)

// Reader reads configurations from the key-value service.
type Reader struct {
	kv     KeyValue
	prefix string
}

// NewReader returns a Reader of the keys that begin with prefix.
func NewReader(kv KeyValue, prefix string) *Reader {
	return &Reader{kv: kv, prefix: prefix}
}

// HeadAnswer is the head as one read or watch request returned it.
type HeadAnswer struct {
	// Head is zero and Index is 0 if no configuration exists.
	Head  config.Head
	Index uint64
	// RequestedAt is when the request was sent. The answer is only certain to have been current then.
	RequestedAt time.Time
	// Record is the encoded head as the key-value service stores it.
	Record []byte
}

// ReadHead returns the head by a consistent read.
func (r *Reader) ReadHead(ctx context.Context) (HeadAnswer, error) {
	requestedAt := time.Now()
	value, err := r.kv.Get(ctx, r.prefix+headKey)
	return decodeHead(value, requestedAt, err)
}

// WatchHead returns the head once its index differs from index, or after the wait.
func (r *Reader) WatchHead(ctx context.Context, index uint64, wait time.Duration) (HeadAnswer, error) {
	requestedAt := time.Now()
	value, err := r.kv.Watch(ctx, r.prefix+headKey, index, wait)
	return decodeHead(value, requestedAt, err)
}

func decodeHead(value Value, requestedAt time.Time, err error) (HeadAnswer, error) {
	answer := HeadAnswer{Index: value.Index, RequestedAt: requestedAt, Record: value.Data}
	if err != nil {
		return answer, ErrStore.Wrap(err)
	}
	if value.Index == 0 {
		return answer, nil
	}
	answer.Head, err = config.DecodeHead(value.Data)
	return answer, ErrStore.Wrap(err)
}

// ReadChunks returns the chunks with the given hashes. It fails if one does not exist or does not
// match its hash.
func (r *Reader) ReadChunks(ctx context.Context, hashes []config.Hash) ([]config.Chunk, error) {
	chunks := make([]config.Chunk, 0, len(hashes))
	for _, hash := range hashes {
		value, err := r.kv.Get(ctx, r.prefix+chunkKeyPrefix+string(hash))
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

// Load reads the configuration of a version. It reads only the chunks that old does not hold; old
// may be nil.
func (r *Reader) Load(ctx context.Context, old *config.Loaded, version config.Version) (*config.Loaded, error) {
	return Load(ctx, r, old, version)
}
