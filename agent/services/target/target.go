// Package target sends calls to the agent's backend server, passes each answer on as it arrives and
// reports how the call ended.
package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/modules/codes"
)

// ErrTarget is the class of errors of this package.
var ErrTarget = errs.Class("target") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	bufferBytes        = 32 << 10
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 1024
	idleTimeout        = 30 * time.Second
	contentTypeHeader  = "Content-Type"
	// doneEvent is the last event of a complete stream.
	doneEvent = "data: [DONE]"
	// tailBytes is how much of the end of an answer is kept to look for doneEvent.
	tailBytes = 64
	// eventEnd ends a server-sent event; each event counts as a token.
	eventEnd = "\n\n"
)

// Call is one HTTP call to the backend server.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is false for a call that must not run twice.
	Idempotent bool
	// Stream is set if the answer is a stream of server-sent events that ends with a [DONE] event.
	Stream bool
	// MaxBytes limits the size of the answer; 0 means no limit.
	MaxBytes int
}

// CallResult describes how a call ended.
type CallResult struct {
	// Failure is nil if the answer is complete and its status is below 500.
	Failure *codes.Result
	// Status is the HTTP status; 0 if there was no answer.
	Status      int
	ContentType string
	// Bytes is the size of the answer's body as far as it was received.
	Bytes uint64
	// Tokens is the number of events of a stream, including the [DONE] event.
	Tokens uint64
	// RetryAfter is how long the backend server asks for no further calls; 0 if it does not.
	RetryAfter time.Duration
}

// Sink receives an answer in parts, in order. It must not retain a part, because its memory is
// reused. An error ends the call.
type Sink interface {
	Write(p []byte) (int, error)
}

// Server sends calls to one backend server.
type Server struct {
	address netip.AddrPort
	// reusing sends idempotent calls and keeps its connections alive.
	reusing *http.Client
	// singleUse sends non-idempotent calls and opens a connection for each of them. The transport
	// retries a request by itself when a reused connection breaks and the request counts as
	// idempotent, and it counts a POST with an Idempotency-Key header as such: the backend server
	// would run the call twice. The transport does not retry after a failure on a new connection.
	singleUse *http.Client
	// buffers holds read buffers between calls; a sink does not retain them.
	buffers sync.Pool
}

func newBuffer() any {
	buffer := make([]byte, bufferBytes)
	return &buffer
}

// NewServer returns a Server for the backend server at the address.
func NewServer(address netip.AddrPort) *Server {
	return &Server{
		address:   address,
		reusing:   &http.Client{Transport: newTransport(false)},
		singleUse: &http.Client{Transport: newTransport(true)},
		buffers:   sync.Pool{New: newBuffer},
	}
}

func newTransport(singleUse bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// Send sends the call and passes the parts of the answer to the sink as they arrive.
func (s *Server) Send(ctx context.Context, call Call, sink Sink) CallResult {
	request, err := s.newRequest(ctx, call)
	if err != nil {
		return CallResult{Failure: codes.NewResult(codes.BadRequest, err.Error())}
	}
	client := s.reusing
	if !call.Idempotent {
		client = s.singleUse
	}
	response, err := client.Do(request)
	if err != nil {
		return CallResult{Failure: sendFailure(ctx, err)}
	}
	defer func() { _ = response.Body.Close() }()
	result := CallResult{Status: response.StatusCode, ContentType: response.Header.Get(contentTypeHeader)}
	result.RetryAfter = readRetryAfter(response, time.Now())
	s.copyAnswer(ctx, call, response.Body, sink, &result)
	if result.Failure == nil && response.StatusCode >= http.StatusInternalServerError {
		result.Failure = codes.NewResult(codes.BackendFailed, response.Status)
	}
	return result
}

func (s *Server) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + s.address.String() + call.Path
	// http.NewRequest sets GetBody for a *bytes.Reader. Wrapping the reader hides its type, so the
	// request has no GetBody and the transport cannot send the body twice.
	body := struct{ io.Reader }{bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, body)
	if err != nil {
		return nil, ErrTarget.Wrap(err)
	}
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		request.Body = http.NoBody
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	return request, nil
}

// sendFailure returns the result for an error of Do. It is "not run" only if the connection could
// not be opened, so that no byte can have reached the backend server.
func sendFailure(ctx context.Context, err error) *codes.Result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return codes.NewResult(codes.NoBackend, err.Error())
	}
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	return codes.NewResult(codes.BackendLost, err.Error())
}

func contextFailure(ctx context.Context) *codes.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return codes.NewResult(codes.DeadlineExceeded, "deadline passed while the backend server ran")
	}
	return codes.NewResult(codes.Canceled, "canceled while the backend server ran")
}

func (s *Server) copyAnswer(ctx context.Context, call Call, body io.Reader, sink Sink, result *CallResult) {
	pooled, _ := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(pooled)
	buffer := *pooled
	tail := []byte{}
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			result.Bytes += uint64(n)
			tail = appendTail(tail, buffer[:n])
			result.Tokens += countEvents(call.Stream, buffer[:n])
			if call.MaxBytes > 0 && result.Bytes > uint64(call.MaxBytes) {
				result.Failure = codes.NewResult(codes.AnswerTooLarge, "answer over the limit")
				return
			}
			if _, writeErr := sink.Write(buffer[:n]); writeErr != nil {
				result.Failure = codes.NewResult(codes.Canceled, writeErr.Error())
				return
			}
		}
		if err == io.EOF {
			result.Failure = checkComplete(call, result, tail)
			return
		}
		if err != nil {
			result.Failure = readFailure(ctx, err)
			return
		}
	}
}

func readFailure(ctx context.Context, err error) *codes.Result {
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	return codes.NewResult(codes.AnswerIncomplete, err.Error())
}

// checkComplete detects a stream that was cut although its connection closed cleanly: only the
// [DONE] event shows that the engine finished.
func checkComplete(call Call, result *CallResult, tail []byte) *codes.Result {
	if !call.Stream || result.Status != http.StatusOK {
		return nil
	}
	if !bytes.HasSuffix(bytes.TrimSpace(tail), []byte(doneEvent)) {
		return codes.NewResult(codes.AnswerIncomplete, "the stream ended without its [DONE] event")
	}
	return nil
}

// appendTail appends to the tail and shortens it to its last tailBytes bytes.
func appendTail(tail, part []byte) []byte {
	tail = append(tail, part...)
	if len(tail) > tailBytes {
		tail = append(tail[:0], tail[len(tail)-tailBytes:]...)
	}
	return tail
}

func countEvents(stream bool, part []byte) uint64 {
	if !stream {
		return 0
	}
	return uint64(bytes.Count(part, []byte(eventEnd)))
}
