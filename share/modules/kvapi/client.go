// Package kvapi is the client of the platform's key-value service. The
// service is reached by the published HTTP API of Consul: keys with
// compare-and-swap, blocking queries as watches, and sessions as leases.
package kvapi

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

const (
	// MaxValueBytes is the longest value that the service holds.
	MaxValueBytes = 1 << 20

	defaultCallTimeout = 2 * time.Second
	// watchGrace is added to a watch's wait, for the answer's way back and the service's own jitter of wait/16.
	watchGrace = 2 * time.Second
	// waitJitterPart is the share of the wait that the service may add.
	waitJitterPart = 16
	// maxAnswerBytes bounds what is read of one answer; a listing may hold many values.
	maxAnswerBytes  = 64 << 20
	maxDetailBytes  = 256
	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second
)

// Options holds the settings of a Client.
type Options struct {
	// Address is where the service listens.
	Address netip.AddrPort
	// CallTimeout bounds every call but a watch; 0 stands for two seconds.
	CallTimeout time.Duration
}

// Client calls the key-value service; its methods may be used by many goroutines.
type Client struct {
	options Options
	// reads reuses connections: a read that is sent twice does no harm.
	reads *http.Client
	// writes opens a connection for each call and closes it afterwards.
	//
	// The failure that it guards against: the service reads a
	// compare-and-swap, applies it, and the connection breaks before the
	// answer. On a connection from its idle list, net/http sends a request
	// again by itself if it counts as idempotent and its body can be had
	// again. The second one then fails its index check, and the writer is
	// told "not swapped" of a change that took effect. Here each of three
	// things rules this out: a new connection for each write, a body without
	// GetBody, and no idempotency header.
	writes *http.Client
	stats  counters
}

// NewClient returns a client of the service at the options' address.
func NewClient(options Options) *Client {
	if options.CallTimeout <= 0 {
		options.CallTimeout = defaultCallTimeout
	}
	dialer := &net.Dialer{Timeout: options.CallTimeout}
	return &Client{
		options: options,
		reads: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
		}},
		writes: &http.Client{Transport: &http.Transport{
			DialContext:       dialer.DialContext,
			DisableKeepAlives: true,
		}},
	}
}

// Close drops the idle connections, so that the next read opens a new one.
func (c *Client) Close() {
	c.reads.CloseIdleConnections()
	c.writes.CloseIdleConnections()
}

// answer is a whole HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// index returns the service's index, 0 when the header is missing.
func (a *answer) index() uint64 {
	index, err := strconv.ParseUint(a.header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// err describes an unexpected status.
func (a *answer) err() error {
	detail := a.body
	if len(detail) > maxDetailBytes {
		detail = detail[:maxDetailBytes]
	}
	return ErrKV.Wrap(&ErrStatus{Status: a.status, Detail: string(detail)})
}

// makeURL joins the address, a path that begins with "/" and a query.
func (c *Client) makeURL(path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.options.Address.String(), Path: path, RawQuery: query.Encode()}
	return u.String()
}

// read sends a GET request over a connection that may be reused.
func (c *Client) read(ctx context.Context, path string, query url.Values) (*answer, error) {
	c.stats.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return c.get(ctx, path, query)
}

// wait sends a blocking query and counts it as waiting for as long as it is open.
func (c *Client) wait(ctx context.Context, path string, query url.Values, wait time.Duration) (*answer, error) {
	c.stats.watches.Add(1)
	c.stats.waiting.Add(1)
	defer c.stats.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, wait+wait/waitJitterPart+watchGrace)
	defer cancel()
	return c.get(ctx, path, query)
}

func (c *Client) get(ctx context.Context, path string, query url.Values) (*answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.makeURL(path, query), nil)
	if err != nil {
		return nil, ErrKV.Wrap(&ErrNotSent{Cause: err})
	}
	return c.do(c.reads, request)
}

// write sends a request that is never sent a second time.
func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte) (*answer, error) {
	c.stats.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	// The bare io.Reader hides bytes.Reader from net/http, which would set GetBody from it.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, method, c.makeURL(path, query), reader)
	if err != nil {
		return nil, ErrKV.Wrap(&ErrNotSent{Cause: err})
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	return c.do(c.writes, request)
}

func (c *Client) do(client *http.Client, request *http.Request) (*answer, error) {
	response, err := client.Do(request)
	if err != nil {
		c.stats.failed.Add(1)
		return nil, newCallError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		c.stats.failed.Add(1)
		return nil, ErrKV.Wrap(err)
	}
	return &answer{status: response.StatusCode, header: response.Header, body: body}, nil
}
