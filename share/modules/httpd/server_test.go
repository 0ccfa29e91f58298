package httpd_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/httpd"
)

// A workshop closes its browser while a long answer streams. Its request must
// free its slot in every stage at once; nbhttp alone leaves the request's
// context open, so the work would run on until the deadline.
func TestHangUpEndsTheRequestContext(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	s, err := httpd.NewServer(httpd.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "data: first\n\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			close(ended)
		}),
	})
	is.NoErr(err)
	defer func() { _ = s.Shutdown(context.Background()) }()
	conn, err := net.Dial("tcp", s.Address().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 64))
	is.NoErr(err)
	is.NoErr(conn.Close())
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the request's context is still open")
	}
}

// A maker's order is refused with a status that nbhttp has no text for. nbhttp
// drops such a status and sends 200, so the maker took the refusal for the
// answer. The status sent is the general one of the same class.
func TestStatusWithoutTextKeepsItsClass(t *testing.T) {
	tests := map[int]int{200: 200, 299: 200, 404: 404, 419: 400, 499: 400, 503: 503, 599: 500, 999: 502}
	for status, want := range tests {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			s, err := httpd.NewServer(httpd.Options{
				Address: netip.MustParseAddrPort("127.0.0.1:0"),
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.WriteHeader(status)
					_, _ = io.WriteString(w, "body")
				}),
			})
			is.NoErr(err)
			defer func() { _ = s.Shutdown(context.Background()) }()
			response, err := http.Get("http://" + s.Address().String())
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			is.Equal(response.StatusCode, want)
		})
	}
}

// A caller sends "Connection: close" and sees EOF in place of the answer: the
// server had closed an earlier caller's connection by itself, and the poller
// took that one's hang-up for the new one's. The server says that the
// connection ends, and leaves the close to the caller for a while.
func TestLastAnswerLeavesTheCloseToTheCaller(t *testing.T) {
	is := is.New(t)
	s, err := httpd.NewServer(httpd.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
		}),
	})
	is.NoErr(err)
	defer func() { _ = s.Shutdown(context.Background()) }()
	conn, err := net.Dial("tcp", s.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.True(response.Close)
	body := make([]byte, len("answer"))
	_, err = io.ReadFull(response.Body, body)
	is.NoErr(err)
	answered := time.Now()
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF) // it is closed after all, for callers that wait for that
	is.True(time.Since(answered) > 500*time.Millisecond)
}

// A server is stopped while a connection was accepted and its request is still
// on the way. The request is answered, and not cut.
func TestShutdownAnswersARequestOnItsWay(t *testing.T) {
	is := is.New(t)
	opened := make(chan struct{}, 1)
	s, err := httpd.NewServer(httpd.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
			opened <- struct{}{}
		}),
	})
	is.NoErr(err)
	first, err := http.Get("http://" + s.Address().String())
	is.NoErr(err)
	is.NoErr(first.Body.Close())
	<-opened
	conn, err := net.Dial("tcp", s.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for s.CountFresh() == 0 {
		time.Sleep(time.Millisecond)
	}
	stopping := &stopping{server: s, done: make(chan error, 1)}
	go stopping.run()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
	is.NoErr(conn.Close())
	is.NoErr(<-stopping.done)
}

// stopping is a shutdown on its way.
type stopping struct {
	server *httpd.Server
	done   chan error
}

func (s *stopping) run() { s.done <- s.server.Shutdown(context.Background()) }
