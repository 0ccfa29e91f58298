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

// Pair is a key and its value at one index.
type Pair struct {
	Key   string
	Value []byte
	// ModifyIndex grows with every change of the key; a compare-and-swap names it.
	ModifyIndex uint64
	CreateIndex uint64
	// LockIndex grows with every acquisition of the key, so it serves as a fencing number.
	LockIndex uint64
	// Session holds the key; empty when no session does.
	Session string
	// Flags is an opaque number kept with the value.
	Flags uint64
}

// Get returns the pair of the key, or ErrKeyNotExist.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	a, err := c.read(ctx, keyPath+key, url.Values{"consistent": {""}})
	if err != nil {
		return Pair{}, err
	}
	return decodePair(key, a)
}

// Watch waits until the key changes past index or the wait is over, and
// returns the pair as it then is; ErrKeyNotExist carries the index to go on from.
// An index that falls means that the service was reset: the caller starts again from 0.
func (c *Client) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (Pair, error) {
	query := url.Values{
		"index": {strconv.FormatUint(index, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10) + "ms"},
	}
	a, err := c.wait(ctx, keyPath+key, query, wait)
	if err != nil {
		return Pair{}, err
	}
	return decodePair(key, a)
}

// FindPairs returns every pair whose key begins with prefix, sorted by key.
func (c *Client) FindPairs(ctx context.Context, prefix string) ([]Pair, error) {
	a, err := c.read(ctx, keyPath+prefix, url.Values{"recurse": {""}})
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusNotFound {
		return nil, nil
	}
	return decodePairs(a)
}

// FindKeys returns every key that begins with prefix, sorted.
func (c *Client) FindKeys(ctx context.Context, prefix string) ([]string, error) {
	a, err := c.read(ctx, keyPath+prefix, url.Values{"keys": {""}})
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusNotFound {
		return nil, nil
	}
	if a.status != http.StatusOK {
		return nil, a.err()
	}
	var keys []string
	if err := json.Unmarshal(a.body, &keys); err != nil {
		return nil, ErrKV.Wrap(err)
	}
	return keys, nil
}

func decodePair(key string, a *answer) (Pair, error) {
	if a.status == http.StatusNotFound {
		return Pair{}, ErrKV.Wrap(&ErrKeyNotExist{Key: key, Index: a.index()})
	}
	pairs, err := decodePairs(a)
	if err != nil {
		return Pair{}, err
	}
	if len(pairs) != 1 || pairs[0].Key != key {
		return Pair{}, ErrKV.New("the answer for key %s holds %d pairs or another key", key, len(pairs))
	}
	return pairs[0], nil
}

func decodePairs(a *answer) ([]Pair, error) {
	if a.status != http.StatusOK {
		return nil, a.err()
	}
	var pairs []Pair
	if err := json.Unmarshal(a.body, &pairs); err != nil {
		return nil, ErrKV.Wrap(err)
	}
	return pairs, nil
}
