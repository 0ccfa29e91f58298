package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streams are the open streams of a session.
//
// They end reads before yamux marks the session as shut down: from then on until it has closed
// its streams each blocked Stream.Read loops without waiting, and takes whole cores where closing has to wait.
type streams struct {
	lock sync.Mutex
	open map[*muxStream]bool
	// ended is set once the connection brings nothing more.
	ended bool
}

// muxStream is one stream.
type muxStream struct {
	*yamux.Stream
	owner *streams
}

var _ net.Conn = (*muxStream)(nil)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0) //nolint:gochecknoglobals // a constant in all but syntax

func newStreams() *streams { return &streams{open: map[*muxStream]bool{}} }

func (s *streams) add(stream *yamux.Stream) *muxStream {
	m := &muxStream{Stream: stream, owner: s}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.ended {
		_ = stream.SetReadDeadline(longAgo)
		return m
	}
	s.open[m] = true
	return m
}

// endReads has all reads return.
func (s *streams) endReads() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ended = true
	for m := range s.open {
		_ = m.Stream.SetReadDeadline(longAgo)
	}
	clear(s.open)
}

func (s *streams) isEnded() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.ended
}

// Read reads what has arrived; io.EOF means that the peer closed the stream, or that the session has ended.
func (m *muxStream) Read(p []byte) (int, error) {
	n, err := m.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && m.owner.isEnded() {
		return n, io.EOF
	}
	return n, err //nolint:wrapcheck // readers compare it with io.EOF
}

// SetReadDeadline bounds reads; those of a session that has ended return as they did.
func (m *muxStream) SetReadDeadline(deadline time.Time) error {
	m.owner.lock.Lock()
	defer m.owner.lock.Unlock()
	if m.owner.ended {
		return nil
	}
	return m.Stream.SetReadDeadline(deadline) //nolint:wrapcheck // it cannot fail
}

// SetDeadline bounds reads and writes.
func (m *muxStream) SetDeadline(deadline time.Time) error {
	return errors.Join(m.SetReadDeadline(deadline), m.SetWriteDeadline(deadline))
}

// Close ends the stream.
func (m *muxStream) Close() error {
	m.owner.lock.Lock()
	delete(m.owner.open, m)
	m.owner.lock.Unlock()
	return m.Stream.Close() //nolint:wrapcheck // users of a stream know its errors
}
