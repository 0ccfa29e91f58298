// Package reach sends requests directly to backend servers. Each attempt returns the status and
// headers of the answer with a body to be read as it arrives, or an error that states whether the
// request may have been sent.
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

// ErrNotSent means that no byte of the request was sent, so it has not run and will not run.
var ErrNotSent = errors.New("request not sent")

// ErrClosed means that the request was not sent because the server takes no requests now.
var ErrClosed = errors.New("the server takes no requests")

const (
	// connectTimeout limits how long opening a connection may take. A round trip between regions
	// takes 25 ms, a lost SYN is retransmitted after 1 s, and a host that is down never answers.
	connectTimeout = 600 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged until the connection is closed.
	unackedTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive probes, which
	// detect a dead connection on which no data is being sent.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Codec writes the headers of a request and reads those of an answer.
type Codec interface {
	WriteRequest(h http.Header, f site.UpstreamHeaders)
	ReadAnswer(status int, h http.Header) site.Answer
}

// Statements tracks what backend servers state about the requests that they take.
type Statements interface {
	// MaySend reports whether a request may be sent to a server now. It is asked before each send, with
	// the same arguments as ObserveSend.
	MaySend(server site.Server, request string) bool
	// ObserveSend is called before a request is sent. Request is the ID of the attempt, or empty for a
	// request that an adapter has built.
	ObserveSend(server site.Server, request string)
	ObserveAnswer(server site.Server, a site.Answer)
}

// Request is one attempt at one backend server.
type Request struct {
	Method string
	// Target is the path and query as received from the caller.
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
	// Length is the length of the body; -1: not announced.
	Length  int64
	Framing Framing
}

// Framing is how the end of an answer is marked.
type Framing string

// The framings.
const (
	FramingLength Framing = "length"
	FramingChunks Framing = "chunks"
	// FramingConnection means that the answer ends with its connection.
	FramingConnection Framing = "connection"
)

func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunks
	case r.ContentLength >= 0:
		return FramingLength
	default:
		return FramingConnection
	}
}

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	codec      Codec
	statements Statements
	// singleUse uses each connection for one request and closes it afterwards.
	//
	// Guards against a non-idempotent request running twice. Backend servers may reset idle
	// connections at any time, and net/http then retries the request on its own. It does not do so
	// on a connection that has not been used before. In addition, neither a late answer to an
	// earlier request nor trailing bytes of one can be mistaken for the answer to this request.
	singleUse *http.Transport
	// keepAlive reuses connections. It is for idempotent calls whose answers carry no information
	// other than that the call was executed.
	keepAlive *http.Transport
	spares    *spares
	dialer    *net.Dialer
}

// NewClient returns a client that encodes and decodes headers with codec. It asks statements before
// each request, and reports the request and its answer to it.
func NewClient(codec Codec, statements Statements) *Client {
	keepAlive := newTransport(newDialer().DialContext)
	keepAlive.DisableKeepAlives = false
	keepAlive.MaxIdleConnsPerHost = maxIdlePerServer
	keepAlive.IdleConnTimeout = idleTimeout
	s := newSpares(newDialer())
	return &Client{codec: codec, statements: statements, singleUse: newTransport(s.dial), keepAlive: keepAlive, spares: s, dialer: newDialer()}
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: limitUnacked,
	}
}

func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

const (
	// maxIdlePerServer and idleTimeout limit the idle connections that are kept for reuse.
	maxIdlePerServer = 1
	idleTimeout      = 4 * time.Second
)

// maxHeaderBytes limits the size of the headers of an answer.
const maxHeaderBytes = 64 << 10

// limitUnacked limits how long sent data may stay unacknowledged. A server that lost power or is
// partitioned from the network does not answer, and by default the kernel would retransmit for
// minutes.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Preconnect opens a connection in advance for the next request to a server.
func (c *Client) Preconnect(address netip.AddrPort) { c.spares.preconnect(address) }

// Do sends a request that an adapter has built for a server, on a connection of its own. The caller closes
// the body.
func (c *Client) Do(server site.Server, r *http.Request) (site.Answer, io.ReadCloser, error) {
	return c.roundTrip(c.singleUse, server, r)
}

// DoIdempotent sends an idempotent request that an adapter has built for a server, on a reused
// connection if there is one. If that fails before the context ends, it retries once on a connection
// of its own. The caller closes the body.
func (c *Client) DoIdempotent(server site.Server, r *http.Request) (site.Answer, io.ReadCloser, error) {
	answer, body, err := c.roundTrip(c.keepAlive, server, r)
	if err == nil || r.Context().Err() != nil || r.GetBody == nil || errors.Is(err, ErrClosed) {
		return answer, body, err
	}
	retry := r.Clone(r.Context())
	retry.Body, err = r.GetBody()
	if err != nil {
		return site.Answer{}, nil, err
	}
	return c.roundTrip(c.singleUse, server, retry)
}

// roundTrip sends a request that an adapter has built, and observes it and its answer.
func (c *Client) roundTrip(transport *http.Transport, server site.Server, r *http.Request) (site.Answer, io.ReadCloser, error) {
	if !c.statements.MaySend(server, "") {
		return site.Answer{}, nil, ErrReach.Wrap(errors.Join(ErrNotSent, ErrClosed))
	}
	c.statements.ObserveSend(server, "")
	response, err := transport.RoundTrip(r)
	if err != nil {
		return site.Answer{}, nil, err
	}
	answer := c.codec.ReadAnswer(response.StatusCode, response.Header)
	c.statements.ObserveAnswer(server, answer)
	return answer, response.Body, nil
}

// Send makes one attempt. When the context ends, the connection is closed, which makes most backend
// servers drop the request.
func (c *Client) Send(ctx context.Context, r Request) (*Reply, error) {
	sent := &atomic.Bool{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := c.newRequest(ctx, r)
	if err != nil {
		return nil, ErrReach.Wrap(errors.Join(ErrNotSent, err))
	}
	if !c.statements.MaySend(r.Server, r.UpstreamHeaders.AttemptID) {
		return nil, ErrReach.Wrap(errors.Join(ErrNotSent, ErrClosed))
	}
	c.statements.ObserveSend(r.Server, r.UpstreamHeaders.AttemptID)
	response, err := c.singleUse.RoundTrip(request) //nolint:bodyclose // the reply's reader closes it
	if err != nil && !sent.Load() {
		return nil, ErrReach.Wrap(errors.Join(ErrNotSent, err))
	}
	if err != nil {
		return nil, ErrReach.Wrap(err)
	}
	answer := c.codec.ReadAnswer(response.StatusCode, response.Header)
	c.statements.ObserveAnswer(r.Server, answer)
	return &Reply{Answer: answer, Body: response.Body, Length: response.ContentLength, Framing: framingOf(response)}, nil
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	// Wrapping the bytes.Reader hides its type from net/http, which could otherwise send the body a
	// second time.
	var body io.Reader
	if len(r.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(r.Body)}
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Server.Address.String()+"/", body)
	if err != nil {
		return nil, err
	}
	if request.URL, err = newURL(r); err != nil {
		return nil, err
	}
	request.Host = r.Host
	request.Header = r.Header.Clone()
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 && r.Method != http.MethodGet && r.Method != http.MethodHead {
		request.Body = http.NoBody
	}
	if request.Header.Get("User-Agent") == "" {
		request.Header["User-Agent"] = nil // otherwise net/http sends its own
	}
	c.codec.WriteRequest(request.Header, r.UpstreamHeaders)
	return request, nil
}

// errTarget means that net/http would send a request with another path.
var errTarget = errors.New("the path cannot be sent as it was received")

// newURL returns the URL of a request, with the path and query exactly as received from the caller.
func newURL(r Request) (*url.URL, error) {
	u := &url.URL{Scheme: "http", Host: r.Server.Address.String()}
	path, query, found := strings.Cut(r.Target, "?")
	u.RawQuery = query
	u.ForceQuery = found && query == ""
	if !strings.HasPrefix(path, "//") {
		u.Opaque = path
		return u, nil
	}
	// An opaque part that begins with two slashes would be sent as a host and a path.
	var err error
	u.RawPath = path
	if u.Path, err = url.PathUnescape(path); err == nil && u.EscapedPath() != path {
		err = errTarget
	}
	return u, err
}
