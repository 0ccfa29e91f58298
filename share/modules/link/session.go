package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/dials"
	"verbenaroad.example/share/modules/wire"
)

// sentTimes is the number of heartbeats whose send times are kept.
const sentTimes = 16

// Session is a connection to a peer with a control stream and the streams of calls.
type Session struct {
	options Options
	mux     *yamux.Session
	// conn is the connection under mux.
	conn    *batchConn
	streams *streams
	control net.Conn
	reader  *wire.Reader
	counter *countingConn
	peer    *wire.Hello

	// delay is the smoothed one-way delay in nanoseconds, measured with echoed heartbeats.
	delay atomic.Int64
	// peerSequence is the sequence of the last heartbeat received, and receivedAt its arrival in
	// nanoseconds since started. Heartbeats and calls echo them to the peer.
	peerSequence atomic.Uint64
	receivedAt   atomic.Int64
	started      time.Time

	sentLock sync.Mutex
	// sentAt holds the send times of the last heartbeats, sentUptime the same as uptime.Now tells it. The index is the
	// sequence modulo the length.
	sentAt       [sentTimes]time.Time
	sentUptime   [sentTimes]time.Time
	lastSequence uint64

	idleLock sync.Mutex
	// idle holds the streams without a call in flight, and minIdle its smallest length since the
	// last trim.
	idle    []*Stream
	minIdle int

	closed    chan struct{}
	closeOnce sync.Once
}

// Dial connects to a peer, exchanges hellos and returns the session.
func Dial(ctx context.Context, address netip.AddrPort, options Options) (*Session, error) {
	options = options.withDefaults()
	if options.TLS == nil && !options.Private && !address.Addr().IsLoopback() {
		return nil, ErrLink.New("%s is beyond loopback and needs TLS", address)
	}
	ctx, cancel := context.WithTimeout(ctx, options.HelloTimeout)
	defer cancel()
	conn, err := dials.Repeat(ctx, options.ConnectAttempt, func(ctx context.Context) (net.Conn, error) {
		return options.Dial(ctx, address)
	})
	if err != nil {
		return nil, ErrLink.Wrap(err)
	}
	counter := newCountingConn(conn)
	conn = counter
	if options.TLS != nil {
		settings := options.TLS.Clone()
		settings.ServerName = address.Addr().String()
		conn = tls.Client(conn, settings)
	}
	open := newStreams(options)
	batch := newBatchConn(conn, open.endReads)
	_ = batch.SetDeadline(time.Now().Add(options.HelloTimeout))
	s, err := dialMux(batch, open, options)
	if err != nil {
		_ = batch.Close()
		return nil, err
	}
	s.counter = counter
	_ = batch.SetDeadline(time.Time{})
	s.start()
	return s, nil
}

func dialMux(conn *batchConn, open *streams, options Options) (*Session, error) {
	mux, err := yamux.Client(conn, muxConfig())
	if err != nil {
		return nil, ErrLink.Wrap(err)
	}
	control, err := mux.OpenStream()
	if err != nil {
		_ = mux.Close()
		return nil, ErrLink.Wrap(err)
	}
	s := newSession(mux, conn, open, open.add(control), options)
	if err := s.writeHello(); err != nil {
		_ = mux.Close()
		return nil, err
	}
	if err := s.readHello(); err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

// Accept exchanges hellos on a connection that a peer opened, and returns the session.
func Accept(conn net.Conn, options Options) (*Session, error) {
	options = options.withDefaults()
	counter := newCountingConn(conn)
	conn = counter
	if options.TLS != nil {
		conn = tls.Server(conn, options.TLS)
	}
	open := newStreams(options)
	batch := newBatchConn(conn, open.endReads)
	_ = batch.SetDeadline(time.Now().Add(options.HelloTimeout))
	mux, err := yamux.Server(batch, muxConfig())
	if err != nil {
		return nil, ErrLink.Wrap(err)
	}
	control, err := mux.AcceptStream()
	if err != nil {
		_ = mux.Close()
		return nil, ErrLink.Wrap(err)
	}
	s := newSession(mux, batch, open, open.add(control), options)
	if err := s.answerHello(); err != nil {
		_ = mux.Close()
		return nil, err
	}
	s.counter = counter
	_ = batch.SetDeadline(time.Time{})
	s.start()
	return s, nil
}

func newSession(mux *yamux.Session, conn *batchConn, open *streams, control net.Conn, options Options) *Session {
	return &Session{
		options: options,
		mux:     mux,
		conn:    conn,
		streams: open,
		control: control,
		reader:  wire.NewReader(control),
		started: time.Now(),
		closed:  make(chan struct{}),
	}
}

func (s *Session) writeHello() error {
	return wire.WriteFrame(s.control, &wire.Frame{Body: &wire.Frame_Hello{Hello: s.options.Hello}})
}

// answerHello reads the peer's hello and sends the hello of this end. A peer of another protocol
// version gets an end frame with the code UnknownVersion instead.
func (s *Session) answerHello() error {
	err := s.readHello()
	if IsVersionError(err) {
		_ = wire.WriteFrame(s.control, &wire.Frame{Body: &wire.Frame_End{End: &wire.End{
			Code:    uint32(codes.UnknownVersion),
			Outcome: string(codes.OutcomeNotRun),
			Detail:  err.Error(),
		}}})
	}
	if err != nil {
		return err
	}
	return s.writeHello()
}

// readHello reads the peer's hello. It returns a VersionError for a peer of another protocol
// version, so that no call is ever made to it.
func (s *Session) readHello() error {
	frame, err := s.reader.Next()
	if err != nil {
		return ErrLink.Wrap(err)
	}
	if refusal := frame.GetEnd(); refusal != nil {
		return codes.NewResult(codes.Code(refusal.GetCode()), refusal.GetDetail())
	}
	hello := frame.GetHello()
	if hello == nil {
		return ErrLink.New("the first frame is not a hello")
	}
	if hello.GetVersion() != wire.Version {
		return &VersionError{Peer: hello.GetVersion()}
	}
	s.peer = hello
	return nil
}

func (s *Session) start() {
	go s.loopRead()
	go s.loopHeartbeat()
}

// Peer returns the hello of the other end.
func (s *Session) Peer() *wire.Hello {
	return s.peer
}

// Open opens a stream for one call.
func (s *Session) Open() (net.Conn, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, ErrLink.Wrap(err)
	}
	return s.streams.add(stream), nil
}

// Accept waits for the next stream that the peer opens.
func (s *Session) Accept() (net.Conn, error) {
	stream, err := s.mux.AcceptStream()
	if err != nil {
		return nil, ErrLink.Wrap(err)
	}
	return s.streams.add(stream), nil
}

// Delay returns the smoothed one-way delay to the peer.
func (s *Session) Delay() time.Duration {
	return time.Duration(s.delay.Load())
}

// Silence returns the time since data last arrived from the peer. All data counts and not only
// heartbeats, because heartbeats are queued behind a large message on a slow link.
func (s *Session) Silence() time.Duration {
	return s.counter.silence()
}

// IsClosed reports whether the session has ended.
func (s *Session) IsClosed() bool {
	return s.mux.IsClosed()
}

// Traffic returns the bytes read and written on the connection so far.
func (s *Session) Traffic() (read, written uint64) {
	return s.counter.read.Load(), s.counter.written.Load()
}

// Close ends the session and all its streams.
func (s *Session) Close() error {
	s.end(ErrLink.New("closed by this side"))
	return nil
}

// end closes the connection, which makes yamux's receiver end the session. It returns once the
// pending data has been written or dropped.
func (s *Session) end(reason error) {
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
		<-s.mux.CloseChan()
		_ = s.mux.Close() // waits until the receiver has closed the streams
		if s.options.OnDown != nil {
			s.options.OnDown(s, reason)
		}
		s.conn.waitEnded()
	})
}
