package link_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/yamux"
)

// callBytes is the size of a call and of its answer in the comparison of ways to carry calls.
const callBytes = 300

func newLoopback(b *testing.B) net.Listener {
	b.Helper()
	settings := net.ListenConfig{}
	listener, err := settings.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	return listener
}

func dialLoopback(b *testing.B, listener net.Listener) net.Conn {
	b.Helper()
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

// measureCalls runs a call in parallel and reports the processor time of one.
func measureCalls(b *testing.B, call func() error) {
	b.Helper()
	start := processorTime()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := call(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// bareServer echoes one call on each stream of a yamux session that has none of this package around it.
type bareServer struct{ listener net.Listener }

func (s bareServer) loop() {
	conn, err := s.listener.Accept()
	if err != nil {
		return
	}
	session, err := yamux.Server(conn, newQuietConfig())
	if err != nil {
		return
	}
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go s.run(stream)
	}
}

func (bareServer) run(stream net.Conn) {
	body := make([]byte, callBytes)
	if _, err := io.ReadFull(stream, body); err == nil {
		_, _ = stream.Write(body)
	}
	_ = stream.Close()
}

func newQuietConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	return config
}

// BenchmarkBareMultiplexer measures a call on a new stream of yamux alone.
func BenchmarkBareMultiplexer(b *testing.B) {
	s := bareServer{listener: newLoopback(b)}
	go s.loop()
	session, err := yamux.Client(dialLoopback(b, s.listener), newQuietConfig())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = session.Close() }()
	body := make([]byte, callBytes)
	measureCalls(b, func() error {
		stream, err := session.Open()
		if err != nil {
			return err
		}
		if _, err := stream.Write(body); err != nil {
			return err
		}
		_, err = io.ReadFull(stream, make([]byte, callBytes))
		return errors.Join(err, stream.Close())
	})
}

// httpServer echoes the bodies of requests.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (s httpServer) run() { _ = s.server.Serve(s.listener) }

// BenchmarkHTTP2 measures a call as one request of HTTP/2, all on one connection.
func BenchmarkHTTP2(b *testing.B) {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	s := httpServer{server: &http.Server{Handler: echo, Protocols: protocols}, listener: newLoopback(b)}
	go s.run()
	defer func() { _ = s.server.Close() }()
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	url := "http://" + s.listener.Addr().String() + "/"
	body := make([]byte, callBytes)
	measureCalls(b, func() error {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return errors.Join(err, response.Body.Close())
	})
}

const frameHeaderBytes = 12

// framer writes frames of a call's number and its body to one connection, several frames at a time if they
// are written at once.
type framer struct {
	conn    net.Conn
	writers atomic.Int64
	lock    sync.Mutex
	buffer  *bufio.Writer
}

func newFramer(conn net.Conn) *framer { return &framer{conn: conn, buffer: bufio.NewWriter(conn)} }

func (f *framer) write(number uint64, body []byte) error {
	f.writers.Add(1)
	f.lock.Lock()
	defer f.lock.Unlock()
	header := make([]byte, frameHeaderBytes)
	binary.BigEndian.PutUint64(header, number)
	binary.BigEndian.PutUint32(header[8:], uint32(len(body))) //nolint:gosec // bodies are small
	_, headerErr := f.buffer.Write(header)
	_, bodyErr := f.buffer.Write(body)
	if f.writers.Add(-1) > 0 {
		return errors.Join(headerErr, bodyErr) // the last of the writers that wait flushes
	}
	return errors.Join(headerErr, bodyErr, f.buffer.Flush())
}

// loopRead passes each frame that arrives to handle, until the connection ends.
func (f *framer) loopRead(handle func(number uint64, body []byte)) {
	reader := bufio.NewReader(f.conn)
	header := make([]byte, frameHeaderBytes)
	for {
		if _, err := io.ReadFull(reader, header); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(header[8:]))
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		handle(binary.BigEndian.Uint64(header), body)
	}
}

// echoFrames sends each frame back from a goroutine of its own, as a call would be served.
type echoFrames struct{ listener net.Listener }

func (e echoFrames) run() {
	conn, err := e.listener.Accept()
	if err != nil {
		return
	}
	f := newFramer(conn)
	f.loopRead(func(number uint64, body []byte) { go frameEcho{f, number, body}.run() })
}

// frameEcho serves one call.
type frameEcho struct {
	framer *framer
	number uint64
	body   []byte
}

func (e frameEcho) run() { _ = e.framer.write(e.number, e.body) }

// BenchmarkOwnFrames measures a call as one frame each way, without streams, windows or timeouts: the least
// that frames of our own could cost.
func BenchmarkOwnFrames(b *testing.B) {
	e := echoFrames{listener: newLoopback(b)}
	go e.run()
	f := newFramer(dialLoopback(b, e.listener))
	defer func() { _ = f.conn.Close() }()
	waiting := sync.Map{}
	go f.loopRead(func(number uint64, body []byte) {
		if answer, found := waiting.LoadAndDelete(number); found {
			answer.(chan []byte) <- body //nolint:forcetypeassert // only channels are stored
		}
	})
	last := atomic.Uint64{}
	body := make([]byte, callBytes)
	measureCalls(b, func() error {
		number, answer := last.Add(1), make(chan []byte, 1)
		waiting.Store(number, answer)
		if err := f.write(number, body); err != nil {
			return err
		}
		<-answer
		return nil
	})
}
