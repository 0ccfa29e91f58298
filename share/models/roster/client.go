// Package roster is the client of the platform's lagging list of instances,
// which is reached in the format of Consul's catalog.
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
	maxAnswerBytes     = 64 << 20
)

// ErrRoster is the class of errors of the instance list.
var ErrRoster = errs.Class("instance list") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Options holds the settings of a Client.
type Options struct {
	// Address is where the list is served.
	Address netip.AddrPort
	// CallTimeout bounds every call; 0 stands for two seconds.
	CallTimeout time.Duration
}

// Client reads the instance list; its methods may be used by many goroutines.
type Client struct {
	options Options
	http    *http.Client
	// unreadable counts the elements left out since the client was made.
	unreadable atomic.Uint64
}

// NewClient returns a client of the list at the options' address.
func NewClient(options Options) *Client {
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	dialer := &net.Dialer{Timeout: options.CallTimeout}
	// The list is read every few seconds; a new connection each time cannot have gone silent in between.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &Client{options: options, http: &http.Client{Transport: transport}}
}

// FindInstances returns the instances of a role as the list shows them, which may be some seconds old.
//
// An element whose address cannot be read is left out and counted: one bad
// registration would otherwise hide every instance, and routing would lose
// all its backend servers at once.
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
			c.unreadable.Add(1)
			continue
		}
		instances = append(instances, instance)
	}
	return instances, nil
}

// CountUnreadable returns how many elements were left out since the client was made.
func (c *Client) CountUnreadable() uint64 {
	return c.unreadable.Load()
}

// RegisterInstance puts an instance on a stand-in's list; the platform keeps its own.
func (c *Client) RegisterInstance(ctx context.Context, instance member.Instance) error {
	body, err := json.Marshal(newRegistration(instance))
	if err != nil {
		return ErrRoster.Wrap(err)
	}
	_, err = c.call(ctx, http.MethodPut, "/v1/catalog/register", body)
	return err
}

// DeregisterInstance takes an instance off a stand-in's list.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, ErrRoster.Wrap(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, ErrRoster.New("%s %s: status %d", method, path, response.StatusCode)
	}
	return data, nil
}
