// Package target sends calls to the backend server beside the agent. In: one
// call. Out: the pieces of its answer and how it ended.
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
	pieceBytes       = 32 << 10
	dialTimeout      = 2 * time.Second
	idleConnections  = 1024
	idleTimeout      = 30 * time.Second
	contentTypeKey   = "Content-Type"
	doneEvent        = "data: [DONE]"
	doneTailBytes    = 64
	tokenEventEnding = "\n\n"
)

// Call is one HTTP call to the backend server.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is false where a second run would do harm.
	Idempotent bool
	// Stream is set where server-sent events are expected, ended by a [DONE] event.
	Stream bool
	// MaxBytes bounds the answer.
	MaxBytes int
}

// Ending says how a call ended.
type Ending struct {
	// Result is nil when the answer is whole.
	Result *codes.Result
	// Status is the HTTP status, 0 when no answer came.
	Status      int
	ContentType string
	Bytes       uint64
	Tokens      uint64
}

// Sink takes the pieces of an answer in order and keeps none of their memory; an error ends the call.
type Sink interface {
	Write(p []byte) (int, error)
}

// Server is the backend server.
type Server struct {
	address netip.AddrPort
	// shared keeps connections alive for idempotent calls.
	shared *http.Client
	// single makes a connection for each call. The transport sends a request
	// again by itself when a kept connection breaks and the request counts as
	// idempotent, which an Idempotency-Key header makes of a POST: the backend
	// server would run a non-idempotent call twice. On a connection that was
	// never used before the transport does not send again.
	single *http.Client
	// pieces holds read buffers between calls; a sink does not keep what it is given.
	pieces sync.Pool
}

func newPiece() any {
	piece := make([]byte, pieceBytes)
	return &piece
}

// NewServer returns the backend server at the address.
func NewServer(address netip.AddrPort) *Server {
	return &Server{
		address: address,
		shared:  &http.Client{Transport: newTransport(false)},
		single:  &http.Client{Transport: newTransport(true)},
		pieces:  sync.Pool{New: newPiece},
	}
}

func newTransport(single bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   single,
		DisableCompression:  true,
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}
}

// Send runs the call and hands the answer's pieces to the sink as they arrive.
func (s *Server) Send(ctx context.Context, call Call, sink Sink) Ending {
	request, err := s.newRequest(ctx, call)
	if err != nil {
		return Ending{Result: codes.NewResult(codes.BadRequest, err.Error())}
	}
	client := s.shared
	if !call.Idempotent {
		client = s.single
	}
	response, err := client.Do(request)
	if err != nil {
		return Ending{Result: describeSendError(ctx, err)}
	}
	defer func() { _ = response.Body.Close() }()
	ending := Ending{Status: response.StatusCode, ContentType: response.Header.Get(contentTypeKey)}
	s.copyAnswer(ctx, call, response.Body, sink, &ending)
	if ending.Result == nil && response.StatusCode >= http.StatusInternalServerError {
		ending.Result = codes.NewResult(codes.BackendFailed, response.Status)
	}
	return ending
}

func (s *Server) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + s.address.String() + call.Path
	// The bare reader has no GetBody, so that the transport cannot send the body twice.
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

// describeSendError says "not run" only where no byte can have reached the backend server.
func describeSendError(ctx context.Context, err error) *codes.Result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return codes.NewResult(codes.NoBackend, err.Error())
	}
	if ctx.Err() != nil {
		return describeContext(ctx)
	}
	return codes.NewResult(codes.BackendLost, err.Error())
}

func describeContext(ctx context.Context) *codes.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return codes.NewResult(codes.DeadlineExceeded, "deadline passed while the backend server ran")
	}
	return codes.NewResult(codes.Canceled, "canceled while the backend server ran")
}

func (s *Server) copyAnswer(ctx context.Context, call Call, body io.Reader, sink Sink, ending *Ending) {
	pooled, _ := s.pieces.Get().(*[]byte)
	defer s.pieces.Put(pooled)
	piece := *pooled
	tail := []byte{}
	for {
		n, err := body.Read(piece)
		if n > 0 {
			ending.Bytes += uint64(n)
			tail = keepTail(tail, piece[:n])
			ending.Tokens += countEvents(call.Stream, piece[:n])
			if call.MaxBytes > 0 && ending.Bytes > uint64(call.MaxBytes) {
				ending.Result = codes.NewResult(codes.AnswerTooLarge, "answer over the limit")
				return
			}
			if _, writeErr := sink.Write(piece[:n]); writeErr != nil {
				ending.Result = codes.NewResult(codes.Canceled, writeErr.Error())
				return
			}
		}
		if err == io.EOF {
			ending.Result = checkWhole(call, ending, tail)
			return
		}
		if err != nil {
			ending.Result = describeReadError(ctx, err)
			return
		}
	}
}

func describeReadError(ctx context.Context, err error) *codes.Result {
	if ctx.Err() != nil {
		return describeContext(ctx)
	}
	return codes.NewResult(codes.AnswerIncomplete, err.Error())
}

// checkWhole guards against a stream cut at a byte where the connection still
// closes cleanly: only the [DONE] event shows that the engine finished.
func checkWhole(call Call, ending *Ending, tail []byte) *codes.Result {
	if !call.Stream || ending.Status != http.StatusOK {
		return nil
	}
	if !bytes.HasSuffix(bytes.TrimSpace(tail), []byte(doneEvent)) {
		return codes.NewResult(codes.AnswerIncomplete, "the stream ended without its [DONE] event")
	}
	return nil
}

func keepTail(tail, piece []byte) []byte {
	tail = append(tail, piece...)
	if len(tail) > doneTailBytes {
		tail = append(tail[:0], tail[len(tail)-doneTailBytes:]...)
	}
	return tail
}

func countEvents(stream bool, piece []byte) uint64 {
	if !stream {
		return 0
	}
	return uint64(bytes.Count(piece, []byte(tokenEventEnding)))
}
