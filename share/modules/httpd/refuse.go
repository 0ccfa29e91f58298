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
	// maxHeadBytes bounds the header lines of one request.
	maxHeadBytes = 64 << 10
	// readChunk is the most that nbio hands over at once.
	readChunk = 64 << 10
	// dropTime is how long a refused connection is still read, so that its
	// caller gets the answer and not a reset while it sends the rest.
	dropTime = 2 * time.Second
)

// Reason says why something never became a request for the handler.
type Reason string

// The reasons.
const (
	ReasonMalformed   Reason = "malformed"
	ReasonHeadTooLong Reason = "head-too-long"
	ReasonBodyTooLong Reason = "body-too-long"
)

// CodeOf returns the numbered code of a reason.
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

// Refuse returns the status and the JSON body with which the server answers.
type Refuse func(reason Reason, detail string) (status int, body []byte)

// meter stands before nbhttp's processor and tells a head or body that is
// too long before it is held in memory.
type meter struct {
	nbhttp.Processor
	// limit bounds a body; 0: none.
	limit int
	// head counts the header bytes of the request that is being read.
	head int
	// body is the announced length, -1 where the head is not whole yet.
	body int
	// dropping is set once the connection was refused.
	dropping bool
}

// OnMethod begins a request.
func (m *meter) OnMethod(p *nbhttp.Parser, method string) {
	m.head = 0
	m.body = -1
	m.Processor.OnMethod(p, method)
}

// OnHeader counts a header line.
func (m *meter) OnHeader(p *nbhttp.Parser, key, value string) {
	m.head += len(key) + len(value)
	if m.head > maxHeadBytes {
		return // not kept; the connection is refused once this piece is parsed
	}
	m.Processor.OnHeader(p, key, value)
}

// OnContentLength notes the announced length.
func (m *meter) OnContentLength(p *nbhttp.Parser, length int) {
	m.body = length
	m.Processor.OnContentLength(p, length)
}

// OnBody notes that the head is whole, which a body in chunks does not announce.
func (m *meter) OnBody(p *nbhttp.Parser, data []byte) error {
	m.body = max(m.body, 0)
	return m.Processor.OnBody(p, data)
}

// OnComplete ends a request, unless its head was cut.
func (m *meter) OnComplete(p *nbhttp.Parser) {
	if m.head > maxHeadBytes {
		return
	}
	m.Processor.OnComplete(p)
	m.body = -1
}

// judge returns why what was read so far is refused, or an empty reason.
func (m *meter) judge(err error) Reason {
	switch {
	case m.head > maxHeadBytes:
		return ReasonHeadTooLong
	case m.limit > 0 && m.body > m.limit:
		return ReasonBodyTooLong
	case errors.Is(err, nbhttp.ErrTooLong) && m.body < 0:
		return ReasonHeadTooLong
	case errors.Is(err, nbhttp.ErrTooLong):
		return ReasonBodyTooLong
	case err != nil:
		return ReasonMalformed
	default:
		return ""
	}
}

// takeData parses what came on a connection. nbhttp alone closes a connection
// that it cannot parse without a word, which its caller cannot tell from a
// lost connection and so from a request that may have run.
func (s *Server) takeData(c *nbio.Conn, data []byte) {
	_ = s.opened.Load()
	parser, ok := c.Session().(*nbhttp.Parser)
	if !ok {
		_ = c.Close()
		return
	}
	m, ok := parser.Processor.(*meter)
	if !ok {
		m = &meter{Processor: parser.Processor, limit: s.options.MaxBodyBytes, body: -1}
		parser.Processor = m
	}
	outer, _ := parser.Conn.(*nbhttp.Conn)
	if outer != nil {
		if secure, ok := outer.Conn.(*tls.Conn); ok {
			s.takeSecure(c, secure, parser, m, data)
			return
		}
	}
	s.parse(c, parser, m, data)
}

// takeSecure decrypts what came, as nbhttp's own handler does.
func (s *Server) takeSecure(c *nbio.Conn, secure *tls.Conn, parser *nbhttp.Parser, m *meter, data []byte) {
	defer secure.ResetOrFreeBuffer()
	encrypted, plain := data, make([]byte, readChunk)
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

func (s *Server) parse(c *nbio.Conn, parser *nbhttp.Parser, m *meter, data []byte) {
	if m.dropping {
		return
	}
	err := parser.Parse(data)
	reason := m.judge(err)
	if reason == "" {
		return
	}
	if s.options.Refuse == nil || s.isRunning(c) {
		// An answer now would pass for that of the request that runs before it.
		_ = c.CloseWithError(err)
		return
	}
	m.dropping = true
	s.writeRefusal(parser, reason, err)
	_ = c.SetReadDeadline(time.Now().Add(dropTime))
}

func (s *Server) writeRefusal(parser *nbhttp.Parser, reason Reason, err error) {
	status, body := s.options.Refuse(reason, s.describe(reason, err))
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), len(body))
	_, _ = parser.Conn.Write(append([]byte(head), body...))
}

func (s *Server) describe(reason Reason, err error) string {
	switch reason {
	case ReasonHeadTooLong:
		return fmt.Sprintf("the header lines are over %d bytes", maxHeadBytes)
	case ReasonBodyTooLong:
		return fmt.Sprintf("the body is over %d bytes", s.options.MaxBodyBytes)
	default:
		return fmt.Sprintf("not HTTP: %v", err)
	}
}

// isRunning tells whether a request of the connection is with its handler.
func (s *Server) isRunning(c *nbio.Conn) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, call := range s.running {
		if call.conn == closable(c) {
			return true
		}
	}
	return false
}
