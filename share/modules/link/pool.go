package link

import (
	"net"

	"verbenaroad.example/share/modules/wire"
)

// maxIdleStreams bounds the streams that a session keeps between calls.
const maxIdleStreams = 256

// Stream carries one call after the other, so that a call does not pay for
// opening and closing a yamux stream.
type Stream struct {
	net.Conn
	Reader *wire.Reader
}

// TakeStream returns an idle stream, or a new one.
func (s *Session) TakeStream() (*Stream, error) {
	s.idleLock.Lock()
	last := len(s.idle) - 1
	if last >= 0 {
		stream := s.idle[last]
		s.idle = s.idle[:last]
		s.idleLow = min(s.idleLow, last)
		s.idleLock.Unlock()
		return stream, nil
	}
	s.idleLow = 0
	s.idleLock.Unlock()
	conn, err := s.Open()
	if err != nil {
		return nil, err
	}
	return &Stream{Conn: conn, Reader: wire.NewReader(conn)}, nil
}

// PutStream gives back a stream on which nothing is under way: the end record
// of the last call was read and nobody closed the stream. Any other stream is
// closed by its user, which tells the peer to cancel.
func (s *Session) PutStream(stream *Stream) {
	s.idleLock.Lock()
	defer s.idleLock.Unlock()
	if len(s.idle) >= maxIdleStreams || s.IsClosed() {
		_ = stream.Close()
		return
	}
	s.idle = append(s.idle, stream)
}

// trimIdle closes the streams that no call needed since the last time.
func (s *Session) trimIdle() {
	s.idleLock.Lock()
	unused := s.idle[:s.idleLow]
	s.idle = append([]*Stream{}, s.idle[s.idleLow:]...)
	s.idleLow = len(s.idle)
	s.idleLock.Unlock()
	for _, stream := range unused {
		_ = stream.Close()
	}
}

// CountBusy returns the number of streams with a call under way.
func (s *Session) CountBusy() int {
	s.idleLock.Lock()
	defer s.idleLock.Unlock()
	return s.mux.NumStreams() - len(s.idle) - 1
}
