package kvapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// SessionOptions holds the settings of a session.
type SessionOptions struct {
	// Name is shown in the service's listings.
	Name string
	// TTL is the lifetime of the session without a renewal. The service may keep the session longer,
	// but never shorter.
	TTL time.Duration
	// LockDelay is the time for which a key cannot be acquired after the session that held it has
	// expired.
	LockDelay time.Duration
}

type sessionBody struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  string
}

type sessionResponse struct {
	ID string
}

// CreateSession creates a session and returns its id. The keys that a session holds are released
// when it ends.
func (c *Client) CreateSession(ctx context.Context, options SessionOptions) (string, error) {
	body, err := json.Marshal(sessionBody{
		Name:      options.Name,
		TTL:       options.TTL.String(),
		LockDelay: options.LockDelay.String(),
		Behavior:  "release",
	})
	if err != nil {
		return "", ErrKV.Wrap(&ErrNotSent{Cause: err})
	}
	r, err := c.write(ctx, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	if r.status != http.StatusOK {
		return "", r.err()
	}
	var created sessionResponse
	if err := json.Unmarshal(r.body, &created); err != nil {
		return "", ErrKV.Wrap(err)
	}
	return created.ID, nil
}

// RenewSession restarts the session's TTL. It returns an ErrSessionNotExist if the session does not
// exist.
func (c *Client) RenewSession(ctx context.Context, session string) error {
	r, err := c.write(ctx, http.MethodPut, "/v1/session/renew/"+session, nil, nil)
	if err != nil {
		return err
	}
	if r.status == http.StatusNotFound {
		return ErrKV.Wrap(&ErrSessionNotExist{Session: session})
	}
	if r.status != http.StatusOK {
		return r.err()
	}
	return nil
}

// DestroySession ends the session and releases its keys. It is no error if the session no longer
// exists.
func (c *Client) DestroySession(ctx context.Context, session string) error {
	r, err := c.write(ctx, http.MethodPut, "/v1/session/destroy/"+session, nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return r.err()
	}
	return nil
}

// Acquire writes value and acquires the key for the session. It returns false if another session
// holds the key. After an error the outcome is unknown unless IsErrNotSent returns true.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, session string) (bool, error) {
	if err := checkValueSize(key, value); err != nil {
		return false, err
	}
	return c.writeConditional(ctx, http.MethodPut, keyPath+key, url.Values{"acquire": {session}}, value)
}

// Release writes value and releases the key. It returns false if the session does not hold the key.
func (c *Client) Release(ctx context.Context, key string, value []byte, session string) (bool, error) {
	if err := checkValueSize(key, value); err != nil {
		return false, err
	}
	return c.writeConditional(ctx, http.MethodPut, keyPath+key, url.Values{"release": {session}}, value)
}
