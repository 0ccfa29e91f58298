package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streams holds the open streams of a session, so that their reads can be ended.
//
// Reads have to end before yamux marks the session as shut down. From that mark until yamux has
// closed the streams, each blocked yamux Stream.Read loops without waiting. If the close has to
// wait, these loops take whole cores.
type streams struct {
	// onFrame is told of each frame; nil: nobody is.
	onFrame func(sent bool, body string, bytes int)

	lock sync.Mutex
	open map[*muxStream]bool
	// ended is set once a read of the connection has failed.
	ended bool
}

// muxStream is a yamux stream whose reads end with its session.
type muxStream struct {
	*yamux.Stream
	owner *streams
}

var _ net.Conn = (*muxStream)(nil)

// pastDeadline is a time in the past. As a deadline it ends reads at once.
var pastDeadline = time.Unix(1, 0) //nolint:gochecknoglobals // a constant in all but syntax

func newStreams(options Options) *streams {
	return &streams{onFrame: options.OnFrame, open: map[*muxStream]bool{}}
}

func (s *streams) add(stream *yamux.Stream) *muxStream {
	m := &muxStream{Stream: stream, owner: s}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.ended {
		_ = stream.SetReadDeadline(pastDeadline)
		return m
	}
	s.open[m] = true
	return m
}

// endReads makes all current and later reads of the streams return.
func (s *streams) endReads() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ended = true
	for m := range s.open {
		_ = m.Stream.SetReadDeadline(pastDeadline)
	}
	clear(s.open)
}

func (s *streams) isEnded() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.ended
}

// Read reads from the stream. It returns io.EOF if the peer closed the stream or the session has
// ended.
func (m *muxStream) Read(p []byte) (int, error) {
	n, err := m.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && m.owner.isEnded() {
		return n, io.EOF
	}
	return n, err //nolint:wrapcheck // readers compare it with io.EOF
}

// ObserveFrame implements wire.FrameObserver.
func (m *muxStream) ObserveFrame(sent bool, body string, bytes int) {
	if m.owner.onFrame != nil {
		m.owner.onFrame(sent, body, bytes)
	}
}

// SetReadDeadline sets the deadline of reads. It has no effect once the session has ended, so that
// reads still return at once.
func (m *muxStream) SetReadDeadline(deadline time.Time) error {
	m.owner.lock.Lock()
	defer m.owner.lock.Unlock()
	if m.owner.ended {
		return nil
	}
	return m.Stream.SetReadDeadline(deadline) //nolint:wrapcheck // it cannot fail
}

// SetDeadline sets the deadline of reads and writes.
func (m *muxStream) SetDeadline(deadline time.Time) error {
	return errors.Join(m.SetReadDeadline(deadline), m.SetWriteDeadline(deadline))
}

// Close closes the stream.
func (m *muxStream) Close() error {
	m.owner.lock.Lock()
	delete(m.owner.open, m)
	m.owner.lock.Unlock()
	return m.Stream.Close() //nolint:wrapcheck // users of a stream know its errors
}
