package httpd

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"verbenaroad.example/share/modules/codes"
)

const (
	// maxHeaderBytes limits the names and values of the header lines of one request, added up.
	maxHeaderBytes = 64 << 10
	// readBufferSize is the size of nbio's read buffer, the most that one call of onData delivers.
	readBufferSize = 64 << 10
	// discardTime is how long a refused connection is still read and its data discarded, so that a
	// caller that is still sending gets the answer and not a connection reset.
	discardTime = 2 * time.Second
)

// Reason is why the server refused a request before it reached the handler.
type Reason string

// The reasons.
const (
	ReasonMalformed   Reason = "malformed"
	ReasonHeadTooLong Reason = "head-too-long"
	ReasonBodyTooLong Reason = "body-too-long"
)

// CodeOf returns the result code of a reason.
func CodeOf(reason Reason) codes.Code {
	switch reason {
	case ReasonHeadTooLong:
		return codes.HeaderTooLarge
	case ReasonBodyTooLong:
		return codes.BodyTooLarge
	default:
		return codes.BadRequest
	}
}

// RefuseFunc returns the status and the JSON body of the answer to a refused request.
type RefuseFunc func(reason Reason, detail string) (status int, body []byte)

// limitProcessor wraps the processor of nbhttp and detects header lines or a body that are too long
// before they are kept in memory.
type limitProcessor struct {
	nbhttp.Processor
	// maxBody is the largest body accepted, in bytes; 0: no limit.
	maxBody int
	// headBytes counts the header bytes of the request that is being read.
	headBytes int
	// bodyLength is -1 while the header lines are read, then the Content-Length. Without a
	// Content-Length it stays -1 until the first data of the body, and is 0 from then on.
	bodyLength int
	// discarding is set once a request on the connection was refused.
	discarding bool
}

// OnMethod starts the counts of a new request.
func (m *limitProcessor) OnMethod(p *nbhttp.Parser, method string) {
	m.headBytes = 0
	m.bodyLength = -1
	m.Processor.OnMethod(p, method)
}

// OnHeader adds a header line to the count.
func (m *limitProcessor) OnHeader(p *nbhttp.Parser, key, value string) {
	m.headBytes += len(key) + len(value)
	if m.headBytes > maxHeaderBytes {
		return // discarded; the request is refused once the data at hand is parsed
	}
	m.Processor.OnHeader(p, key, value)
}

// OnContentLength records the Content-Length, which is -1 if the request has none.
func (m *limitProcessor) OnContentLength(p *nbhttp.Parser, length int) {
	m.bodyLength = length
	m.Processor.OnContentLength(p, length)
}

// OnBody records that the header lines are complete, which OnContentLength does not show for a
// chunked body.
func (m *limitProcessor) OnBody(p *nbhttp.Parser, data []byte) error {
	m.bodyLength = max(m.bodyLength, 0)
	return m.Processor.OnBody(p, data)
}

// OnComplete passes the request on, unless its header lines were too long and some were discarded.
func (m *limitProcessor) OnComplete(p *nbhttp.Parser) {
	if m.headBytes > maxHeaderBytes {
		return
	}
	m.Processor.OnComplete(p)
	m.bodyLength = -1
}

// refusalReason returns why the data read so far is refused, or an empty reason. err is the error
// of the parser.
func (m *limitProcessor) refusalReason(err error) Reason {
	switch {
	case m.headBytes > maxHeaderBytes:
		return ReasonHeadTooLong
	case m.maxBody > 0 && m.bodyLength > m.maxBody:
		return ReasonBodyTooLong
	case errors.Is(err, nbhttp.ErrTooLong) && m.bodyLength < 0:
		return ReasonHeadTooLong
	case errors.Is(err, nbhttp.ErrTooLong):
		return ReasonBodyTooLong
	case err != nil:
		return ReasonMalformed
	default:
		return ""
	}
}

// onData parses data received on a connection and answers the requests that it refuses. When nbhttp
// by itself cannot parse the data, it closes the connection and sends no answer. The caller cannot
// distinguish that from a lost connection and must assume that the request may have run.
func (s *Server) onData(c *nbio.Conn, data []byte) {
	_ = s.opened.Load() // orders this after onOpen for the race detector
	parser, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		_ = c.Close()
		return
	}
	m, ok := parser.Processor.(*limitProcessor)
	if !ok {
		m = &limitProcessor{Processor: parser.Processor, maxBody: s.options.MaxBodyBytes, bodyLength: -1}
		parser.Processor = m
	}
	outer, _ := parser.Conn.(*nbhttp.Conn)
	if outer != nil {
		if secure, ok := outer.Conn.(*tls.Conn); ok {
			s.onTLSData(c, secure, parser, m, data)
			return
		}
	}
	s.parse(c, parser, m, data)
}

// onTLSData decrypts the data, as nbhttp's own handler does, and parses it.
func (s *Server) onTLSData(c *nbio.Conn, secure *tls.Conn, parser *nbhttp.Parser, m *limitProcessor, data []byte) {
	defer secure.ResetOrFreeBuffer()
	encrypted, plain := data, make([]byte, readBufferSize)
	for {
		_, n, err := secure.AppendAndRead(encrypted, plain)
		encrypted = nil
		if err != nil {
			_ = c.CloseWithError(err)
			return
		}
		if n == 0 {
			return
		}
		s.parse(c, parser, m, plain[:n])
	}
}

func (s *Server) parse(c *nbio.Conn, parser *nbhttp.Parser, m *limitProcessor, data []byte) {
	if m.discarding {
		return
	}
	err := parser.Parse(data)
	reason := m.refusalReason(err)
	if reason == "" {
		return
	}
	if s.options.Refuse == nil || s.hasRunningRequest(c) {
		// The caller would take an answer now for the answer to the earlier request, which still runs.
		_ = c.CloseWithError(err)
		return
	}
	m.discarding = true
	s.writeRefusal(parser, reason, err)
	_ = c.SetReadDeadline(time.Now().Add(discardTime))
}

func (s *Server) writeRefusal(parser *nbhttp.Parser, reason Reason, err error) {
	status, body := s.options.Refuse(reason, s.describeRefusal(reason, err))
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body))
	_, _ = parser.Conn.Write(append([]byte(head), body...))
}

func (s *Server) describeRefusal(reason Reason, err error) string {
	switch reason {
	case ReasonHeadTooLong:
		return fmt.Sprintf("the header lines are over %d bytes", maxHeaderBytes)
	case ReasonBodyTooLong:
		return fmt.Sprintf("the body is over %d bytes", s.options.MaxBodyBytes)
	default:
		return fmt.Sprintf("not HTTP: %v", err)
	}
}

// hasRunningRequest reports whether the handler of a request on the connection has not returned.
func (s *Server) hasRunningRequest(c *nbio.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, running := range s.running {
		if running.conn == closable(c) {
			return true
		}
	}
	return false
}
