// Package roster implements a client of the platform's instance list. The list has the format of
// Consul's catalog API and lags behind the actual instances by some seconds.
package roster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/models/member"
)

const (
	defaultCallTimeout = 2 * time.Second
	maxResponseBytes   = 64 << 20
)

// ErrRoster is the class of errors of the instance list.
var ErrRoster = errs.Class("instance list") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Options are the settings of a Client.
type Options struct {
	// Address is the address of the list's HTTP server.
	Address netip.AddrPort
	// CallTimeout limits the duration of every call; 0: two seconds.
	CallTimeout time.Duration
}

// Client reads the instance list. Its methods are safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	// invalid counts the elements that were skipped since the client was created.
	invalid atomic.Uint64
}

// NewClient returns a client of the list at options.Address.
func NewClient(options Options) *Client {
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	dialer := &net.Dialer{Timeout: options.CallTimeout}
	// Every call opens a new connection: calls are seconds apart, and a connection kept open could
	// be lost unnoticed in between.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{options: options, http: &http.Client{Transport: transport}}
}

// FindInstances returns the instances of a role as the list shows them, which may be some seconds
// old.
//
// It skips and counts elements with an invalid address. Otherwise a single bad registration would
// hide every instance, and routing would lose all its backend servers at once.
func (c *Client) FindInstances(ctx context.Context, role member.Role) ([]member.Instance, error) {
	body, err := c.call(ctx, http.MethodGet, "/v1/catalog/service/"+string(role), nil)
	if err != nil {
		return nil, err
	}
	var nodes []catalogNode
	if err := json.Unmarshal(body, &nodes); err != nil {
		return nil, ErrRoster.Wrap(err)
	}
	instances := make([]member.Instance, 0, len(nodes))
	for _, n := range nodes {
		instance, err := n.toInstance()
		if err != nil {
			c.invalid.Add(1)
			continue
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// CountInvalid returns the number of elements that were skipped since the client was created.
func (c *Client) CountInvalid() uint64 {
	return c.invalid.Load()
}

// RegisterInstance adds an instance to the list of a fake platform, or replaces it there. The real
// platform maintains its list itself.
func (c *Client) RegisterInstance(ctx context.Context, instance member.Instance) error {
	body, err := json.Marshal(newRegistration(instance))
	if err != nil {
		return ErrRoster.Wrap(err)
	}
	_, err = c.call(ctx, http.MethodPut, "/v1/catalog/register", body)
	return err
}

// DeregisterInstance removes an instance from the list of a fake platform.
func (c *Client) DeregisterInstance(ctx context.Context, name string) error {
	body, err := json.Marshal(deregistration{Node: name, ServiceID: name})
	if err != nil {
		return ErrRoster.Wrap(err)
	}
	_, err = c.call(ctx, http.MethodPut, "/v1/catalog/deregister", body)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	url := "http://" + c.options.Address.String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, ErrRoster.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, ErrRoster.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, ErrRoster.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, ErrRoster.New("%s %s: unexpected status %d", method, path, response.StatusCode)
	}
	return data, nil
}
