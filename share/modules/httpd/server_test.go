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

// Guards against work that occupies a slot in every stage until the deadline after its caller has
// disconnected: nbhttp by itself does not cancel the request's context.
func TestDisconnectCancelsRequestContext(t *testing.T) {
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
		t.Fatal("the request's context was not canceled after the caller disconnected")
	}
}

// Guards against a refusal that the caller takes for an answer: nbhttp sends 200 instead of a
// status without a standard text. The x00 status of the same class must be sent.
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

// Guards against EOF instead of an answer: the server had closed an earlier connection from a
// worker, and the poller applied that connection's close event to the new one. The server must
// announce the close after the last answer and leave it to the caller for a while.
func TestCloseIsLeftToTheCaller(t *testing.T) {
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
	is.Equal(err, io.EOF) // the server closes it in the end, for callers that wait for that
	is.True(time.Since(answered) > 500*time.Millisecond)
}

// Guards against cutting off a request when the server is stopped after it accepted a connection
// and before the first request arrives on it.
func TestShutdownAnswersFirstRequestOfNewConnection(t *testing.T) {
	is := is.New(t)
	answered := make(chan struct{}, 1)
	s, err := httpd.NewServer(httpd.Options{
		Address: netip.MustParseAddrPort("127.0.0.1:0"),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
			answered <- struct{}{}
		}),
	})
	is.NoErr(err)
	first, err := http.Get("http://" + s.Address().String())
	is.NoErr(err)
	is.NoErr(first.Body.Close())
	<-answered
	conn, err := net.Dial("tcp", s.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for s.CountNewConns() == 0 {
		time.Sleep(time.Millisecond)
	}
	stop := &shutdown{server: s, done: make(chan error, 1)}
	go stop.run()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.NoErr(response.Body.Close())
	is.NoErr(conn.Close())
	is.NoErr(<-stop.done)
}

// shutdown runs Server.Shutdown in a goroutine.
type shutdown struct {
	server *httpd.Server
	done   chan error
}

func (s *shutdown) run() { s.done <- s.server.Shutdown(context.Background()) }
