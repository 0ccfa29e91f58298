package httpd_test

import (
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
