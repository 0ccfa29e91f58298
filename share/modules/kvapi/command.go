package kvapi

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// CompareAndSwap writes value if the key's ModifyIndex still equals index, and reports whether it
// did. Index 0 creates the key only if it does not exist. After an error the outcome is unknown
// unless IsErrNotSent reports that the write was certainly not applied.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	if err := checkValueSize(key, value); err != nil {
		return false, err
	}
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.writeConditional(ctx, http.MethodPut, keyPath+key, query, value)
}

// DeleteIf deletes the key if its ModifyIndex still equals index, which must be above 0, and
// reports whether it did. After an error the outcome is unknown unless IsErrNotSent returns true.
func (c *Client) DeleteIf(ctx context.Context, key string, index uint64) (bool, error) {
	if index == 0 {
		return false, ErrKV.Wrap(&ErrNotSent{Cause: ErrKV.New("key %s: a delete needs an index above 0", key)})
	}
	query := url.Values{"cas": {strconv.FormatUint(index, 10)}}
	return c.writeConditional(ctx, http.MethodDelete, keyPath+key, query, nil)
}

// writeConditional sends a write to which the service responds with true or false.
func (c *Client) writeConditional(ctx context.Context, method, path string, query url.Values, body []byte) (bool, error) {
	r, err := c.write(ctx, method, path, query, body)
	if err != nil {
		return false, err
	}
	if r.status != http.StatusOK {
		return false, r.err()
	}
	switch string(bytes.TrimSpace(r.body)) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, r.err()
	}
}

// checkValueSize returns an ErrNotSent if the value is larger than the service accepts.
func checkValueSize(key string, value []byte) error {
	if len(value) <= MaxValueBytes {
		return nil
	}
	return ErrKV.Wrap(&ErrNotSent{Cause: ErrKV.New("key %s: value of %d bytes is over the limit of %d", key, len(value), MaxValueBytes)})
}
