package kvapi

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// CompareAndSwap writes value if the key's ModifyIndex is still index; index
// 0 creates the key only if it does not exist. After an error the outcome is
// unknown, unless IsErrNotSent says that the write was certainly not applied.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if err := checkValue(key, value); err != nil {
		return false, err
	}
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.decide(ctx, http.MethodPut, keyPath+key, query, value)
}

// DeleteIf deletes the key if its ModifyIndex is still index, which is above
// 0. After an error the outcome is unknown unless IsErrNotSent holds.
func (c *Client) DeleteIf(ctx context.Context, key string, index uint64) (bool, error) {
	if index == 0 {
		return false, ErrKV.Wrap(&ErrNotSent{Cause: ErrKV.New("key %s: a delete needs an index above 0", key)})
	}
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.decide(ctx, http.MethodDelete, keyPath+key, query, nil)
}

// decide sends a write that the service answers with true or false.
func (c *Client) decide(ctx context.Context, method, path string, query url.Values, body []byte) (bool, error) {
	a, err := c.write(ctx, method, path, query, body)
	if err != nil {
		return false, err
	}
	if a.status != http.StatusOK {
		return false, a.err()
	}
	switch string(bytes.TrimSpace(a.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, a.err()
	}
}

// checkValue refuses what the service would not hold, before anything is sent.
func checkValue(key string, value []byte) error {
	if len(value) <= MaxValueBytes {
		return nil
	}
	return ErrKV.Wrap(&ErrNotSent{Cause: ErrKV.New("key %s: value of %d bytes is over the limit of %d", key, len(value), MaxValueBytes)})
}
