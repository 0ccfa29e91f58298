// Package reach sends requests to backend servers directly. In: one attempt.
// Out: the head of its answer and its body as it comes, or an error that says
// whether anything was sent.
package reach

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"verbenaroad.example/share/models/site"
)

// ErrReach is the class of errors of this package.
var ErrReach = errs.Class("reach") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// ErrNotSent says that no byte of the request left: it has not run and will not.
var ErrNotSent = errors.New("not sent")

const (
	// connectTimeout bounds opening a connection: a link between regions needs 25 ms, a lost
	// opening packet is sent again after a second, and a dark server never answers.
	connectTimeout = 600 * time.Millisecond
	// unackedTimeout ends a connection whose other end has gone without a word.
	unackedTimeout = 2500 * time.Millisecond
	// probeEvery and probeCount find a dead connection on which nothing is being sent.
	probeIdle  = 1500 * time.Millisecond
	probeEvery = 500 * time.Millisecond
	probeCount = 3
)

// Codec writes the headers of a request and reads those of an answer.
type Codec interface {
	WriteRequest(h http.Header, f site.UpstreamHeaders)
	ReadAnswer(status int, h http.Header) site.Answer
}

// Request is one attempt at one backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Header holds the caller's own headers; it is not changed.
	Header          http.Header
	Body            []byte
	Server          site.Server
	UpstreamHeaders site.UpstreamHeaders
}

// Reply is an answer whose body is still to be read.
type Reply struct {
	site.Answer
	Body io.ReadCloser
	// Length of the body; -1: not announced.
	Length int64
}

// Client sends requests; its methods may be used by many goroutines.
type Client struct {
	codec Codec
	// fresh opens a connection for each request and closes it afterwards.
	//
	// Guards against a doubled order. Backend servers reset idle connections
	// at will, and net/http sends a request again by itself when that
	// happens. On a new connection there is nothing to send again, and
	// neither a late answer to an earlier request nor bytes after it can be
	// taken for this one's.
	fresh *http.Transport
	// kept uses connections again. It is for calls that may be done twice and whose
	// answers say nothing but that they were done.
	kept   *http.Transport
	spares *spares
	dialer *net.Dialer
}

// NewClient returns a client.
func NewClient(codec Codec) *Client {
	kept := newTransport(newDialer().DialContext)
	kept.DisableKeepAlives = false
	kept.MaxIdleConnsPerHost = idlePerServer
	kept.IdleConnTimeout = idleTime
	s := newSpares(newDialer())
	return &Client{codec: codec, fresh: newTransport(s.dial), kept: kept, spares: s, dialer: newDialer()}
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
		},
		Control: limitUnacked,
	}
}

func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

const (
	// idlePerServer and idleTime bound the connections that are kept.
	idlePerServer = 1
	idleTime      = 4 * time.Second
)

// maxHeadBytes bounds the header of an answer.
const maxHeadBytes = 64 << 10

// limitUnacked bounds how long sent bytes may go unacknowledged. A server that
// lost power or is cut off answers nothing, and the kernel alone would go on
// sending for minutes.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Warm opens a connection ahead for the next request to a server.
func (c *Client) Warm(address netip.AddrPort) { c.spares.warm(address) }

// closeTime is within what time a connection is closed that something took in a server's place.
const closeTime = 100 * time.Millisecond

// IsUp tells whether a server takes connections and keeps them open: a relay on the way
// may take one for a server that is down.
func (c *Client) IsUp(ctx context.Context, address netip.AddrPort) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(closeTime)); err != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// Do sends a request that an adapter made, on a connection of its own.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	return c.fresh.RoundTrip(r)
}

// DoIdempotent sends a request that an adapter made and that may be done twice: once more
// on a connection of its own where a kept one was found closed.
func (c *Client) DoIdempotent(r *http.Request) (*http.Response, error) {
	response, err := c.kept.RoundTrip(r)
	if err == nil || r.Context().Err() != nil || r.GetBody == nil {
		return response, err
	}
	again := r.Clone(r.Context())
	again.Body, err = r.GetBody()
	if err != nil {
		return nil, err
	}
	return c.fresh.RoundTrip(again)
}

// Send sends one attempt. The end of the context ends the connection, at which
// most backend servers drop the request.
func (c *Client) Send(ctx context.Context, r Request) (*Reply, error) {
	sent := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := c.newRequest(ctx, r)
	if err != nil {
		return nil, ErrReach.Wrap(errors.Join(ErrNotSent, err))
	}
	response, err := c.fresh.RoundTrip(request) //nolint:bodyclose // the reply's reader closes it
	if err != nil && !sent.Load() {
		return nil, ErrReach.Wrap(errors.Join(ErrNotSent, err))
	}
	if err != nil {
		return nil, ErrReach.Wrap(err)
	}
	return &Reply{
		Answer: c.codec.ReadAnswer(response.StatusCode, response.Header),
		Body:   response.Body,
		Length: response.ContentLength,
	}, nil
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	// The bare io.Reader hides bytes.Reader from net/http, which could else send the body a second time.
	var body io.Reader
	if len(r.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(r.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Server.Address.String()+"/", body)
	if err != nil {
		return nil, err
	}
	request.URL = newTarget(r)
	request.Host = r.Host
	request.Header = r.Header.Clone()
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead {
		request.Body = http.NoBody
	}
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = nil // else net/http names itself
	}
	c.codec.WriteRequest(request.Header, r.UpstreamHeaders)
	return request, nil
}

// newTarget keeps the path and the query byte for byte as the caller wrote them.
func newTarget(r Request) *url.URL {
	u := &url.URL{Scheme: "http", Host: r.Server.Address.String()}
	path, query, found := strings.Cut(r.Target, "?")
	u.Opaque = path
	u.RawQuery = query
	u.ForceQuery = found && query == ""
	return u
}
