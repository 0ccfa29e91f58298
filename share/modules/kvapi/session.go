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
	// Name shows in the service's listings.
	Name string
	// TTL is how long the session lives without a renewal; the service may let it live longer, never shorter.
	TTL time.Duration
	// LockDelay is how long a key stays free after its holder's session expired.
	LockDelay time.Duration
}

type sessionBody struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  string
}

type sessionAnswer struct {
	ID string
}

// CreateSession opens a session and returns its id. Keys that it holds are freed when it ends.
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
	a, err := c.write(ctx, http.MethodPut, "/v1/session/create", nil, body)
	if err != nil {
		return "", err
	}
	if a.status != http.StatusOK {
		return "", a.err()
	}
	var created sessionAnswer
	if err := json.Unmarshal(a.body, &created); err != nil {
		return "", ErrKV.Wrap(err)
	}
	return created.ID, nil
}

// RenewSession starts the session's TTL anew, or returns ErrSessionNotExist.
func (c *Client) RenewSession(ctx context.Context, session string) error {
	a, err := c.write(ctx, http.MethodPut, "/v1/session/renew/"+session, nil, nil)
	if err != nil {
		return err
	}
	if a.status == http.StatusNotFound {
		return ErrKV.Wrap(&ErrSessionNotExist{Session: session})
	}
	if a.status != http.StatusOK {
		return a.err()
	}
	return nil
}

// DestroySession ends the session and frees its keys; one that is gone already is no error.
func (c *Client) DestroySession(ctx context.Context, session string) error {
	a, err := c.write(ctx, http.MethodPut, "/v1/session/destroy/"+session, nil, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return a.err()
	}
	return nil
}

// Acquire writes value and takes the key for the session; false means that
// another session holds it. After an error the outcome is unknown unless IsErrNotSent holds.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, session string) (bool, error) {
	if err := checkValue(key, value); err != nil {
		return false, err
	}
	return c.decide(ctx, http.MethodPut, keyPath+key, url.Values{"acquire": {session}}, value)
}

// Release writes value and frees the key; false means that the session does not hold it.
func (c *Client) Release(ctx context.Context, key string, value []byte, session string) (bool, error) {
	if err := checkValue(key, value); err != nil {
		return false, err
	}
	return c.decide(ctx, http.MethodPut, keyPath+key, url.Values{"release": {session}}, value)
}
