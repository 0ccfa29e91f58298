package kvapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const keyPath = "/v1/kv/"

// Pair is a key with its value and metadata.
type Pair struct {
	Key   string
	Value []byte
	// ModifyIndex grows with every change of the key. A compare-and-swap passes it as its index.
	ModifyIndex uint64
	CreateIndex uint64
	// LockIndex grows with every acquisition of the key, so it can be used as a fencing token.
	LockIndex uint64
	// Session is the session that holds the key, or empty if none does.
	Session string
	// Flags is an opaque number stored with the value.
	Flags uint64
}

// Get returns the pair of the key, or an ErrKeyNotExist.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	r, err := c.read(ctx, keyPath+key, url.Values{"consistent": {""}})
	if err != nil {
		return Pair{}, err
	}
	return decodePair(key, r)
}

// Watch waits until the key changes after index or the wait has elapsed, and returns the current
// pair. If the key does not exist, the ErrKeyNotExist contains the index for the next watch. An
// index that has decreased means that the service was reset: the caller starts again from 0.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Pair, error) {
	query := url.Values{
		"index": {strconv.FormatUint(index, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	r, err := c.blockingQuery(ctx, keyPath+key, query, wait)
	if err != nil {
		return Pair{}, err
	}
	return decodePair(key, r)
}

// FindPairs returns all pairs whose key begins with prefix, sorted by key.
func (c *Client) FindPairs(ctx context.Context, prefix string) ([]Pair, error) {
	r, err := c.read(ctx, keyPath+prefix, url.Values{"recurse": {""}})
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotFound {
		return nil, nil
	}
	return decodePairs(r)
}

// FindKeys returns all keys that begin with prefix, sorted.
func (c *Client) FindKeys(ctx context.Context, prefix string) ([]string, error) {
	r, err := c.read(ctx, keyPath+prefix, url.Values{"keys": {""}})
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotFound {
		return nil, nil
	}
	if r.status != http.StatusOK {
		return nil, r.err()
	}
	var keys []string
	if err := json.Unmarshal(r.body, &keys); err != nil {
		return nil, ErrKV.Wrap(err)
	}
	return keys, nil
}

func decodePair(key string, r *response) (Pair, error) {
	if r.status == http.StatusNotFound {
		return Pair{}, ErrKV.Wrap(&ErrKeyNotExist{Key: key, Index: r.index()})
	}
	pairs, err := decodePairs(r)
	if err != nil {
		return Pair{}, err
	}
	if len(pairs) != 1 || pairs[0].Key != key {
		return Pair{}, ErrKV.New("the response for key %s has %d pairs or another key", key, len(pairs))
	}
	return pairs[0], nil
}

func decodePairs(r *response) ([]Pair, error) {
	if r.status != http.StatusOK {
		return nil, r.err()
	}
	var pairs []Pair
	if err := json.Unmarshal(r.body, &pairs); err != nil {
		return nil, ErrKV.Wrap(err)
	}
	return pairs, nil
}
