package link

import (
	"net"

	"verbenaroad.example/share/modules/wire"
)

// maxIdleStreams limits the idle streams that a session keeps for later calls.
const maxIdleStreams = 256

// Stream is a yamux stream that is reused for successive calls, which saves opening and closing a
// stream for each call.
type Stream struct {
	net.Conn
	Reader *wire.Reader
}

// TakeStream returns an idle stream, or opens a new one if there is none.
func (s *Session) TakeStream() (*Stream, error) {
	s.idleLock.Lock()
	last := len(s.idle) - 1
	if last >= 0 {
		stream := s.idle[last]
		s.idle = s.idle[:last]
		s.minIdle = min(s.minIdle, last)
		s.idleLock.Unlock()
		return stream, nil
	}
	s.minIdle = 0
	s.idleLock.Unlock()
	conn, err := s.Open()
	if err != nil {
		return nil, err
	}
	return &Stream{Conn: conn, Reader: wire.NewReader(conn)}, nil
}

// PutStream returns a stream to the idle streams. No call may be in flight on it: the end record of
// the last call was read, and the stream was not closed. The caller closes any other stream
// instead, which cancels the call at the peer.
func (s *Session) PutStream(stream *Stream) {
	s.idleLock.Lock()
	defer s.idleLock.Unlock()
	if len(s.idle) >= maxIdleStreams || s.IsClosed() {
		_ = stream.Close()
		return
	}
	s.idle = append(s.idle, stream)
}

// trimIdle closes the streams that have stayed idle since the previous trim.
func (s *Session) trimIdle() {
	s.idleLock.Lock()
	unused := s.idle[:s.minIdle]
	s.idle = append([]*Stream{}, s.idle[s.minIdle:]...)
	s.minIdle = len(s.idle)
	s.idleLock.Unlock()
	for _, stream := range unused {
		_ = stream.Close()
	}
}

// CountBusy returns the number of streams with a call in flight. It leaves out the control stream.
func (s *Session) CountBusy() int {
	s.idleLock.Lock()
	defer s.idleLock.Unlock()
	return s.mux.NumStreams() - len(s.idle) - 1
}
