// Package kvapi is the client of the platform's key-value service. It uses the published HTTP API
// of Consul: keys with compare-and-swap, blocking queries as watches, and sessions as leases.
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
	// MaxValueBytes is the size of the largest value that the service accepts.
	MaxValueBytes = 1 << 20

	defaultCallTimeout = 2 * time.Second
	// watchGrace is the time that the timeout of a watch allows for the response to arrive, in
	// addition to the wait and to the jitter of up to wait/16 that the service adds to it.
	watchGrace = 2 * time.Second
	// waitJitterDivisor gives the jitter: the service may extend the wait by up to wait/16.
	waitJitterDivisor = 16
	// maxResponseBytes limits the bytes read of one response. A listing may contain many values.
	maxResponseBytes    = 64 << 20
	maxErrorDetailBytes = 256
	maxIdleConns        = 4
	idleConnTimeout     = 30 * time.Second
)

// Options holds the settings of a Client.
type Options struct {
	// Address is the address of the service.
	Address netip.AddrPort
	// CallTimeout limits the time of every call except watches. 0 means two seconds.
	CallTimeout time.Duration
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	options Options
	// reads reuses connections, because a read can safely be sent twice.
	reads *http.Client
	// writes opens a connection for each call and closes it afterwards, so that net/http never
	// retries a write.
	//
	// If the service applies a compare-and-swap and the connection breaks before the response,
	// net/http retries the request by itself, provided that the connection was an idle one, the
	// request counts as idempotent and its body can be read again. The retry then fails its index
	// check, and the caller gets "not swapped" for a change that took effect. Each of these three
	// prevents it: a new connection for each write, a body without GetBody, and no idempotency
	// header.
	writes *http.Client
	stats  counters
}

// NewClient returns a client of the service at options.Address.
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

// Close closes the idle connections, so that the next read opens a new one.
func (c *Client) Close() {
	c.reads.CloseIdleConnections()
	c.writes.CloseIdleConnections()
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// index returns the service's index from the header, or 0 if the header is missing or malformed.
func (r *response) index() uint64 {
	index, err := strconv.ParseUint(r.header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// err returns an ErrStatus with the status and the start of the body.
func (r *response) err() error {
	detail := r.body
	if len(detail) > maxErrorDetailBytes {
		detail = detail[:maxErrorDetailBytes]
	}
	return ErrKV.Wrap(&ErrStatus{Status: r.status, Detail: string(detail)})
}

// buildURL joins the address, a path that begins with "/" and a query.
func (c *Client) buildURL(path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.options.Address.String(), Path: path, RawQuery: query.Encode()}
	return u.String()
}

// read sends a GET request over a connection that may be reused.
func (c *Client) read(ctx context.Context, path string, query url.Values) (*response, error) {
	c.stats.reads.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return c.get(ctx, path, query)
}

// blockingQuery sends a blocking query, which is counted in Stats.Waiting while it is open.
func (c *Client) blockingQuery(ctx context.Context, path string, query url.Values, wait time.Duration) (*response, error) {
	c.stats.watches.Add(1)
	c.stats.waiting.Add(1)
	defer c.stats.waiting.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, wait+wait/waitJitterDivisor+watchGrace)
	defer cancel()
	return c.get(ctx, path, query)
}

func (c *Client) get(ctx context.Context, path string, query url.Values) (*response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.buildURL(path, query), nil)
	if err != nil {
		return nil, ErrKV.Wrap(&ErrNotSent{Cause: err})
	}
	return c.do(c.reads, request)
}

// write sends a request that is never retried.
func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte) (*response, error) {
	c.stats.writes.Add(1)
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	// The struct hides the bytes.Reader from net/http, which would set GetBody for it.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	request, err := http.NewRequestWithContext(ctx, method, c.buildURL(path, query), reader)
	if err != nil {
		return nil, ErrKV.Wrap(&ErrNotSent{Cause: err})
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = http.NoBody
	}
	return c.do(c.writes, request)
}

func (c *Client) do(client *http.Client, request *http.Request) (*response, error) {
	httpResponse, err := client.Do(request)
	if err != nil {
		c.stats.failed.Add(1)
		return nil, newRequestError(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		c.stats.failed.Add(1)
		return nil, ErrKV.Wrap(err)
	}
	return &response{status: httpResponse.StatusCode, header: httpResponse.Header, body: body}, nil
}
